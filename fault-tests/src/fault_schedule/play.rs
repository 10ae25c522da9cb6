//! Plays a schedule on a running site while clients send requests, and checks the history.
use super::{FaultAction, Schedule, Step};
use crate::client::Client;
use crate::error::Error;
use crate::history::{Counts, EventKind};
use crate::invariants::{check, Violation};
use crate::links::{ConnectionHandling, LinkFaults};
use crate::site::{LinkTarget, Site, CLASSES};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Time in which the connections of a link that was reset end on the clients' side.
const LINK_RECOVERY: Duration = Duration::from_millis(50);
/// Number of clients per gateway.
const CLIENTS_PER_GATEWAY: usize = 3;
/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// Period for which a client prepares one request, in ms.
const REQUEST_PERIOD_MS: u64 = 40;
/// Maximum number of requests that are sent to a gateway after the last fault until one is served.
const MAX_RECOVERY_TRIALS: usize = 50;
/// Pause between two requests that check whether a gateway has recovered.
const RECOVERY_TRIAL_PAUSE: Duration = Duration::from_millis(200);

/// The result of a schedule that was played.
#[derive(Clone, Debug)]
pub struct ScheduleOutcome {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of complete responses that clients received.
    pub responses: usize,
    /// Number of responses with status 200.
    pub served: usize,
    /// Number of gateways that served a request after the last fault.
    pub recovered: usize,
    /// Violations of invariants, ordered by time.
    pub violations: Vec<Violation>,
}

/// Plays a schedule on a site with the schedule's numbers of gateways and hosts.
///
/// # Errors
/// Returns an error if a gateway exits unexpectedly, cannot be restarted or cannot be signalled.
pub async fn play(site: &mut Site, schedule: &Schedule) -> Result<ScheduleOutcome, Error> {
    site.take_history();
    let start = Instant::now();
    let clients = start_clients(site, schedule, start);
    let mut transitions: Vec<(u64, bool, &Step)> = schedule
        .steps
        .iter()
        .flat_map(|step| [(step.at_ms, true, step), (step.at_ms + step.for_ms, false, step)])
        .collect();
    transitions.sort_by_key(|(at_ms, ..)| *at_ms);
    for (at_ms, begins, step) in transitions {
        sleep_until(start + Duration::from_millis(at_ms)).await;
        apply(site, &step.action, begins).await?;
    }
    for client in clients {
        client.await?;
    }
    let recovered = count_recovered(site, schedule.gateways).await?;
    let history = site.take_history();
    let counts = Counts::of(&history);
    Ok(ScheduleOutcome {
        requests: counts.sent,
        responses: counts.answered(),
        served: counts.served,
        recovered,
        violations: check(&history, &site.guarantees()),
    })
}

fn start_clients(site: &Site, schedule: &Schedule, start: Instant) -> Vec<JoinHandle<()>> {
    let end = start + Duration::from_millis(schedule.length_ms);
    let mut clients = Vec::new();
    for gateway in 0..schedule.gateways {
        for number in 0..CLIENTS_PER_GATEWAY {
            let mut client = Client::new(gateway, site.from_clients[gateway].address, &site.recorder);
            let requests: Vec<_> = (0..schedule.length_ms / REQUEST_PERIOD_MS)
                .map(|n| site.request(CLASSES[(n as usize + number) % CLASSES.len()]))
                .collect();
            clients.push(tokio::spawn(async move {
                for request in &requests {
                    if Instant::now() >= end {
                        return;
                    }
                    client.send(request).await;
                    sleep(REQUEST_PAUSE).await;
                }
            }));
        }
    }
    clients
}

/// Returns the number of gateways that serve a request again, each within [`MAX_RECOVERY_TRIALS`].
async fn count_recovered(site: &mut Site, gateways: usize) -> Result<usize, Error> {
    let mut recovered = 0;
    for gateway in 0..gateways {
        if site.gateways[gateway].has_exited() {
            return Err(Error::GatewayExited { gateway, logs: site.logs() });
        }
        for _ in 0..MAX_RECOVERY_TRIALS {
            if site.send_requests(&[gateway], 1, 1).await == [Some(200)] {
                recovered += 1;
                break;
            }
            sleep(RECOVERY_TRIAL_PAUSE).await;
        }
    }
    Ok(recovered)
}

async fn apply(site: &mut Site, action: &FaultAction, begins: bool) -> Result<(), Error> {
    let description = format!("{} {action:?}", if begins { "begins" } else { "ends" });
    site.recorder.record(EventKind::FaultInjected { description });
    match action {
        FaultAction::Link { gateway, target, faults } => {
            let faults = if begins { *faults } else { LinkFaults::default() };
            apply_to_link(site, *gateway, *target, faults, begins).await;
        }
        FaultAction::Kill { gateway } if begins => {
            site.record_fault(*gateway, "killed");
            site.gateways[*gateway].kill().await?;
        }
        FaultAction::Term { gateway } if begins => {
            site.record_fault(*gateway, "asked to exit (SIGTERM)");
            site.terminate(*gateway).await?;
        }
        FaultAction::Kill { gateway } | FaultAction::Term { gateway } => site.restart(*gateway).await?,
        FaultAction::Pause { gateway } if begins => site.pause(*gateway)?,
        FaultAction::Pause { gateway } => site.resume(*gateway)?,
        FaultAction::Drain { host } => {
            site.discovery.set_state(*host, if begins { "DRAINING" } else { "SERVING" });
            site.hosts[*host].update_behaviour(|behaviour| behaviour.drains = begins);
        }
    }
    Ok(())
}

async fn apply_to_link(site: &Site, gateway: usize, target: LinkTarget, faults: LinkFaults, begins: bool) {
    if target == LinkTarget::Clients && begins {
        site.record_fault(gateway, "faulty link from its clients");
    }
    for link in site.links(gateway, target) {
        link.set(faults);
        // Connections are reset at the end of the fault, because a connection that was cut would stay cut.
        if !begins || faults.connection_handling != ConnectionHandling::Open {
            link.reset();
        }
    }
    if target == LinkTarget::Discovery {
        site.recorder.record(if begins {
            EventKind::DiscoveryCut { gateway }
        } else {
            EventKind::DiscoveryRestored { gateway }
        });
    }
    if target == LinkTarget::Clients && !begins {
        // A request on a connection that is being reset cannot expect a response.
        sleep(LINK_RECOVERY).await;
        site.record_recovery(gateway);
    }
}
