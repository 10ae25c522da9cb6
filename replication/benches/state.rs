//! Measures the time and memory of replicated state by the size of an installation: in a `Store`, in `Tables`,
//! and as whole `Rules` in each revision, which was the format before scopes.
//!
//! `cargo bench -p ternstack-replication --bench state -- [--json FILE] [--sizes 2000,20000]` prints a table.
//! The sizes are numbers of hosts; the numbers of services, routes and tenants grow in proportion. Memory is
//! the growth of VmRSS in a separate process for each kind of state.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::{Command, ExitCode};
use std::time::Instant;
use ternstack_replication::endpoint_list::{validate, EndpointList};
use ternstack_replication::rules::{self, conflicts, RetryPolicy, Rules};
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Revision, Route, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::Cursor;

const SIZES_HOSTS: [usize; 4] = [2_000, 20_000, 100_000, 200_000];
/// The number of hosts of the installation that has [`SERVICES`], [`ROUTES`] and [`TENANTS`].
const FULL_SIZE_HOSTS: usize = 200_000;
const SERVICES: usize = 3_700;
const ROUTES: usize = 41_000;
const TENANTS: usize = 670_000;

type Error = Box<dyn std::error::Error>;
type Measurements = Vec<(&'static str, f64)>;

/// All entries of an installation, in random order.
struct Fleet {
    rng: ChaCha8Rng,
    entries: Vec<(Scope, Key, Entry)>,
}

impl Fleet {
    fn new(hosts: usize) -> Fleet {
        let in_proportion = |count: usize| (count * hosts / FULL_SIZE_HOSTS).max(1);
        let mut rng = ChaCha8Rng::seed_from_u64(37);
        let mut entries = Vec::new();
        // The share of the n-th service is proportional to 1/n.
        let services = in_proportion(SERVICES);
        let total: f64 = (1..=services).map(|n| 1.0 / n as f64).sum();
        let mut end = 0.0;
        let mut ends = Vec::new();
        for n in 1..=services {
            end += 1.0 / n as f64 / total;
            ends.push(end);
        }
        for n in 0..hosts {
            let at: f64 = rng.random();
            let service = ends.partition_point(|end| *end < at).min(services - 1);
            let host = Host {
                address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n as u32), 8080),
                zone: rng.random_range(0..15),
                draining: false,
                weight_milli: 1000,
                started_s: 1_790_000_000 + n as u32,
            };
            entries.push((Scope::Hosts(service as u32), Key::of(&format!("host-{n}")), Entry::Host(host)));
        }
        for n in 0..in_proportion(ROUTES) {
            let retry_policy = RetryPolicy::Within(rng.random_range(0..9000));
            let route = Route { class: rng.random_range(0..40), retry_policy };
            let scope = Scope::Routes((n % services) as u32);
            entries.push((scope, Key::of(&format!("route-{n}")), Entry::Route(route)));
        }
        for n in 0..in_proportion(TENANTS) {
            let key = Key::of(&format!("tenant-{n}"));
            entries.push((Scope::of_tenant(key), key, Entry::Quota(rng.random_range(1..500))));
        }
        for n in (1..entries.len()).rev() {
            entries.swap(n, rng.random_range(0..=n));
        }
        Fleet { rng, entries }
    }

    fn store(&self) -> Store {
        let mut store = Store::new();
        for (n, chunk) in self.entries.chunks(100).enumerate() {
            let change =
                |entry: &(Scope, Key, Entry)| Change { scope: entry.0, key: entry.1, entry: Some(entry.2) };
            let revision = n as Revision + 1;
            store.add_pending(ChangeSet { revision, changes: chunk.iter().map(change).collect() });
            store.advance_to(revision);
        }
        store
    }

    fn tables(&self) -> Tables {
        let mut tables = Tables::new();
        self.entries.iter().for_each(|(scope, key, entry)| tables.set(*scope, *key, 1, Some(*entry)));
        tables
    }

    /// Returns a change of a random entry; the value of a route does not change.
    fn change(&mut self) -> Change {
        let (scope, key, entry) = self.entries[self.rng.random_range(0..self.entries.len())];
        let entry = match entry {
            Entry::Host(host) => {
                Entry::Host(Host { draining: !host.draining, started_s: self.rng.random(), ..host })
            }
            Entry::Quota(_) => Entry::Quota(self.rng.random_range(1..500)),
            other => other,
        };
        Change { scope, key, entry: Some(entry) }
    }

    /// Returns the hosts and quotas as whole rules, which each revision contained before there were scopes.
    fn rules(&self) -> Rules {
        let mut rules = Rules { list_rev: 1, ..Rules::default() };
        for (_, key, entry) in &self.entries {
            match entry {
                Entry::Host(host) => {
                    let host = rules::Host { address: host.address.to_string(), draining: host.draining };
                    rules.hosts.insert(format!("host-{:016x}", key.0), host);
                }
                Entry::Quota(quota) => drop(rules.quotas.insert(format!("{:010x}", key.0 >> 24), *quota)),
                _ => {}
            }
        }
        rules
    }
}

