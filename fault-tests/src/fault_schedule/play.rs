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

/// Connections of a link that are reset have ended after this.
const LINK_RECOVERY: Duration = Duration::from_millis(50);
/// How many clients each gateway has.
const CLIENTS_PER_GATEWAY: usize = 3;
/// The pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// A client prepares one request for each of these periods.
const REQUEST_PERIOD_MS: u64 = 40;
/// How often a gateway is tried at the end until it serves.
const RECOVERY_TRIAL_COUNT: usize = 50;
/// The pause between two of these trials.
const RECOVERY_TRIAL_PAUSE: Duration = Duration::from_millis(200);

/// The result of a schedule.
#[derive(Clone, Debug)]
pub struct ScheduleOutcome {
    /// How many requests were sent.
    pub requests: usize,
    /// How many complete responses were received.
    pub responses: usize,
    /// How many of them had status 200.
    pub served: usize,
    /// How many gateways served a request after the last fault.
    pub recovered: usize,
    /// The violated invariants.
    pub violations: Vec<Violation>,
}

/// Plays a schedule on a site of its size.
///
/// # Errors
/// If a gateway exits unexpectedly, cannot be restarted or cannot be signalled.
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

/// How many gateways serve again, each within some trials.
async fn count_recovered(site: &mut Site, gateways: usize) -> Result<usize, Error> {
    let mut recovered = 0;
    for gateway in 0..gateways {
        if site.gateways[gateway].has_exited() {
            return Err(Error::GatewayExited { gateway, logs: site.logs() });
        }
        for _ in 0..RECOVERY_TRIAL_COUNT {
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
            site.record_fault(*gateway, "told to stop");
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
        site.record_fault(gateway, "the way from its clients");
    }
    for link in site.links(gateway, target) {
        link.set(faults);
        // A connection that was cut stays cut, also after the fault has ended.
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
