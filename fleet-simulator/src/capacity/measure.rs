//! Measures the slopes of what runs today, and prints them as the file takes them.
//!
//! Costs are processor time, as the kernel counts it for a thread or for a gateway's process, and the least of several runs:
//! others may be at work on the machine.
use super::control::{self, key, snapshot};
use super::decision::Warm;
use super::gateway::{config, host, hosts, resident, tenant, thread_us, Discovery, Gateway};
use super::load::{play, Load};
use super::{Growth, Slope};
use clap::ValueEnum;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use ternstack_replication::endpoint_list::{validate, EndpointList};
use ternstack_replication::rules::{conflicts, Host, Rules, VersionedRules};
use ternstack_replication::scope::{self, Change, Digest, Entry, Scope};
use ternstack_replication::wire::{
    encode, ChunkEntry, Message, PollRequest, PollResponse, ScopeChunk, Subscription,
};

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum What {
    /// A decision, by the hosts of one list.
    Decision,
    /// Tenants in the settings.
    Tenants,
    /// Discovery's list at a real gateway.
    List,
    /// Requests through a real gateway.
    DataPath,
    /// A real gateway's start.
    Start,
    /// A version that is the whole state.
    WholeState,
    /// Frames between followers and grantors.
    Wire,
    /// Asks, grants and snapshots, without sockets.
    Control,
}

/// Measures these, or all, and prints each slope once it is measured.
pub fn all(what: &[What], commit: &str, runs: u32) -> Result<(), String> {
    let all = What::value_variants();
    for what in if what.is_empty() { all } else { what } {
        let note = Note { what: *what, commit };
        match what {
            What::Decision => decision(&note, runs)?,
            What::Tenants => tenants(&note, runs)?,
            What::List => list(&note, runs)?,
            What::DataPath => data_path(&note, runs)?,
            What::Start => start(&note, runs)?,
            What::WholeState => whole_state(&note, runs)?,
            What::Wire => wire(&note)?,
            What::Control => asks(&note, runs)?,
        }
    }
    Ok(())
}

/// Where a figure comes from.
struct Note<'a> {
    what: What,
    commit: &'a str,
}

impl Note<'_> {
    /// Prints what gave a figure.
    fn end(&self) {
        let of = self.what.to_possible_value().map_or(String::new(), |v| v.get_name().to_string());
        println!(
            "command = \"ternstack-fleet-simulator capacity measure {of}\"\ncommit = \"{}\"",
            self.commit
        );
    }

    /// Prints a slope that is one figure.
    fn value(&self, name: &str, unit: &str, value: f64) {
        println!("[[slope]]\nname = \"{name}\"\nunit = \"{unit}\"\nvalue = {value:?}");
        self.end();
        println!();
    }

    /// Prints a slope.
    fn slope(&self, name: &str, unit: &str, per: &str, points: &[[f64; 2]]) {
        println!("[[slope]]\nname = \"{name}\"\nunit = \"{unit}\"\nper = \"{per}\"");
        let points: Vec<[f64; 2]> = points.iter().map(|[n, v]| [*n, three_digits(*v)]).collect();
        println!("points = {points:?}");
        self.end();
        let growth = growth(&points);
        let told = growth.map_or("no growth".into(), |g| {
            format!("{}: n^{:.2}, at the end n^{:.2}", g.word, g.power, g.end)
        });
        println!("# grows: {told}\n");
    }
}

/// A figure with three digits that count: more would not come out again.
fn three_digits(value: f64) -> f64 {
    let text = format!("{value:.2e}");
    text.parse().unwrap_or(value)
}

/// How points grow.
pub fn growth(points: &[[f64; 2]]) -> Option<Growth> {
    Slope::of(points).growth()
}

/// The least of some runs.
fn least(runs: u32, mut run: impl FnMut() -> Result<f64, String>) -> Result<f64, String> {
    let mut least = f64::INFINITY;
    for _ in 0..runs {
        least = least.min(run()?);
    }
    Ok(least)
}

/// Processor time of one call, in us: many at once where they are short.
fn each_us(runs: u32, mut call: impl FnMut()) -> Result<f64, String> {
    let mut calls = 1_u32;
    loop {
        let from = thread_us()?;
        (0..calls).for_each(|_| call());
        let spent = thread_us()? - from;
        if spent > 60_000.0 || calls >= 1 << 24 {
            let first = spent / f64::from(calls);
            let more = least(runs.saturating_sub(1), || {
                let from = thread_us()?;
                (0..calls).for_each(|_| call());
                Ok((thread_us()? - from) / f64::from(calls))
            })?;
            return Ok(first.min(more));
        }
        calls *= 2;
    }
}