/// Returns the duration of one run in us: the median of five means over `runs` runs each, because other
/// processes disturb some of them.
fn median_us(runs: usize, mut operation: impl FnMut()) -> f64 {
    let mut means: Vec<f64> = (0..5)
        .map(|_| {
            let start = Instant::now();
            (0..runs).for_each(|_| operation());
            start.elapsed().as_secs_f64() * 1e6 / runs as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    means[means.len() / 2]
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<f64, Error> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: f64 =
        line.ok_or("/proc/self/status has no line VmRSS")?.trim().trim_end_matches(" kB").parse()?;
    Ok(kib * 1024.0)
}

fn measure_store(fleet: &Fleet, changes: &[Change]) -> Measurements {
    let mut store = fleet.store();
    let mut next = changes.iter().cycle().copied();
    let mut step = |store: &mut Store| {
        let revision = store.in_force() + 1;
        store.add_pending(ChangeSet { revision, changes: next.by_ref().take(1).collect() });
        store.advance_to(revision);
    };
    let mut measurements = vec![("store_change_us", median_us(4_000, || step(&mut store)))];
    let last = store.in_force() - 1;
    let since = median_us(20_000, || {
        black_box(store.changed_since(black_box(last)).count());
    });
    measurements.push(("store_changed_since_us", since));

    let scopes: Vec<Scope> = store.scopes().filter(|scope| matches!(scope, Scope::Hosts(_))).collect();
    let largest = scopes.iter().copied().max_by_key(|scope| store.len(*scope)).unwrap_or(Scope::Fleet);
    measurements.push(("hosts_of_largest_service", store.len(largest) as f64));
    let first = median_us(500, || drop(black_box(store.chunk(largest, Cursor::default(), 4096))));
    measurements.push(("store_piece_first_4_kb_us", first));
    // The fetch continues from the middle of the revisions, because there are no tombstones that would restart
    // it.
    let after = Cursor::after(fleet.entries.len() as Revision / 200);
    let later = median_us(500, || drop(black_box(store.chunk(largest, after, 4096))));
    measurements.push(("store_piece_later_4_kb_us", later));
    let mut n = 0;
    let last = median_us(500, || {
        n += 1;
        drop(black_box(store.chunk(
            scopes[n * 7919 % scopes.len()],
            Cursor::after(store.in_force() - 1),
            4096,
        )));
    });
    measurements.push(("store_piece_of_one_change_us", last));
    measurements
}

fn measure_tables(fleet: &Fleet, changes: &[Change]) -> Measurements {
    let mut tables = fleet.tables();
    let mut next = changes.iter().cycle();
    let mut with_next = |operation: &mut dyn FnMut(&Change)| next.by_ref().take(1).for_each(operation);
    let set =
        median_us(4_000, || with_next(&mut |change| tables.set(change.scope, change.key, 1, change.entry)));
    let removal_and_return = median_us(2_000, || {
        with_next(&mut |change| {
            tables.set(change.scope, change.key, 1, None);
            tables.set(change.scope, change.key, 1, change.entry);
        })
    });
    let get = median_us(20_000, || {
        with_next(&mut |change| {
            black_box(tables.get(change.scope, change.key));
        })
    });
    let mut digest = Digest::default();
    let update = median_us(4_000, || {
        with_next(&mut |change| {
            if let Some(entry) = &change.entry {
                digest.remove(change.scope, change.key, entry);
                digest.add(change.scope, change.key, entry);
            }
        })
    });
    black_box(digest);
    vec![
        ("tables_change_us", set),
        ("tables_removal_and_return_us", removal_and_return),
        ("tables_lookup_ns", get * 1000.0),
        ("digest_upkeep_us", update),
    ]
}

/// Measures whole rules in each revision.
fn measure_whole_rules(fleet: &Fleet) -> Result<Measurements, Error> {
    let rules = fleet.rules();
    let versioned = rules::VersionedRules {
        number: 1,
        epoch: 1,
        proposer: "one".into(),
        proposed_ms: 1_790_000_000_000,
        rules,
    };
    let bytes = serde_json::to_vec(&versioned)?.len() as f64;
    let rules = &versioned.rules;
    let (uid, host) = rules.hosts.iter().nth(rules.hosts.len() / 2).ok_or("the installation has no host")?;
    let draining = rules::Host { draining: true, ..host.clone() };
    let list = EndpointList {
        revision: 2,
        complete: false,
        hosts: BTreeMap::from([(uid.clone(), Some(draining.clone()))]),
    };
    let mut other = rules.clone();
    other.hosts.insert(uid.clone(), draining);
    Ok(vec![
        ("before_version_json_bytes", bytes),
        ("before_digest_ms", median_us(1, || drop(black_box(rules.digest()))) / 1e3),
        ("before_look_one_host_ms", median_us(1, || drop(black_box(validate(rules, &list, false)))) / 1e3),
        ("before_contradictions_ms", median_us(1, || drop(black_box(conflicts(rules, &other)))) / 1e3),
    ])
}

/// Prints the bytes that a kind of state takes, by the growth of resident memory and by the state's own
/// account, and the number of entries. Runs in a process of its own, so that other state does not count.
fn print_memory(kind: &str, hosts: usize) -> Result<(), Error> {
    let mut fleet = Fleet::new(hosts);
    let baseline_bytes = resident_bytes()?;
    let (held_bytes, account_bytes) = match kind {
        "store" => {
            let store = fleet.store();
            (resident_bytes()? - baseline_bytes, store.memory_bytes())
        }
        "tables" => {
            let tables = fleet.tables();
            (resident_bytes()? - baseline_bytes, tables.memory_bytes())
        }
        // The tables have had as many changes as entries, and every fifth change removed the entry first.
        "worn" => {
            let mut tables = fleet.tables();
            for n in 0..fleet.entries.len() {
                let change = fleet.change();
                if n.is_multiple_of(5) {
                    tables.set(change.scope, change.key, 1, None);
                }
                tables.set(change.scope, change.key, 1, change.entry);
            }
            (resident_bytes()? - baseline_bytes, tables.memory_bytes())
        }
        "rules" => {
            let rules = fleet.rules();
            let held_bytes = resident_bytes()? - baseline_bytes;
            drop(black_box(rules));
            (held_bytes, 0)
        }
        other => return Err(format!("unknown kind {other}, expected store, tables, worn or rules").into()),
    };
    println!("{held_bytes} {account_bytes} {}", fleet.entries.len());
    Ok(())
}

fn measure_memory(hosts: usize) -> Result<Measurements, Error> {
    let mut measurements = Vec::new();
    let names = [
        ("store", ["store_rss_bytes", "store_rss_bytes_an_entry", "store_account_bytes"]),
        ("tables", ["tables_rss_bytes", "tables_rss_bytes_an_entry", "tables_account_bytes"]),
        ("worn", ["tables_worn_rss_bytes", "tables_worn_rss_bytes_an_entry", "tables_worn_account_bytes"]),
        ("rules", ["before_rss_bytes", "before_rss_bytes_an_entry", ""]),
    ];
    for (kind, [total, per_entry, account]) in names {
        let output =
            Command::new(std::env::current_exe()?).args(["--memory", kind, &hosts.to_string()]).output()?;
        if !output.status.success() {
            return Err(format!(
                "measuring the memory of {kind} failed: {}",
                String::from_utf8_lossy(&output.stderr)
            )
            .into());
        }
        let text = String::from_utf8(output.stdout)?;
        let numbers: Vec<f64> = text.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
        let [held_bytes, accounted, entries] = numbers[..] else {
            return Err(
                format!("measuring the memory of {kind} printed {text:?}, expected three numbers").into()
            );
        };
        measurements.extend([(total, held_bytes), (per_entry, held_bytes / entries), (account, accounted)]);
    }
    measurements.retain(|(name, _)| !name.is_empty());
    Ok(measurements)
}

fn print_table(rows: &BTreeMap<usize, Measurements>) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    write!(out, "{:<34}", "hosts")?;
    rows.keys().try_for_each(|size| write!(out, "{size:>14}"))?;
    let first = rows.values().next();
    for (n, (name, _)) in first.into_iter().flatten().enumerate() {
        write!(out, "\n{name:<34}")?;
        for value in rows.values().filter_map(|measurements| measurements.get(n)).map(|(_, value)| value) {
            let decimals = if value.fract() == 0.0 { 0 } else { 3 };
            write!(out, "{value:>14.decimals$}")?;
        }
    }
    writeln!(out)
}

fn run() -> Result<(), Error> {
    let mut args = std::env::args().skip(1);
    let (mut json, mut sizes) = (None, SIZES_HOSTS.to_vec());
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--memory" => {
                let kind = args.next().ok_or("--memory needs a kind and a size")?;
                return print_memory(&kind, args.next().ok_or("--memory needs a kind and a size")?.parse()?);
            }
            "--json" => json = Some(args.next().ok_or("--json needs a file")?),
            "--sizes" => {
                let list = args.next().ok_or("--sizes needs numbers of hosts, separated by commas")?;
                sizes = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            // Cargo passes this flag to every bench.
            "--bench" => {}
            other => return Err(format!("unknown flag {other}").into()),
        }
    }
    let mut rows: BTreeMap<usize, Measurements> = BTreeMap::new();
    for size in sizes {
        let mut fleet = Fleet::new(size);
        let changes: Vec<Change> = (0..20_000).map(|_| fleet.change()).collect();
        let mut measurements = vec![("entries", fleet.entries.len() as f64)];
        measurements.extend(measure_store(&fleet, &changes));
        measurements.extend(measure_tables(&fleet, &changes));
        measurements.extend(measure_memory(size)?);
        measurements.extend(measure_whole_rules(&fleet)?);
        rows.insert(size, measurements);
    }
    print_table(&rows)?;
    if let Some(file) = json {
        let rows: BTreeMap<usize, BTreeMap<&str, f64>> =
            rows.into_iter().map(|(size, measurements)| (size, measurements.into_iter().collect())).collect();
        std::fs::write(file, serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("state: {error}");
            ExitCode::from(2)
        }
    }
}
