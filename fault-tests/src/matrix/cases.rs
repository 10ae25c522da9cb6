//! The list of the cases of the fault matrix.
use super::{Case, Path, ProcessFault};
use crate::links::{ConnectionHandling, CutAction, DirectionFaults, LinkFaults};

/// Offsets at which the short matrix cuts requests, in bytes: in the request line, in the head, at the end of
/// the head and in the body.
const REQUEST_CUT_OFFSETS_BYTES: [u64; 5] = [1, 15, 60, 150, 200];
/// Offsets at which the short matrix cuts responses, in bytes: in the status line, in the head and in the
/// body.
const RESPONSE_CUT_OFFSETS_BYTES: [u64; 6] = [1, 9, 17, 60, 90, 150];
/// Upper bound of a request's length; the long matrix cuts requests after each byte up to it.
const MAX_REQUEST_BYTES: u64 = 230;
/// Upper bound of a response's length; the long matrix cuts responses after each byte up to it.
const MAX_RESPONSE_BYTES: u64 = 210;

/// Returns all cases. With `long`, requests and responses are cut after each byte.
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
    let no_faults = DirectionFaults::default();
    let slow = [
        ("delay 60 ms", DirectionFaults { delay_ms: 60, ..no_faults }),
        ("jitter 90 ms", DirectionFaults { jitter_ms: 90, ..no_faults }),
        ("2,000 bytes/s", DirectionFaults { bytes_per_s: Some(2000), ..no_faults }),
        ("held", DirectionFaults { stalled: true, ..no_faults }),
    ];
    for (name, faults) in slow {
        cases.push(request_case(path, name.into(), faults));
        cases.push(response_case(path, name.into(), faults));
    }
    cases.push(link_case(path, "both", "held".into(), LinkFaults::partition()));
}

fn add_cuts(cases: &mut Vec<Case>, path: Path, long: bool) {
    let offsets =
        |short: &[u64], max_bytes: u64| if long { (1..=max_bytes).collect() } else { short.to_vec() };
    for action in [CutAction::Reset, CutAction::End, CutAction::Silence] {
        let cut = |after| DirectionFaults { cut_after: Some((after, action)), ..DirectionFaults::default() };
        for after in offsets(&REQUEST_CUT_OFFSETS_BYTES, MAX_REQUEST_BYTES) {
            cases.push(request_case(path, format!("{action:?} after {after}"), cut(after)));
        }
        for after in offsets(&RESPONSE_CUT_OFFSETS_BYTES, MAX_RESPONSE_BYTES) {
            cases.push(response_case(path, format!("{action:?} after {after}"), cut(after)));
        }
    }
}