/// Requests a second for each host: 3.2 million for 200,000.
const A_HOST_PER_S: f64 = 16.0;

fn decision(note: &Note, runs: u32) -> Result<(), String> {
    // Hosts get the same load each, however many they are; gateways share it.
    for (name, instances) in [("decision_of_8900", 8900), ("decision_of_300", 300), ("decision_alone", 1)] {
        let mut points = Vec::new();
        for hosts in [54, 200, 1000, 5000] {
            let gap_ms = 1000.0 * f64::from(instances) / (A_HOST_PER_S * f64::from(hosts));
            let mut warm = Warm::new(hosts, instances, gap_ms)?;
            (warm.sent, warm.next) = (0, 0);
            points.push([f64::from(hosts), each_us(runs, || warm.message())?]);
            eprintln!("{name}, {hosts} hosts: {} of {} sent", warm.sent, warm.next);
        }
        note.slope(name, "us a request", "hosts of a list", &points);
    }
    // Modules side by side, as a gateway before many services would hold them.
    let (mut kept, mut points) = (Vec::new(), Vec::new());
    for hosts in [54, 200, 1000, 5000] {
        let gap_ms = 1000.0 * 8900.0 / (A_HOST_PER_S * f64::from(hosts));
        let count = 54_000 / hosts;
        let before = resident(Path::new("/proc/self/status"))?;
        for _ in 0..count {
            kept.push(Warm::new(hosts, 8900, gap_ms)?);
        }
        let more = resident(Path::new("/proc/self/status"))? - before;
        points.push([f64::from(hosts), more / f64::from(count) / 1e6]);
    }
    note.slope("module_memory", "MB resident a module", "hosts of a list", &points);
    Ok(())
}

fn tenants(note: &Note, runs: u32) -> Result<(), String> {
    let (mut looked, mut read, mut memory, mut ready) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let list = hosts(54);
    let discovery = Discovery::start(&list)?;
    // What one tenant's gateway holds is no tenant's.
    let one = Gateway::start(&config(8900, 1, discovery.at, list.clone()))?;
    one.settled_cpu_us()?;
    let base = one.resident()? / 1e6;
    for count in [100, 1_000, 10_000, 100_000, 670_000_usize] {
        let n = count as f64;
        let config = config(8900, count, discovery.at, list.clone());
        let deployment =
            ternstack_settings::Deployment::from_json(&config["settings"]).map_err(|e| e.to_string())?;
        // A walk over the names by a step that meets them all evenly.
        let names: Vec<String> = (0..1009).map(|k| tenant(1 + k * 7919 * 13 % (count - 1))).collect();
        let mut next = 0;
        let mut missed = 0_u32;
        looked.push([
            n,
            each_us(runs, || {
                next = (next + 1) % names.len();
                missed += u32::from(deployment.names.tenant_index(&names[next]).is_none());
            })?,
        ]);
        if missed > 0 {
            return Err(format!("{missed} tenants of {count} were not found"));
        }
        let text = config.to_string();
        read.push([
            n,
            each_us(runs, || {
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                std::hint::black_box(ternstack_settings::Deployment::from_json(&value["settings"]).is_ok());
            })? / 1000.0,
        ]);
        let (mut bytes, mut ms) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..runs {
            let gateway = Gateway::start(&config)?;
            ms = ms.min(gateway.ready.as_secs_f64() * 1000.0);
            gateway.settled_cpu_us()?;
            bytes = bytes.min(gateway.resident()? / 1e6);
        }
        // Less than a page or two is the allocator's.
        if bytes - base > 0.1 {
            memory.push([n, bytes - base]);
        }
        ready.push([n, ms]);
    }
    note.slope("tenant_look_up", "us a look-up", "tenants in the settings", &looked);
    note.slope("tenants_read", "ms of CPU, JSON and settings", "tenants in the settings", &read);
    note.slope(
        "tenants_memory",
        "MB resident beyond one tenant's, real gateway",
        "tenants in the settings",
        &memory,
    );
    note.slope("tenants_ready", "ms to ready, real gateway", "tenants in the settings", &ready);
    Ok(())
}

/// Changes that are told one after another, of which the mean is taken.
const CHANGES: usize = 20;

