//! Two real gateways with servers and load of their own beside a fleet: one follows the fleet's control, the other runs
//! without. Both are measured at the same time, so that the machine's other work is the same to both.
use crate::fleet::{region, zone, Fleet};
use crate::histogram::Times;
use crate::installation::World;
use crate::options::Plan;
use crate::proposer::Proposer;
use crate::usage::now_us;
use serde::Serialize;
use std::fmt::Write as _;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tempfile::TempDir;
use ternstack_fault_tests::client::Client;
use ternstack_fault_tests::history::EventKind;
use ternstack_fault_tests::process::Launch;
use ternstack_fault_tests::site::{Site, SiteConfig};
use ternstack_replication::scope::{Change, Entry, Host, Key, Scope};
use tokio::time::{sleep, sleep_until, Instant};

/// Servers of each gateway.
const SERVERS: usize = 4;
/// Clients of each gateway; each has one request open.
const CLIENTS: usize = 12;
/// Requests a second to each gateway: its share at the operators' peak.
const REQUESTS_PER_S: f64 = 360.0;
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(2);
/// For so long after a drain's bound it is looked for requests that still come.
const LOOKED: Duration = Duration::from_secs(3);

/// What clients of a gateway saw in a phase.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Seen {
    /// The phase.
    pub phase: String,
    /// Whether the gateway follows control.
    pub follows: bool,
    /// Requests.
    pub asked: u64,
    /// Those that were served.
    pub served: u64,
    /// From a request to its answer, served ones, in ms: half of them, 99 in 100, the longest.
    pub ms: [f64; 3],
}

/// The pair, running.
#[derive(Debug)]
pub struct Pair {
    off: Site,
    on: Site,
    service: u32,
    _folder: TempDir,
}

fn operators_file(fleet: &Fleet, plan: &Plan, world: &World, service: u32) -> String {
    let terms = plan.terms;
    let mut text =
        format!("[terms]\nlease_ms = {:?}\nbytes_per_s = {:?}\n", terms.lease_ms, terms.bytes_per_s);
    for number in 0..plan.size.zones {
        let (name, at) = (zone(number), region(world.region_of(number)));
        let _ = writeln!(text, "[[zone]]\nname = \"{name}\"\nnumber = {number}\nregion = \"{at}\"");
    }
    let _ = writeln!(text, "[[service]]\nname = \"real\"\nnumber = {service}");
    // A file without an origin is refused, though gateways call the distributors.
    let _ = writeln!(
        text,
        "[[machine]]\nname = \"origin\"\naddress = \"{}\"\nrole = \"origin\"\nzone = \"zone-0\"",
        fleet.origin.at
    );
    for (number, part) in fleet.distributors.iter().enumerate() {
        let (name, at, zone) = (&part.name, part.at, zone(world.zone_of(number)));
        let _ = writeln!(
            text,
            "[[machine]]\nname = \"{name}\"\naddress = \"{at}\"\nrole = \"distributor\"\nzone = \"{zone}\""
        );
    }
    text + "[gateway]\nname = \"real\"\nzone = \"zone-0\"\nservices = [\"real\"]\n"
}

impl Pair {
    /// Starts both, and proposes the servers of the one that follows.
    pub async fn start(
        gateway: &Launch, fleet: &Fleet, plan: &Plan, world: &World, staff: &mut Proposer,
    ) -> Result<Pair, String> {
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let file = folder.path().join("operator.toml");
        // A service of their own, which no hollow gateway follows.
        let service = plan.size.services as u32;
        let text = operators_file(fleet, plan, world, service);
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let size = SiteConfig { gateways: 1, hosts: SERVERS, service_time: WORK, ..SiteConfig::default() };
        let mut follows = gateway.clone();
        follows.args.extend(["--operator".into(), file.into()]);
        let off = Site::start(gateway, size).await.map_err(|e| e.to_string())?;
        let on = Site::start(&follows, size).await.map_err(|e| e.to_string())?;
        let pair = Pair { off, on, service, _folder: folder };
        let changes = (0..SERVERS).map(|n| pair.server(n, false, 1000)).collect::<Result<_, _>>()?;
        staff.propose(changes).await?;
        staff.answered().await?;
        // What is agreed is there once requests arrive by it; the bound is the operators' own.
        sleep(Duration::from_secs(5)).await;
        Ok(pair)
    }

