//! Measures the slopes of the current code, and prints them in the format of the capacity file.
//!
//! Costs are CPU time of a thread or of a gateway process as counted by the kernel. The smallest of several
//! runs counts, because other programs may use the machine.
use super::control::{self, key, measure_snapshot};
use super::decision::WarmBalancer;
use super::gateway::{config, host, hosts, resident_bytes, tenant, thread_cpu_us, Discovery, Gateway};
use super::load::{apply_load, LoadParameters};
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

/// Measurements to choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Decisions by the number of hosts in a list
    Decision,
    /// Tenants in the settings
    Tenants,
    /// Discovery lists at a gateway process
    List,
    /// Requests through a gateway process
    DataPath,
    /// Start of a gateway process
    Start,
    /// Versions that contain the whole state
    WholeState,
    /// Frames between followers and lessors
    Wire,
    /// Polls, responses and snapshots, without sockets
    Control,
}

/// Runs these measurements, or all if `what` is empty, and prints each slope once it is measured.
///
/// # Errors
///
/// Fails at the first measurement that fails.
pub fn run_measurements(what: &[Measurement], commit: &str, runs: u32) -> Result<(), String> {
    let all = Measurement::value_variants();
    for what in if what.is_empty() { all } else { what } {
        let printer = Printer { what: *what, commit };
        match what {
            Measurement::Decision => measure_decision(&printer, runs)?,
            Measurement::Tenants => measure_tenants(&printer, runs)?,
            Measurement::List => measure_list(&printer, runs)?,
            Measurement::DataPath => measure_data_path(&printer, runs)?,
            Measurement::Start => measure_start(&printer, runs)?,
            Measurement::WholeState => measure_whole_state(&printer, runs)?,
            Measurement::Wire => measure_wire(&printer)?,
            Measurement::Control => measure_control(&printer, runs)?,
        }
    }
    Ok(())
}

/// Prints measured slopes in the format of the capacity file, with their source.
struct Printer<'a> {
    what: Measurement,
    commit: &'a str,
}

impl Printer<'_> {
    /// Prints the command and the commit.
    fn print_source(&self) {
        let name = self.what.to_possible_value().map_or(String::new(), |v| v.get_name().to_string());
        println!(
            "command = \"ternstack-fleet-simulator capacity measure {name}\"\ncommit = \"{}\"",
            self.commit
        );
    }

    /// Prints a slope that is a single value.
    fn print_value(&self, name: &str, unit: &str, value: f64) {
        println!("[[slope]]\nname = \"{name}\"\nunit = \"{unit}\"\nvalue = {value:?}");
        self.print_source();
        println!();
    }

    /// Prints a slope with points.
    fn print_slope(&self, name: &str, unit: &str, per: &str, points: &[[f64; 2]]) {
        println!("[[slope]]\nname = \"{name}\"\nunit = \"{unit}\"\nper = \"{per}\"");
        let points: Vec<[f64; 2]> = points.iter().map(|[n, v]| [*n, round_to_three_digits(*v)]).collect();
        println!("points = {points:?}");
        self.print_source();
        let growth = growth(&points);
        let growth_text = growth.map_or("no growth".into(), |g| {
            format!("{}: n^{:.2}, at the end n^{:.2}", g.word, g.power, g.end)
        });
        println!("# grows: {growth_text}\n");
    }
}

/// Rounds to three significant digits, because more are not reproducible.
fn round_to_three_digits(value: f64) -> f64 {
    let text = format!("{value:.2e}");
    text.parse().unwrap_or(value)
}

/// Returns the growth of measured points.
pub fn growth(points: &[[f64; 2]]) -> Option<Growth> {
    Slope::from_points(points).growth()
}

/// Returns the smallest result of several runs.
fn smallest(runs: u32, mut run: impl FnMut() -> Result<f64, String>) -> Result<f64, String> {
    let mut smallest = f64::INFINITY;
    for _ in 0..runs {
        smallest = smallest.min(run()?);
    }
    Ok(smallest)
}