fn list(note: &Note, runs: u32) -> Result<(), String> {
    let (mut sent, mut whole, mut memory, mut change) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let empty = json!({"rev": 0, "all": true, "targets": []});
    // A gateway with one host says what is no host's.
    let mut one = of_list(&empty, 1)?;
    for _ in 1..runs {
        let again = of_list(&empty, 1)?;
        (one.cpu_us, one.resident) = (one.cpu_us.min(again.cpu_us), one.resident.min(again.resident));
    }
    for count in [500, 2_000, 8_000, 20_000_usize] {
        let n = count as f64;
        let (mut cpu, mut bytes, mut each) = (f64::INFINITY, f64::INFINITY, f64::INFINITY);
        for _ in 0..runs {
            let of = of_list(&empty, count)?;
            cpu = cpu.min((of.cpu_us - one.cpu_us).max(1.0) / 1000.0);
            bytes = bytes.min((of.resident - one.resident).max(1.0) / 1e6);
            each = each.min(of.change_us / 1000.0);
        }
        sent.push([n, hosts(count).to_string().len() as f64 / 1e6]);
        whole.push([n, cpu]);
        memory.push([n, bytes]);
        change.push([n, each]);
    }
    note.slope("list_bytes", "MB of JSON", "hosts", &sent);
    note.slope("list_whole", "ms of CPU, real gateway", "hosts", &whole);
    note.slope("list_memory", "MB resident beyond one host's, real gateway", "hosts", &memory);
    note.slope("list_change", "ms of CPU a change, real gateway", "hosts", &change);
    Ok(())
}

struct OfList {
    cpu_us: f64,
    resident: f64,
    change_us: f64,
}

fn of_list(empty: &Value, count: usize) -> Result<OfList, String> {
    let discovery = Discovery::start(&hosts(count))?;
    let gateway = Gateway::start(&config(8900, 1, discovery.at, empty.clone()))?;
    discovery.wait_for(2)?;
    let cpu_us = gateway.settled_cpu_us()?;
    let resident = gateway.resident()?;
    let at = SocketAddr::from(([10, 0, 0, 1], 8080));
    let from = gateway.cpu_us()?;
    for n in 0..CHANGES {
        discovery.tell(&host(0, at, if n % 2 == 0 { "DRAINING" } else { "SERVING" }))?;
    }
    let change_us = (gateway.settled_cpu_us()? - from) / CHANGES as f64;
    Ok(OfList { cpu_us, resident, change_us })
}

/// One load: processor time and connections, the least of several runs; what was added at p50 and p99, the median of them: a
/// difference of two quantiles may be too small as well as too great.
fn loaded(load: &Load, runs: u32) -> Result<[f64; 4], String> {
    let mut all: [Vec<f64>; 4] = Default::default();
    for _ in 0..runs {
        let taken = play(load)?;
        eprintln!("{load:?}: {taken:?}");
        let figures = [taken.cpu_us, taken.added_ms[0], taken.added_ms[1], taken.connections];
        all.iter_mut().zip(figures).for_each(|(all, figure)| all.push(figure));
    }
    all.iter_mut().for_each(|figures| figures.sort_by(f64::total_cmp));
    let median = |of: &[f64]| of[of.len() / 2];
    Ok([all[0][0], median(&all[1]), median(&all[2]), all[3][0]])
}

/// Requests a second at each gateway: 3.2 million for 8,900.
const A_GATEWAY_PER_S: f64 = 360.0;

fn data_path(note: &Note, runs: u32) -> Result<(), String> {
    let load = Load {
        hosts: 54,
        instances: 1,
        per_s: A_GATEWAY_PER_S,
        length: Duration::from_secs(5),
        work: Duration::ZERO,
        idle: Duration::from_secs(5),
    };
    let (mut by_rate, mut p50, mut p99, mut dialled) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    // From a connection's answer on it waits a moment before its next request: what is added depends on how often a gateway
    // comes back to one host.
    for hosts in [500, 200, 54, 24] {
        let [_, median, high, _] = loaded(&Load { hosts, ..load }, runs)?;
        let each = load.per_s / hosts as f64;
        p50.push([three_digits(each), median]);
        p99.push([three_digits(each), high]);
    }
    for per_s in [100.0, 200.0, 400.0, 800.0] {
        let [cpu, ..] = loaded(&Load { per_s, ..load }, runs)?;
        by_rate.push([per_s, cpu]);
        let [cpu, ..] = loaded(&Load { per_s, idle: Duration::from_millis(1), ..load }, runs)?;
        dialled.push([per_s, cpu]);
    }
    note.slope("data_path_by_rate", "us of CPU a request, real gateway", "requests a second", &by_rate);
    note.slope("data_path_dialled", "us of CPU a request, real gateway", "requests a second", &dialled);
    note.slope(
        "added_p50",
        "ms added at p50, real gateway",
        "requests a second of a gateway to a host",
        &p50,
    );
    note.slope(
        "added_p99",
        "ms added at p99, real gateway",
        "requests a second of a gateway to a host",
        &p99,
    );
    let (mut cpu, mut connections) = (Vec::new(), Vec::new());
    for hosts in [24, 54, 200, 500] {
        // A server takes its time here: connections are kept for what is under way. As many gateways share the list as its
        // hosts have work for.
        let work = Duration::from_millis(20);
        let instances = (hosts as f64 * A_HOST_PER_S / A_GATEWAY_PER_S).round().max(1.0) as u32;
        let [us, _, _, held] = loaded(&Load { hosts, instances, work, ..load }, runs)?;
        cpu.push([hosts as f64, us]);
        connections.push([hosts as f64, held]);
    }
    note.slope("data_path_by_hosts", "us of CPU a request, real gateway", "hosts of a list", &cpu);
    note.slope("connections", "connections kept, real gateway", "hosts of a list", &connections);
    Ok(())
}

