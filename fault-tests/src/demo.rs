//! A short demonstration of five gateways under load: a burst of requests, the loss of half of the hosts, a
//! killed gateway and a gateway that is partitioned from all hosts.
use crate::client::Client;
use crate::error::Error;
use crate::history::{Counts, Event};
use crate::invariants::check;
use crate::links::LinkFaults;
use crate::process::Launch;
use crate::site::{Site, SiteConfig, CLASSES};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Number of clients per gateway outside the burst; the burst doubles it.
const CLIENTS_PER_GATEWAY: usize = 4;
/// Index of the first host that [`Scene::HostsLost`] makes unreachable; all later hosts are lost with it.
const FIRST_LOST_HOST: usize = 3;
/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(30);

/// A scripted change of the site or its load.
#[derive(Clone, Copy)]
enum Scene {
    BurstBegins,
    BurstEnds,
    HostsLost,
    HostsBack,
    GatewayKilled,
    GatewayRestarted,
    GatewayPartitioned,
    PartitionEnds,
}

impl Scene {
    fn description(self) -> &'static str {
        match self {
            Scene::BurstBegins => "a burst begins",
            Scene::BurstEnds => "the burst ends",
            Scene::HostsLost => "half of the hosts become unreachable",
            Scene::HostsBack => "the lost hosts are reachable again",
            Scene::GatewayKilled => "gateway 1 is killed",
            Scene::GatewayRestarted => "gateway 1 is restarted",
            Scene::GatewayPartitioned => "gateway 2 is partitioned from all hosts",
            Scene::PartitionEnds => "the partition of gateway 2 ends",
        }
    }
}

/// The scenes in order, each with its begin as a fraction of the demonstration's length.
const SCRIPT: [(f64, Scene); 8] = [
    (0.15, Scene::BurstBegins),
    (0.30, Scene::BurstEnds),
    (0.35, Scene::HostsLost),
    (0.55, Scene::HostsBack),
    (0.60, Scene::GatewayKilled),
    (0.70, Scene::GatewayRestarted),
    (0.75, Scene::GatewayPartitioned),
    (0.90, Scene::PartitionEnds),
];

/// Plays the demonstration for `length`, prints one line of counts per second, and returns whether no
/// invariant was violated.
///
/// # Errors
/// Returns an error if the site cannot be started, or a gateway cannot be killed or restarted.
pub async fn play(launch: &Launch, length: Duration) -> Result<bool, Error> {
    let config = SiteConfig { gateways: 5, hosts: 6, ..SiteConfig::default() };
    let mut site = Site::start(launch, config).await?;
    println!("5 gateways, 6 hosts, {} clients", 5 * CLIENTS_PER_GATEWAY);
    println!(
        "{:>4} {:>8} {:>8} {:>8} {:>8} {:>11}",
        "s", "asked", "served", "refused", "failed", "unanswered"
    );
    let (start, burst) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let clients = start_clients(&site, start, length, &burst);
    let (mut history, mut scenes) = (Vec::new(), SCRIPT.iter().peekable());
    for second in 1..=length.as_secs().max(1) {
        let end = start + Duration::from_secs(second);
        while let Some((fraction, scene)) =
            scenes.next_if(|(fraction, _)| start + length.mul_f64(*fraction) < end)
        {
            sleep_until(start + length.mul_f64(*fraction)).await;
            println!("     {}", scene.description());
            apply(&mut site, &burst, *scene).await?;
        }
        sleep_until(end).await;
        let events = site.take_history();
        print_second(second, &events);
        history.extend(events);
    }
    for client in clients {
        client.await?;
    }
    history.extend(site.take_history());
    let violations = check(&history, &site.guarantees());
    for violation in &violations {
        println!("{} ms: {:?}: {}", violation.at_us / 1000, violation.invariant, violation.description);
    }
    println!("{} requests, {} violations", Counts::of(&history).sent, violations.len());
    Ok(violations.is_empty())
}

fn start_clients(
    site: &Site, start: Instant, length: Duration, burst: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let gateways = site.config.gateways;
    let requests_per_client = (length.as_millis() / REQUEST_PAUSE.as_millis()) as usize;
    let mut clients = Vec::new();
    for number in 0..gateways * CLIENTS_PER_GATEWAY * 2 {
        let gateway = number % gateways;
        let only_in_burst = number >= gateways * CLIENTS_PER_GATEWAY;
        let mut client = Client::new(gateway, site.from_clients[gateway].address, &site.recorder);
        let requests: Vec<_> =
            (0..requests_per_client).map(|n| site.request(CLASSES[(n + number) % CLASSES.len()])).collect();
        let burst = burst.clone();
        clients.push(tokio::spawn(async move {
            for request in &requests {
                if start.elapsed() >= length {
                    return;
                }
                if !only_in_burst || burst.load(Ordering::Relaxed) {
                    client.send(request).await;
                }
                sleep(REQUEST_PAUSE).await;
            }
        }));
    }
    clients
}

fn print_second(second: u64, events: &[Event]) {
    let Counts { sent, served, rejected, failed, unanswered } = Counts::of(events);
    println!("{second:>4} {sent:>8} {served:>8} {rejected:>8} {failed:>8} {unanswered:>11}");
}

async fn apply(site: &mut Site, burst: &AtomicBool, scene: Scene) -> Result<(), Error> {
    match scene {
        Scene::BurstBegins => burst.store(true, Ordering::Relaxed),
        Scene::BurstEnds => burst.store(false, Ordering::Relaxed),
        Scene::HostsLost => set_lost_hosts(site, LinkFaults::partition()),
        Scene::HostsBack => set_lost_hosts(site, LinkFaults::default()),
        Scene::GatewayKilled => {
            site.record_fault(1, scene.description());
            site.gateways[1].kill().await?;
        }
        Scene::GatewayRestarted => site.restart(1).await?,
        Scene::GatewayPartitioned => {
            site.to_hosts[2].iter().for_each(|link| link.set(LinkFaults::partition()));
        }
        Scene::PartitionEnds => site.clear_link_faults(),
    }
    Ok(())
}

fn set_lost_hosts(site: &Site, faults: LinkFaults) {
    site.to_hosts.iter().flat_map(|links| &links[FIRST_LOST_HOST..]).for_each(|link| link.set(faults));
}