/// Returns the CPU time of one call, in us. Short calls are repeated, because CPU time is counted in steps of
/// some ms.
fn cpu_us_per_call(runs: u32, mut call: impl FnMut()) -> Result<f64, String> {
    let mut calls = 1_u32;
    loop {
        let from = thread_cpu_us()?;
        (0..calls).for_each(|_| call());
        let spent = thread_cpu_us()? - from;
        if spent > 60_000.0 || calls >= 1 << 24 {
            let first = spent / f64::from(calls);
            let more = smallest(runs.saturating_sub(1), || {
                let from = thread_cpu_us()?;
                (0..calls).for_each(|_| call());
                Ok((thread_cpu_us()? - from) / f64::from(calls))
            })?;
            return Ok(first.min(more));
        }
        calls *= 2;
    }
}

/// Requests per second for each host: 3.2 million for 200,000 hosts.
const REQUESTS_PER_HOST_PER_S: f64 = 16.0;

fn measure_decision(printer: &Printer, runs: u32) -> Result<(), String> {
    // The load per host does not depend on the number of hosts; the gateways share it.
    for (name, gateway_count) in [("decision_of_8900", 8900), ("decision_of_300", 300), ("decision_alone", 1)]
    {
        let mut points = Vec::new();
        for hosts in [54, 200, 1000, 5000] {
            let gap_ms = 1000.0 * f64::from(gateway_count) / (REQUESTS_PER_HOST_PER_S * f64::from(hosts));
            let mut warm = WarmBalancer::new(hosts, gateway_count, gap_ms)?;
            (warm.sent, warm.requests) = (0, 0);
            points.push([f64::from(hosts), cpu_us_per_call(runs, || warm.complete_request())?]);
            eprintln!("{name}, {hosts} hosts: {} of {} requests sent", warm.sent, warm.requests);
        }
        printer.print_slope(name, "us a request", "hosts of a list", &points);
    }
    // Several balancers in one process, as in a gateway with many services.
    let (mut kept, mut points) = (Vec::new(), Vec::new());
    for hosts in [54, 200, 1000, 5000] {
        let gap_ms = 1000.0 * 8900.0 / (REQUESTS_PER_HOST_PER_S * f64::from(hosts));
        let count = 54_000 / hosts;
        let before = resident_bytes(Path::new("/proc/self/status"))?;
        for _ in 0..count {
            kept.push(WarmBalancer::new(hosts, 8900, gap_ms)?);
        }
        let more = resident_bytes(Path::new("/proc/self/status"))? - before;
        points.push([f64::from(hosts), more / f64::from(count) / 1e6]);
    }
    printer.print_slope("module_memory", "MB resident a module", "hosts of a list", &points);
    Ok(())
}