fn start(note: &Note, runs: u32) -> Result<(), String> {
    let mut ready = Vec::new();
    for count in [54, 500, 2_000, 8_000, 20_000_usize] {
        let list = hosts(count);
        let discovery = Discovery::start(&list)?;
        let config = config(8900, 1, discovery.at, list);
        let ms = least(runs, || Ok(Gateway::start(&config)?.ready.as_secs_f64() * 1000.0))?;
        ready.push([count as f64, ms]);
    }
    note.slope("list_ready", "ms to ready, real gateway", "hosts known at the start", &ready);
    Ok(())
}

/// Tenants for each host, as there will be.
const TENANTS_A_HOST: f64 = 3.35;

fn whole_state(note: &Note, runs: u32) -> Result<(), String> {
    let mut slopes: BTreeMap<&str, Vec<[f64; 2]>> = BTreeMap::new();
    for count in [2_000, 20_000, 100_000, 200_000_usize] {
        let mut add = |name, value| slopes.entry(name).or_default().push([count as f64, value]);
        let host = |n: usize| {
            let address = format!("10.{}.{}.{}:8080", n >> 16, n >> 8 & 255, n & 255);
            (format!("server-{n:06}"), Host { address, draining: false })
        };
        let many = (count as f64 * TENANTS_A_HOST) as usize;
        let rules = Rules {
            quotas: (0..many).map(|n| (tenant(n), 10)).collect(),
            hosts: (0..count).map(host).collect(),
            list_rev: 1,
            ..Rules::default()
        };
        let mut other = rules.clone();
        other.hosts.entry("server-000001".into()).and_modify(|h| h.draining = true);
        let uid = String::from("server-000001");
        let seen = EndpointList {
            revision: 2,
            complete: false,
            hosts: [(uid.clone(), other.hosts.get(&uid).cloned())].into(),
        };
        let version = VersionedRules {
            number: 2,
            epoch: 1,
            proposer: "g1".into(),
            proposed_ms: 0,
            rules: rules.clone(),
        };
        let text = serde_json::to_vec(&version).map_err(|e| e.to_string())?;
        add("whole_state_bytes", text.len() as f64 / 1e6);
        add(
            "whole_state_look",
            each_us(runs, || drop(std::hint::black_box(validate(&rules, &seen, false))))? / 1e3,
        );
        add("whole_state_digest", each_us(runs, || drop(std::hint::black_box(rules.digest())))? / 1e3);
        let compare = || drop(std::hint::black_box(conflicts(&rules, &other)));
        add("whole_state_compare", each_us(runs, compare)? / 1e3);
    }
    for (name, points) in &slopes {
        let unit = if name.ends_with("bytes") { "MB of JSON a version" } else { "ms of CPU a version" };
        note.slope(name, unit, "hosts, with 3.35 tenants each", points);
    }
    Ok(())
}

