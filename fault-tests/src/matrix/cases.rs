//! The cases of the fault matrix.
use super::{Case, Path, ProcessFault};
use crate::links::{ConnectionHandling, CutAction, DirectionFaults, LinkFaults};

/// Where requests are cut: in the first line, in the head, at its end, in the body.
const REQUEST_CUT_BYTES: [u64; 5] = [1, 15, 60, 150, 200];
/// Where responses are cut.
const RESPONSE_CUT_BYTES: [u64; 6] = [1, 9, 17, 60, 90, 150];
/// The most bytes of a request; the long matrix cuts at each.
const MAX_REQUEST_BYTES: u64 = 230;
/// The most bytes of a response; the long matrix cuts at each.
const MAX_RESPONSE_BYTES: u64 = 210;

/// All cases; the long matrix cuts requests and responses at each byte.
pub fn cases(long: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for path in [Path::Clients, Path::Host, Path::Hosts, Path::Discovery] {
        add_connection_faults(&mut cases, path);
        add_slow_links(&mut cases, path);
        if path != Path::Hosts {
            add_cuts(&mut cases, path, long);
        }
    }
    let process_faults = [
        ProcessFault::Kill,
        ProcessFault::Pause,
        ProcessFault::Term,
        ProcessFault::Hangup,
        ProcessFault::BadHangup,
    ];
    cases.extend(process_faults.map(Case::Process));
    cases
}

fn link_case(path: Path, side: &'static str, fault_name: String, faults: LinkFaults) -> Case {
    Case::Link { path, side, fault_name, faults: Box::new(faults) }
}

fn request_case(path: Path, fault_name: String, faults: DirectionFaults) -> Case {
    link_case(path, "request", fault_name, LinkFaults { forward: faults, ..LinkFaults::default() })
}

fn response_case(path: Path, fault_name: String, faults: DirectionFaults) -> Case {
    link_case(path, "reply", fault_name, LinkFaults { reverse: faults, ..LinkFaults::default() })
}

fn add_connection_faults(cases: &mut Vec<Case>, path: Path) {
    for connection_handling in
        [ConnectionHandling::Refused, ConnectionHandling::Reset, ConnectionHandling::BlackHole]
    {
        let faults = LinkFaults { connection_handling, ..LinkFaults::default() };
        cases.push(link_case(path, "new", format!("{connection_handling:?}"), faults));
    }
}

fn add_slow_links(cases: &mut Vec<Case>, path: Path) {
    let none = DirectionFaults::default();
    let slow = [
        ("delay 60 ms", DirectionFaults { delay_ms: 60, ..none }),
        ("jitter 90 ms", DirectionFaults { jitter_ms: 90, ..none }),
        ("2,000 bytes/s", DirectionFaults { bytes_per_s: Some(2000), ..none }),
        ("held", DirectionFaults { stalled: true, ..none }),
    ];
    for (name, faults) in slow {
        cases.push(request_case(path, name.into(), faults));
        cases.push(response_case(path, name.into(), faults));
    }
    cases.push(link_case(path, "both", "held".into(), LinkFaults::partition()));
}

fn add_cuts(cases: &mut Vec<Case>, path: Path, long: bool) {
    let offsets = |few: &[u64], max_bytes: u64| if long { (1..=max_bytes).collect() } else { few.to_vec() };
    for action in [CutAction::Reset, CutAction::End, CutAction::Silence] {
        let cut = |after| DirectionFaults { cut_after: Some((after, action)), ..DirectionFaults::default() };
        for after in offsets(&REQUEST_CUT_BYTES, MAX_REQUEST_BYTES) {
            cases.push(request_case(path, format!("{action:?} after {after}"), cut(after)));
        }
        for after in offsets(&RESPONSE_CUT_BYTES, MAX_RESPONSE_BYTES) {
            cases.push(response_case(path, format!("{action:?} after {after}"), cut(after)));
        }
    }
}
