//! Injects the faults of cases into sites and checks the histories.
use super::{cases, Case, CaseResult, Path, ProcessFault};
use crate::client::NO_CONNECTION;
use crate::error::Error;
use crate::history::{Counts, Event, EventKind};
use crate::invariants::check;
use crate::links::{ConnectionHandling, Link, LinkFaults};
use crate::process::Launch;
use crate::site::{Site, SiteConfig};
use std::time::Duration;
use tokio::time::sleep;

/// Indices of a site's gateways. Gateway 0 has the fault.
const GATEWAYS: [usize; 2] = [0, 1];
/// Maximum number of rounds of requests until a fault has affected a connection or chunk.
const MAX_ROUNDS: usize = 40;
/// Maximum number of rounds of requests until every host has served a request.
const MAX_RECOVERY_ROUNDS: usize = 200;
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Plays all cases, spread over `jobs` sites that run at the same time. Returns the results in the order of
/// the cases.
///
/// # Errors
/// Returns an error if a site cannot be started, or if a case cannot be played (see [`play`]).
pub async fn play_all(launch: &Launch, long: bool, jobs: usize) -> Result<Vec<CaseResult>, Error> {
    let cases = cases(long);
    let jobs = jobs.clamp(1, cases.len());
    let workers: Vec<_> = (0..jobs)
        .map(|job| {
            let assigned: Vec<(usize, Case)> =
                cases.iter().cloned().enumerate().skip(job).step_by(jobs).collect();
            let launch = launch.clone();
            tokio::spawn(async move {
                let mut site = Site::start(&launch, SiteConfig::default()).await?;
                let mut results = Vec::new();
                for (number, case) in assigned {
                    results.push((number, play(&mut site, &case).await?));
                }
                Ok::<_, Error>(results)
            })
        })
        .collect();
    let mut results = Vec::new();
    for worker in workers {
        results.extend(worker.await??);
    }
    results.sort_by_key(|(number, _)| *number);
    Ok(results.into_iter().map(|(_, result)| result).collect())
}

/// Plays a case on a site of two gateways and removes the fault afterwards.
///
/// # Errors
/// Returns an error if a gateway exits unexpectedly, cannot be restarted, or does not forward requests to
/// every host before the fault.
pub async fn play(site: &mut Site, case: &Case) -> Result<CaseResult, Error> {
    // Every host must be in use, because a fault on a path that no request takes would prove nothing.
    for gateway in GATEWAYS {
        if !uses_every_host(site, gateway).await {
            return Err(Error::HostUnused { gateway, logs: site.logs() });
        }
    }
    site.take_history();
    let (name, hit_count) = match case {
        Case::Link { path, side, fault_name, faults } => {
            let hit_count = play_link_faults(site, *path, fault_name, **faults).await;
            (format!("{path:?} {side} {fault_name}"), Some(hit_count))
        }
        Case::Process(fault) => {
            play_process_fault(site, *fault).await?;
            (format!("Process {fault:?}"), None)
        }
    };
    site.record_recovery(0);
    let recovered = uses_every_host(site, 0).await && uses_every_host(site, 1).await;
    let history = site.take_history();
    let counts = Counts::of(&history);
    Ok(CaseResult {
        name,
        requests: counts.sent,
        responses: counts.answered(),
        served: counts.served,
        hit_count,
        recovered,
        violations: check(&history, &site.guarantees()),
    })
}

fn links(site: &Site, path: Path) -> Vec<&Link> {
    site.links(0, path.link_target())
}

/// Sends requests while the path is faulty. Returns the number of connections and chunks that the fault
/// affected.
async fn play_link_faults(site: &Site, path: Path, fault_name: &str, faults: LinkFaults) -> u64 {
    if path == Path::Clients {
        site.record_fault(0, fault_name);
    }
    for link in links(site, path) {
        link.take_hit_count();
        link.set(faults);
        // Connections that are already open are reset, because the fault would not affect them.
        if faults.connection_handling != ConnectionHandling::Open || path == Path::Discovery {
            link.reset();
        }
    }
    let last_host = site.hosts.len() - 1;
    if path == Path::Discovery {
        site.recorder.record(EventKind::DiscoveryCut { gateway: 0 });
        site.discovery.set_state(last_host, "DRAINING");
        site.hosts[last_host].update_behaviour(|behaviour| behaviour.drains = true);
    }
    let hit_count = send_until_hit(site, path).await;
    site.clear_link_faults();
    if path == Path::Discovery {
        site.recorder.record(EventKind::DiscoveryRestored { gateway: 0 });
        site.hosts[last_host].update_behaviour(|behaviour| behaviour.drains = false);
        site.discovery.set_state(last_host, "SERVING");
    }
    hit_count
}

/// Sends rounds of requests until the fault has affected a connection or chunk, because by chance no request
/// of a round may take the faulty path. Returns how many were affected.
async fn send_until_hit(site: &Site, path: Path) -> u64 {
    for _ in 0..MAX_ROUNDS {
        let position = site.recorder.position();
        site.send_requests(&GATEWAYS, 3, 4).await;
        let hits = links(site, path).iter().map(|link| link.take_hit_count()).sum::<u64>();
        let refused = site.recorder.since(position).iter().filter(|event| is_refused(event)).count();
        if hits > 0 || refused > 0 {
            return hits + refused as u64;
        }
        if path == Path::Discovery {
            // A change of the list ends the pending poll and starts the next one, so that more bytes take the
            // path.
            site.discovery.set_state(site.hosts.len() - 1, "DRAINING");
        }
        sleep(ROUND_PAUSE).await;
    }
    0
}

fn is_refused(event: &Event) -> bool {
    matches!(&event.kind, EventKind::ResponseMissing { reason, .. } if reason == NO_CONNECTION)
}

/// Returns whether a gateway forwards requests to every host within [`MAX_RECOVERY_ROUNDS`]. An ejected host
/// gets its probe requests in these rounds.
async fn uses_every_host(site: &Site, gateway: usize) -> bool {
    let mut has_served = vec![false; site.hosts.len()];
    for _ in 0..MAX_RECOVERY_ROUNDS {
        let position = site.recorder.position();
        site.send_requests(&[gateway], 2, 3).await;
        for event in site.recorder.since(position) {
            if let EventKind::ResponseCreated { host, .. } = event.kind {
                has_served[host] = true;
            }
        }
        if has_served.iter().all(|served| *served) {
            return true;
        }
        sleep(ROUND_PAUSE).await;
    }
    false
}

async fn play_process_fault(site: &mut Site, fault: ProcessFault) -> Result<(), Error> {
    let config = site.gateway_config(0);
    match fault {
        ProcessFault::Hangup => site.gateways[0].reload(&config)?,
        ProcessFault::BadHangup => site.gateways[0].reload(&serde_json::json!({"settings": 1}))?,
        _ => site.record_fault(0, format!("{fault:?}")),
    }
    match fault {
        ProcessFault::Pause => {
            site.pause(0)?;
            // The gateway stays stopped until its clients have timed out.
            site.send_requests(&GATEWAYS, 3, 1).await;
            site.resume(0)?;
        }
        ProcessFault::Kill => site.gateways[0].kill().await?,
        ProcessFault::Term => site.terminate(0).await?,
        ProcessFault::Hangup | ProcessFault::BadHangup => {}
    }
    site.send_requests(&GATEWAYS, 3, 4).await;
    if matches!(fault, ProcessFault::Kill | ProcessFault::Term) {
        site.restart(0).await?;
    }
    if site.gateways[0].has_exited() {
        return Err(Error::ExitedAtFault { fault: format!("{fault:?}") });
    }
    Ok(())
}