/// The bytes of frames, by the changes or entries in them, at the number of versions that a year brings.
fn wire(note: &Note) -> Result<(), String> {
    const NUMBER: u64 = 22_000_000;
    let bytes = |message: Message| -> Result<f64, String> {
        let mut frame = Vec::new();
        encode(&message, &mut frame).map_err(|e| e.to_string())?;
        Ok(frame.len() as f64)
    };
    let member =
        ternstack_replication::wire::Member { name: "gateway-4711".into(), incarnation: 1_790_000_000 };
    let interest = Subscription::Unchanged { generation: 1_000 };
    let ask = PollRequest {
        member,
        sequence: 1 << 20,
        known: NUMBER,
        in_force: NUMBER,
        acknowledged: 1 << 20,
        subscription: interest,
        fetch: Vec::new(),
    };
    let grant = PollResponse {
        sequence: 1 << 20,
        generation: 1_000,
        lease_us: 1_900_000,
        in_force: NUMBER,
        through: NUMBER,
        chunks: Vec::new(),
        stale: Vec::new(),
        pending: Vec::new(),
    };
    let quiet = bytes(Message::PollRequest(ask))? + bytes(Message::PollResponse(grant.clone()))?;
    note.value("wire_quiet", "bytes of an ask and a grant with nothing in it", quiet);
    let (mut changes, mut hosts, mut quotas) = (Vec::new(), Vec::new(), Vec::new());
    for count in [1, 10, 100, 1000_u32] {
        let change =
            |n: u32| Change { scope: Scope::Hosts(n % 3700), key: key(n), entry: Some(control::host(n)) };
        // Each in a version of its own, as on an ordinary second.
        let version = |n: u32| scope::ChangeSet { revision: NUMBER + u64::from(n), changes: vec![change(n)] };
        let pending = (0..count).map(version).collect();
        let of = bytes(Message::PollResponse(PollResponse { pending, ..grant.clone() }))?;
        changes.push([f64::from(count), of]);
        let piece = |scope, entry: &dyn Fn(u32) -> Entry, to: &mut Vec<[f64; 2]>| -> Result<(), String> {
            let entries = (0..count)
                .map(|n| ChunkEntry { revision: NUMBER, key: key(n), entry: Some(entry(n)) })
                .collect();
            let parts =
                vec![ScopeChunk { scope, restart: true, entries, final_digest: Some(Digest(u128::MAX)) }];
            let of = bytes(Message::PollResponse(PollResponse { chunks: parts, ..grant.clone() }))?;
            to.push([f64::from(count), of]);
            Ok(())
        };
        piece(Scope::Hosts(3000), &control::host, &mut hosts)?;
        piece(Scope::Tenants(3000), &|n| Entry::Quota(100 + n), &mut quotas)?;
    }
    let spread = (changes[3][1] - changes[0][1]) / (changes[3][0] - changes[0][0]);
    note.value("wire_change", "bytes of a change in a grant of up to 1,000", three_digits(spread));
    note.slope("wire_changes", "bytes of a grant", "changes of hosts in it", &changes);
    note.slope("wire_hosts", "bytes of a grant", "hosts fetched with it", &hosts);
    note.slope("wire_quotas", "bytes of a grant", "tenants fetched with it", &quotas);
    Ok(())
}

fn asks(note: &Note, runs: u32) -> Result<(), String> {
    // First, while no memory that others gave back stands about.
    let (mut kept, mut told, mut grantors) = (Vec::new(), Vec::new(), Vec::new());
    for scopes in [100, 1_000, 4_000, 11_496] {
        let ([memory, bytes], grantor) = control::members(scopes, 600)?;
        grantors.push(grantor);
        kept.push([f64::from(scopes), memory / 1000.0]);
        told.push([f64::from(scopes), bytes]);
    }
    note.slope("member_memory", "KB resident a member", "scopes that it follows", &kept);
    note.slope("wire_interest", "bytes of an ask", "scopes told in it", &told);
    let (mut granted, mut followed) = (Vec::new(), Vec::new());
    for followers in [30, 100, 300, 1000] {
        let of = control::asked(followers, 100 * runs)?;
        granted.push([f64::from(followers), of.grantor_us]);
        followed.push([f64::from(followers), of.follower_us]);
    }
    note.slope("grantor_cpu", "us an ask, frames included, without sockets", "followers", &granted);
    note.slope(
        "follower_cpu",
        "us an ask, frames included, without sockets",
        "followers of its grantor",
        &followed,
    );
    let (mut bytes, mut read) = (Vec::new(), Vec::new());
    for hosts in [2_000, 20_000, 100_000, 200_000] {
        let [length, us] = snapshot(hosts, runs)?;
        bytes.push([f64::from(hosts), length / 1e6]);
        read.push([f64::from(hosts), us / 1000.0]);
    }
    note.slope("snapshot_bytes", "MB on disk", "hosts, with 3.35 tenants each", &bytes);
    note.slope("snapshot_read", "ms of CPU", "hosts, with 3.35 tenants each", &read);
    Ok(())
}