    /// A server of the gateway that follows, as it is agreed on.
    fn server(&self, number: usize, drains: bool, weight_milli: u32) -> Result<Change, String> {
        let at: SocketAddr = self.on.to_hosts[0][number].address;
        let SocketAddr::V4(address) = at else { return Err(format!("{at}: expected IPv4")) };
        Ok(self.entry(number, address, drains, weight_milli))
    }

    fn entry(&self, number: usize, address: SocketAddrV4, drains: bool, weight_milli: u32) -> Change {
        let host = Host { address, zone: 0, draining: drains, weight_milli, started_s: 0 };
        let (scope, key) = (Scope::Hosts(self.service), Key::of(&format!("real-{number}")));
        Change { scope, key, entry: Some(Entry::Host(host)) }
    }

    /// Load on both for so long. Where `stirs`, one of its servers changes each half second, besides what else changes.
    pub async fn phase(
        &self, phase: &str, length: Duration, stirs: Option<&mut Proposer>,
    ) -> Result<Vec<Seen>, String> {
        let end = Instant::now() + length;
        let load = |site: &Site| {
            let talks = (0..CLIENTS).map(|n| {
                let mut client = Client::new(0, site.gateways[0].address, &site.recorder);
                let count = (length.as_secs_f64() * REQUESTS_PER_S / CLIENTS as f64) as usize + 1;
                let letters: Vec<_> = (0..count).map(|_| site.request("look")).collect();
                let pace = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_S);
                let first = Instant::now() + pace.mul_f64(n as f64 / CLIENTS as f64);
                tokio::spawn(async move {
                    let (mut asked, mut times) = (0u64, Times::default());
                    for (n, letter) in letters.iter().enumerate() {
                        let at = first + pace * n as u32;
                        if at >= end {
                            break;
                        }
                        sleep_until(at).await;
                        let begin = now_us();
                        asked += 1;
                        if client.send(letter).await == Some(200) {
                            times.record(now_us().saturating_sub(begin));
                        }
                    }
                    (asked, times)
                })
            });
            talks.collect::<Vec<_>>()
        };
        let talks = [(false, load(&self.off)), (true, load(&self.on))];
        if let Some(staff) = stirs {
            let mut weight = 1000;
            while Instant::now() + Duration::from_millis(500) < end {
                sleep(Duration::from_millis(500)).await;
                weight = if weight == 1000 { 1010 } else { 1000 };
                staff.propose(vec![self.server(1, false, weight)?]).await?;
            }
        }
        let mut all = Vec::new();
        for (follows, talks) in talks {
            let mut seen = Seen { phase: phase.into(), follows, ..Seen::default() };
            let mut times = Times::default();
            for talk in talks {
                let (asked, one) = talk.await.map_err(|e| e.to_string())?;
                seen.asked += asked;
                times.join(&one);
            }
            seen.served = times.count();
            seen.ms = [times.quantile_ms(0.5), times.quantile_ms(0.99), times.longest_ms()];
            all.push(seen);
        }
        Ok(all)
    }

    /// Tells one server to drain; requests that arrive there once the bound is over, and those at all servers meanwhile.
    pub async fn drain(&self, staff: &mut Proposer, within: Duration) -> Result<(u64, u64), String> {
        let arrived = |events: Vec<ternstack_fault_tests::history::Event>| {
            let hosts = events.into_iter().filter_map(|e| match e.kind {
                EventKind::RequestReceived { host, .. } => Some(host),
                _ => None,
            });
            hosts.fold((0, 0), |(there, all), host| (there + u64::from(host == 0), all + 1))
        };
        staff.propose(vec![self.server(0, true, 1000)?]).await?;
        self.phase("drain", within, None).await?;
        drop(self.on.take_history());
        self.phase("drained", LOOKED, None).await?;
        Ok(arrived(self.on.take_history()))
    }
}