fn measure_tenants(printer: &Printer, runs: u32) -> Result<(), String> {
    let (mut look_ups, mut read, mut memory, mut ready) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let list = hosts(54);
    let discovery = Discovery::start(&list)?;
    // Memory of a gateway with one tenant, which is subtracted.
    let one = Gateway::start(&config(8900, 1, discovery.address, list.clone()))?;
    one.settled_cpu_us()?;
    let base = one.resident_bytes()? / 1e6;
    for count in [100, 1_000, 10_000, 100_000, 670_000_usize] {
        let n = count as f64;
        let config = config(8900, count, discovery.address, list.clone());
        let deployment =
            ternstack_settings::Deployment::from_json(&config["settings"]).map_err(|e| e.to_string())?;
        // The step visits names evenly over the whole range.
        let names: Vec<String> = (0..1009).map(|k| tenant(1 + k * 7919 * 13 % (count - 1))).collect();
        let mut next = 0;
        let mut missed = 0_u32;
        look_ups.push([
            n,
            cpu_us_per_call(runs, || {
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
            cpu_us_per_call(runs, || {
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                std::hint::black_box(ternstack_settings::Deployment::from_json(&value["settings"]).is_ok());
            })? / 1000.0,
        ]);
        let (mut bytes, mut ms) = (f64::INFINITY, f64::INFINITY);
        for _ in 0..runs {
            let gateway = Gateway::start(&config)?;
            ms = ms.min(gateway.ready_after.as_secs_f64() * 1000.0);
            gateway.settled_cpu_us()?;
            bytes = bytes.min(gateway.resident_bytes()? / 1e6);
        }
        // Smaller differences are noise of the allocator.
        if bytes - base > 0.1 {
            memory.push([n, bytes - base]);
        }
        ready.push([n, ms]);
    }
    printer.print_slope("tenant_look_up", "us a look-up", "tenants in the settings", &look_ups);
    printer.print_slope("tenants_read", "ms of CPU, JSON and settings", "tenants in the settings", &read);
    printer.print_slope(
        "tenants_memory",
        "MB resident beyond one tenant's, real gateway",
        "tenants in the settings",
        &memory,
    );
    printer.print_slope("tenants_ready", "ms to ready, real gateway", "tenants in the settings", &ready);
    Ok(())
}

/// Number of consecutive changes that are averaged.
const AVERAGED_CHANGES: usize = 20;

fn measure_list(printer: &Printer, runs: u32) -> Result<(), String> {
    let (mut sent, mut whole, mut memory, mut change) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let empty = json!({"rev": 0, "all": true, "targets": []});
    // Cost of a gateway with one host, which is subtracted.
    let mut one = list_cost(&empty, 1)?;
    for _ in 1..runs {
        let repeated = list_cost(&empty, 1)?;
        (one.cpu_us, one.resident) = (one.cpu_us.min(repeated.cpu_us), one.resident.min(repeated.resident));
    }
    for count in [500, 2_000, 8_000, 20_000_usize] {
        let n = count as f64;
        let (mut cpu, mut bytes, mut each) = (f64::INFINITY, f64::INFINITY, f64::INFINITY);
        for _ in 0..runs {
            let cost = list_cost(&empty, count)?;
            cpu = cpu.min((cost.cpu_us - one.cpu_us).max(1.0) / 1000.0);
            bytes = bytes.min((cost.resident - one.resident).max(1.0) / 1e6);
            each = each.min(cost.change_us / 1000.0);
        }
        sent.push([n, hosts(count).to_string().len() as f64 / 1e6]);
        whole.push([n, cpu]);
        memory.push([n, bytes]);
        change.push([n, each]);
    }
    printer.print_slope("list_bytes", "MB of JSON", "hosts", &sent);
    printer.print_slope("list_whole", "ms of CPU, real gateway", "hosts", &whole);
    printer.print_slope("list_memory", "MB resident beyond one host's, real gateway", "hosts", &memory);
    printer.print_slope("list_change", "ms of CPU a change, real gateway", "hosts", &change);
    Ok(())
}

struct ListCost {
    cpu_us: f64,
    resident: f64,
    change_us: f64,
}

fn list_cost(empty: &Value, count: usize) -> Result<ListCost, String> {
    let discovery = Discovery::start(&hosts(count))?;
    let gateway = Gateway::start(&config(8900, 1, discovery.address, empty.clone()))?;
    discovery.wait_for(2)?;
    let cpu_us = gateway.settled_cpu_us()?;
    let resident = gateway.resident_bytes()?;
    let at = SocketAddr::from(([10, 0, 0, 1], 8080));
    let from = gateway.cpu_us()?;
    for n in 0..AVERAGED_CHANGES {
        discovery.publish_change(&host(0, at, if n % 2 == 0 { "DRAINING" } else { "SERVING" }))?;
    }
    let change_us = (gateway.settled_cpu_us()? - from) / AVERAGED_CHANGES as f64;
    Ok(ListCost { cpu_us, resident, change_us })
}

/// Measures a load. Returns the smallest CPU time and connection count of several runs, but the median of the
/// latencies added at p50 and p99, because a difference of two quantiles may err in both directions.
fn measure_load(load: &LoadParameters, runs: u32) -> Result<[f64; 4], String> {
    let mut all: [Vec<f64>; 4] = Default::default();
    for _ in 0..runs {
        let cost = apply_load(load)?;
        eprintln!("{load:?}: {cost:?}");
        let figures = [cost.cpu_us, cost.added_ms[0], cost.added_ms[1], cost.connections];
        all.iter_mut().zip(figures).for_each(|(all, figure)| all.push(figure));
    }
    all.iter_mut().for_each(|figures| figures.sort_by(f64::total_cmp));
    let median = |sorted: &[f64]| sorted[sorted.len() / 2];
    Ok([all[0][0], median(&all[1]), median(&all[2]), all[3][0]])
}

/// Requests per second at each gateway: 3.2 million over 8,900 gateways.
const REQUESTS_PER_GATEWAY_PER_S: f64 = 360.0;

fn measure_data_path(printer: &Printer, runs: u32) -> Result<(), String> {
    let load = LoadParameters {
        hosts: 54,
        gateway_count: 1,
        per_s: REQUESTS_PER_GATEWAY_PER_S,
        duration: Duration::from_secs(5),
        host_work: Duration::ZERO,
        idle: Duration::from_secs(5),
    };
    let (mut by_rate, mut p50, mut p99, mut dialled) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    // A connection is idle between a response and the next request, so that the added latency depends on how
    // often a gateway uses the same host.
    for hosts in [500, 200, 54, 24] {
        let [_, median, high, _] = measure_load(&LoadParameters { hosts, ..load }, runs)?;
        let each = load.per_s / hosts as f64;
        p50.push([round_to_three_digits(each), median]);
        p99.push([round_to_three_digits(each), high]);
    }
    for per_s in [100.0, 200.0, 400.0, 800.0] {
        let [cpu, ..] = measure_load(&LoadParameters { per_s, ..load }, runs)?;
        by_rate.push([per_s, cpu]);
        let [cpu, ..] =
            measure_load(&LoadParameters { per_s, idle: Duration::from_millis(1), ..load }, runs)?;
        dialled.push([per_s, cpu]);
    }
    printer.print_slope(
        "data_path_by_rate",
        "us of CPU a request, real gateway",
        "requests a second",
        &by_rate,
    );
    printer.print_slope(
        "data_path_dialled",
        "us of CPU a request, real gateway",
        "requests a second",
        &dialled,
    );
    printer.print_slope(
        "added_p50",
        "ms added at p50, real gateway",
        "requests a second of a gateway to a host",
        &p50,
    );
    printer.print_slope(
        "added_p99",
        "ms added at p99, real gateway",
        "requests a second of a gateway to a host",
        &p99,
    );
    let (mut cpu, mut connections) = (Vec::new(), Vec::new());
    for hosts in [24, 54, 200, 500] {
        // The hosts' work keeps connections busy. The number of gateways that share the list is such that
        // each host gets its usual load.
        let host_work = Duration::from_millis(20);
        let gateway_count =
            (hosts as f64 * REQUESTS_PER_HOST_PER_S / REQUESTS_PER_GATEWAY_PER_S).round().max(1.0) as u32;
        let [us, _, _, held] =
            measure_load(&LoadParameters { hosts, gateway_count, host_work, ..load }, runs)?;
        cpu.push([hosts as f64, us]);
        connections.push([hosts as f64, held]);
    }
    printer.print_slope("data_path_by_hosts", "us of CPU a request, real gateway", "hosts of a list", &cpu);
    printer.print_slope("connections", "connections kept, real gateway", "hosts of a list", &connections);
    Ok(())
}

fn measure_start(printer: &Printer, runs: u32) -> Result<(), String> {
    let mut ready = Vec::new();
    for count in [54, 500, 2_000, 8_000, 20_000_usize] {
        let list = hosts(count);
        let discovery = Discovery::start(&list)?;
        let config = config(8900, 1, discovery.address, list);
        let ms = smallest(runs, || Ok(Gateway::start(&config)?.ready_after.as_secs_f64() * 1000.0))?;
        ready.push([count as f64, ms]);
    }
    printer.print_slope("list_ready", "ms to ready, real gateway", "hosts known at the start", &ready);
    Ok(())
}

/// Tenants per host.
const TENANTS_PER_HOST: f64 = 3.35;

fn measure_whole_state(printer: &Printer, runs: u32) -> Result<(), String> {
    let mut slopes: BTreeMap<&str, Vec<[f64; 2]>> = BTreeMap::new();
    for count in [2_000, 20_000, 100_000, 200_000_usize] {
        let mut add_point = |name, value| slopes.entry(name).or_default().push([count as f64, value]);
        let host = |n: usize| {
            let address = format!("10.{}.{}.{}:8080", n >> 16, n >> 8 & 255, n & 255);
            (format!("server-{n:06}"), Host { address, draining: false })
        };
        let tenant_count = (count as f64 * TENANTS_PER_HOST) as usize;
        let rules = Rules {
            quotas: (0..tenant_count).map(|n| (tenant(n), 10)).collect(),
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
        add_point("whole_state_bytes", text.len() as f64 / 1e6);
        add_point(
            "whole_state_look",
            cpu_us_per_call(runs, || drop(std::hint::black_box(validate(&rules, &seen, false))))? / 1e3,
        );
        add_point(
            "whole_state_digest",
            cpu_us_per_call(runs, || drop(std::hint::black_box(rules.digest())))? / 1e3,
        );
        let compare = || drop(std::hint::black_box(conflicts(&rules, &other)));
        add_point("whole_state_compare", cpu_us_per_call(runs, compare)? / 1e3);
    }
    for (name, points) in &slopes {
        let unit = if name.ends_with("bytes") { "MB of JSON a version" } else { "ms of CPU a version" };
        printer.print_slope(name, unit, "hosts, with 3.35 tenants each", points);
    }
    Ok(())
}

/// Measures the size of frames by the changes or entries in them, at the revisions that a year brings.
fn measure_wire(printer: &Printer) -> Result<(), String> {
    const NUMBER: u64 = 22_000_000;
    let bytes = |message: Message| -> Result<f64, String> {
        let mut frame = Vec::new();
        encode(&message, &mut frame).map_err(|e| e.to_string())?;
        Ok(frame.len() as f64)
    };
    let member =
        ternstack_replication::wire::Member { name: "gateway-4711".into(), incarnation: 1_790_000_000 };
    let subscription = Subscription::Unchanged { generation: 1_000 };
    let poll = PollRequest {
        member,
        sequence: 1 << 20,
        known: NUMBER,
        in_force: NUMBER,
        acknowledged: 1 << 20,
        subscription,
        fetch: Vec::new(),
    };
    let response = PollResponse {
        sequence: 1 << 20,
        generation: 1_000,
        lease_us: 1_900_000,
        in_force: NUMBER,
        through: NUMBER,
        chunks: Vec::new(),
        stale: Vec::new(),
        pending: Vec::new(),
    };
    let empty_exchange = bytes(Message::PollRequest(poll))? + bytes(Message::PollResponse(response.clone()))?;
    printer.print_value("wire_quiet", "bytes of an ask and a grant with nothing in it", empty_exchange);
    let (mut changes, mut hosts, mut quotas) = (Vec::new(), Vec::new(), Vec::new());
    for count in [1, 10, 100, 1000_u32] {
        let change =
            |n: u32| Change { scope: Scope::Hosts(n % 3700), key: key(n), entry: Some(control::host(n)) };
        // Each change is in a change set of its own, as in normal operation.
        let version = |n: u32| scope::ChangeSet { revision: NUMBER + u64::from(n), changes: vec![change(n)] };
        let pending = (0..count).map(version).collect();
        let frame_bytes = bytes(Message::PollResponse(PollResponse { pending, ..response.clone() }))?;
        changes.push([f64::from(count), frame_bytes]);
        let add_chunk = |scope, entry: &dyn Fn(u32) -> Entry, to: &mut Vec<[f64; 2]>| -> Result<(), String> {
            let entries = (0..count)
                .map(|n| ChunkEntry { revision: NUMBER, key: key(n), entry: Some(entry(n)) })
                .collect();
            let parts =
                vec![ScopeChunk { scope, restart: true, entries, final_digest: Some(Digest(u128::MAX)) }];
            let frame_bytes =
                bytes(Message::PollResponse(PollResponse { chunks: parts, ..response.clone() }))?;
            to.push([f64::from(count), frame_bytes]);
            Ok(())
        };
        add_chunk(Scope::Hosts(3000), &control::host, &mut hosts)?;
        add_chunk(Scope::Tenants(3000), &|n| Entry::Quota(100 + n), &mut quotas)?;
    }
    let spread = (changes[3][1] - changes[0][1]) / (changes[3][0] - changes[0][0]);
    printer.print_value(
        "wire_change",
        "bytes of a change in a grant of up to 1,000",
        round_to_three_digits(spread),
    );
    printer.print_slope("wire_changes", "bytes of a grant", "changes of hosts in it", &changes);
    printer.print_slope("wire_hosts", "bytes of a grant", "hosts fetched with it", &hosts);
    printer.print_slope("wire_quotas", "bytes of a grant", "tenants fetched with it", &quotas);
    Ok(())
}

fn measure_control(printer: &Printer, runs: u32) -> Result<(), String> {
    // Memory is measured first, before earlier measurements leave freed memory behind.
    let (mut kept, mut poll_bytes, mut lessors) = (Vec::new(), Vec::new(), Vec::new());
    for scopes in [100, 1_000, 4_000, 11_496] {
        let ([memory, bytes], lessor) = control::measure_members(scopes, 600)?;
        lessors.push(lessor);
        kept.push([f64::from(scopes), memory / 1000.0]);
        poll_bytes.push([f64::from(scopes), bytes]);
    }
    printer.print_slope("member_memory", "KB resident a member", "scopes that it follows", &kept);
    printer.print_slope("wire_interest", "bytes of an ask", "scopes told in it", &poll_bytes);
    let (mut lessor_cost, mut follower_cost) = (Vec::new(), Vec::new());
    for followers in [30, 100, 300, 1000] {
        let cost = control::measure_polls(followers, 100 * runs)?;
        lessor_cost.push([f64::from(followers), cost.lessor_us]);
        follower_cost.push([f64::from(followers), cost.follower_us]);
    }
    printer.print_slope(
        "grantor_cpu",
        "us an ask, frames included, without sockets",
        "followers",
        &lessor_cost,
    );
    printer.print_slope(
        "follower_cpu",
        "us an ask, frames included, without sockets",
        "followers of its grantor",
        &follower_cost,
    );
    let (mut bytes, mut read) = (Vec::new(), Vec::new());
    for hosts in [2_000, 20_000, 100_000, 200_000] {
        let [length, us] = measure_snapshot(hosts, runs)?;
        bytes.push([f64::from(hosts), length / 1e6]);
        read.push([f64::from(hosts), us / 1000.0]);
    }
    printer.print_slope("snapshot_bytes", "MB on disk", "hosts, with 3.35 tenants each", &bytes);
    printer.print_slope("snapshot_read", "ms of CPU", "hosts, with 3.35 tenants each", &read);
    Ok(())
}
