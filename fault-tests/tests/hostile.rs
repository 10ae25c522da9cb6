//! A real gateway process under hostile clients stays within its memory limit, and ordinary clients are served.
use std::path::PathBuf;
use std::time::Duration;
use ternstack_fault_tests::hostile::kind::HostileKind;
use ternstack_fault_tests::hostile::{play, table, Circumstance, Outcome, Plan};
use ternstack_fault_tests::process::Launch;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ternstack-fault-tests");

fn launch() -> Launch {
    Launch { program: PathBuf::from(PROGRAM), args: vec!["gateway".into()], variables: vec![] }
}

/// The least memory and the most descriptors that the platform names.
fn plan(kind: HostileKind, circumstance: Circumstance) -> Plan {
    Plan {
        kind,
        circumstance,
        memory_mb: 32,
        sockets: 1024,
        clients: 900,
        response_bytes: 60 * 1024,
        duration: Duration::from_secs(3),
        cpu_share: None,
        // A busy machine may delay a response; a request without any response is found all the same.
        patience: Duration::from_secs(60),
    }
}

async fn play_all(plans: Vec<Plan>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for plan in plans {
        outcomes.push(play(&launch(), plan).await.expect("the run can be played"));
    }
    outcomes
}

// Guards against report 006218: hundreds of clients made a process with little memory exceed its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateway_stays_within_its_memory_limit_under_hostile_clients() {
    let kinds = HostileKind::ALL.into_iter().filter(|kind| !kind.is_flood());
    let outcomes = play_all(kinds.map(|kind| plan(kind, Circumstance::Service)).collect()).await;
    let table = table(&outcomes);
    assert!(outcomes.iter().all(Outcome::is_within_limit), "{table}");
    let unanswered = outcomes.iter().any(|outcome| {
        outcome.ordinary.lost + outcome.ordinary.closed > 0 || outcome.ordinary.served.is_empty()
    });
    assert!(!unanswered, "every ordinary client gets its responses\n{table}");
}

// Guards against report 006218 in the phases in which connections end or change.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn gateway_stays_within_its_memory_limit_while_it_shuts_down_reloads_or_hosts_hang() {
    let cases = [
        (HostileKind::HalfBody, Circumstance::Shutdown),
        (HostileKind::HalfChunkedBody, Circumstance::Reload),
        (HostileKind::SlowReader, Circumstance::Crowd),
        (HostileKind::Abandon, Circumstance::HungHosts),
    ];
    let outcomes = play_all(cases.map(|(kind, circumstance)| plan(kind, circumstance)).to_vec()).await;
    assert!(outcomes.iter().all(Outcome::is_within_limit), "{}", table(&outcomes));
}
