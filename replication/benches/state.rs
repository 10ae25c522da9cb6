//! What state costs as an installation grows: in a `Store`, in `Tables`, and as it was before, whole `Rules` in each version.
//!
//! `cargo bench -p ternstack-replication --bench state -- [--json FILE] [--sizes 2000,20000]` prints a table; sizes count hosts, and
//! services, routes and tenants grow with them. Memory is the growth of VmRSS in a process of its own for each figure.
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

const SIZES: [usize; 4] = [2_000, 20_000, 100_000, 200_000];
/// Of an installation of 200,000 hosts.
const FULL: usize = 200_000;
const SERVICES: usize = 3_700;
const ROUTES: usize = 41_000;
const TENANTS: usize = 670_000;

type Failed = Box<dyn std::error::Error>;
type Figures = Vec<(&'static str, f64)>;

/// Everything of an installation, in the drawn order in which it would come.
struct Fleet {
    rng: ChaCha8Rng,
    entries: Vec<(Scope, Key, Entry)>,
}

impl Fleet {
    fn new(hosts: usize) -> Fleet {
        let part = |of: usize| (of * hosts / FULL).max(1);
        let mut rng = ChaCha8Rng::seed_from_u64(37);
        let mut entries = Vec::new();
        // The n-th service has a share of 1/n.
        let services = part(SERVICES);
        let whole: f64 = (1..=services).map(|n| 1.0 / n as f64).sum();
        let mut end = 0.0;
        let mut ends = Vec::new();
        for n in 1..=services {
            end += 1.0 / n as f64 / whole;
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
        for n in 0..part(ROUTES) {
            let repeat = RetryPolicy::Within(rng.random_range(0..9000));
            let route = Route { class: rng.random_range(0..40), retry_policy: repeat };
            let scope = Scope::Routes((n % services) as u32);
            entries.push((scope, Key::of(&format!("route-{n}")), Entry::Route(route)));
        }
        for n in 0..part(TENANTS) {
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
            let change = |e: &(Scope, Key, Entry)| Change { scope: e.0, key: e.1, entry: Some(e.2) };
            let number = n as Revision + 1;
            store.add_pending(ChangeSet { revision: number, changes: chunk.iter().map(change).collect() });
            store.advance_to(number);
        }
        store
    }

    fn tables(&self) -> Tables {
        let mut tables = Tables::new();
        self.entries.iter().for_each(|(scope, key, entry)| tables.set(*scope, *key, 1, Some(*entry)));
        tables
    }

    /// A drawn entry, changed a little.
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

    /// The same as whole rules, as versions had them before there were scopes.
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

/// Mean us of a run, of so many at a time; the median of five such means, as other processes disturb some.
fn us(runs: usize, mut what: impl FnMut()) -> f64 {
    let mut means: Vec<f64> = (0..5)
        .map(|_| {
            let start = Instant::now();
            (0..runs).for_each(|_| what());
            start.elapsed().as_secs_f64() * 1e6 / runs as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    means[means.len() / 2]
}

/// Resident memory of this process in bytes.
fn resident() -> Result<f64, Failed> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: f64 = line.ok_or("no VmRSS in /proc/self/status")?.trim().trim_end_matches(" kB").parse()?;
    Ok(kib * 1024.0)
}

fn of_store(fleet: &Fleet, changes: &[Change]) -> Figures {
    let mut store = fleet.store();
    let mut next = changes.iter().cycle().copied();
    let mut step = |store: &mut Store| {
        let number = store.in_force() + 1;
        store.add_pending(ChangeSet { revision: number, changes: next.by_ref().take(1).collect() });
        store.advance_to(number);
    };
    let mut figures = vec![("store_change_us", us(4_000, || step(&mut store)))];
    let last = store.in_force() - 1;
    let since = us(20_000, || {
        black_box(store.changed_since(black_box(last)).count());
    });
    figures.push(("store_changed_since_us", since));

    let scopes: Vec<Scope> = store.scopes().filter(|scope| matches!(scope, Scope::Hosts(_))).collect();
    let largest = scopes.iter().copied().max_by_key(|scope| store.len(*scope)).unwrap_or(Scope::Fleet);
    figures.push(("hosts_of_largest_service", store.len(largest) as f64));
    let first = us(500, || drop(black_box(store.chunk(largest, Cursor::default(), 4096))));
    figures.push(("store_piece_first_4_kb_us", first));
    // From the middle of what there is on; nothing was removed, so that it goes on from there.
    let after = Cursor::after(fleet.entries.len() as Revision / 200);
    let later = us(500, || drop(black_box(store.chunk(largest, after, 4096))));
    figures.push(("store_piece_later_4_kb_us", later));
    let mut n = 0;
    let last = us(500, || {
        n += 1;
        drop(black_box(store.chunk(
            scopes[n * 7919 % scopes.len()],
            Cursor::after(store.in_force() - 1),
            4096,
        )));
    });
    figures.push(("store_piece_of_one_change_us", last));
    figures
}

fn of_tables(fleet: &Fleet, changes: &[Change]) -> Figures {
    let mut tables = fleet.tables();
    let mut next = changes.iter().cycle();
    let mut with = |what: &mut dyn FnMut(&Change)| next.by_ref().take(1).for_each(what);
    let set = us(4_000, || with(&mut |c| tables.set(c.scope, c.key, 1, c.entry)));
    let come_and_go = us(2_000, || {
        with(&mut |c| {
            tables.set(c.scope, c.key, 1, None);
            tables.set(c.scope, c.key, 1, c.entry);
        })
    });
    let get = us(20_000, || {
        with(&mut |c| {
            black_box(tables.get(c.scope, c.key));
        })
    });
    let mut digest = Digest::default();
    let upkeep = us(4_000, || {
        with(&mut |c| {
            if let Some(entry) = &c.entry {
                digest.remove(c.scope, c.key, entry);
                digest.add(c.scope, c.key, entry);
            }
        })
    });
    black_box(digest);
    vec![
        ("tables_change_us", set),
        ("tables_removal_and_return_us", come_and_go),
        ("tables_lookup_ns", get * 1000.0),
        ("digest_upkeep_us", upkeep),
    ]
}

/// Whole rules in each version.
fn before(fleet: &Fleet) -> Result<Figures, Failed> {
    let rules = fleet.rules();
    let version = rules::VersionedRules {
        number: 1,
        epoch: 1,
        proposer: "one".into(),
        proposed_ms: 1_790_000_000_000,
        rules,
    };
    let bytes = serde_json::to_vec(&version)?.len() as f64;
    let rules = &version.rules;
    let (uid, host) = rules.hosts.iter().nth(rules.hosts.len() / 2).ok_or("no host")?;
    let drained = rules::Host { draining: true, ..host.clone() };
    let seen = EndpointList {
        revision: 2,
        complete: false,
        hosts: BTreeMap::from([(uid.clone(), Some(drained.clone()))]),
    };
    let mut other = rules.clone();
    other.hosts.insert(uid.clone(), drained);
    Ok(vec![
        ("before_version_json_bytes", bytes),
        ("before_digest_ms", us(1, || drop(black_box(rules.digest()))) / 1e3),
        ("before_look_one_host_ms", us(1, || drop(black_box(validate(rules, &seen, false)))) / 1e3),
        ("before_contradictions_ms", us(1, || drop(black_box(conflicts(rules, &other)))) / 1e3),
    ])
}

/// Run in a process of its own: bytes that a kind of state takes, by the growth of its resident memory and by its account.
fn memory(kind: &str, hosts: usize) -> Result<(), Failed> {
    let mut fleet = Fleet::new(hosts);
    let idle = resident()?;
    let (held, account) = match kind {
        "store" => {
            let store = fleet.store();
            (resident()? - idle, store.memory_bytes())
        }
        "tables" => {
            let tables = fleet.tables();
            (resident()? - idle, tables.memory_bytes())
        }
        // After as many changes as there are entries, each fifth a removal that comes back.
        "worn" => {
            let mut tables = fleet.tables();
            for n in 0..fleet.entries.len() {
                let change = fleet.change();
                if n.is_multiple_of(5) {
                    tables.set(change.scope, change.key, 1, None);
                }
                tables.set(change.scope, change.key, 1, change.entry);
            }
            (resident()? - idle, tables.memory_bytes())
        }
        "rules" => {
            let rules = fleet.rules();
            let held = resident()? - idle;
            drop(black_box(rules));
            (held, 0)
        }
        other => return Err(format!("no memory of {other}, expected store, tables, worn or rules").into()),
    };
    println!("{held} {account} {}", fleet.entries.len());
    Ok(())
}

fn of_memory(hosts: usize) -> Result<Figures, Failed> {
    let mut figures = Vec::new();
    let names = [
        ("store", ["store_rss_bytes", "store_rss_bytes_an_entry", "store_account_bytes"]),
        ("tables", ["tables_rss_bytes", "tables_rss_bytes_an_entry", "tables_account_bytes"]),
        ("worn", ["tables_worn_rss_bytes", "tables_worn_rss_bytes_an_entry", "tables_worn_account_bytes"]),
        ("rules", ["before_rss_bytes", "before_rss_bytes_an_entry", ""]),
    ];
    for (kind, [whole, each, account]) in names {
        let output =
            Command::new(std::env::current_exe()?).args(["--memory", kind, &hosts.to_string()]).output()?;
        if !output.status.success() {
            return Err(format!("memory of {kind}: {}", String::from_utf8_lossy(&output.stderr)).into());
        }
        let text = String::from_utf8(output.stdout)?;
        let numbers: Vec<f64> = text.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
        let [held, accounted, entries] = numbers[..] else {
            return Err(format!("memory of {kind}: {text}").into());
        };
        figures.extend([(whole, held), (each, held / entries), (account, accounted)]);
    }
    figures.retain(|(name, _)| !name.is_empty());
    Ok(figures)
}

fn table(rows: &BTreeMap<usize, Figures>) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    write!(out, "{:<34}", "hosts")?;
    rows.keys().try_for_each(|size| write!(out, "{size:>14}"))?;
    let first = rows.values().next();
    for (n, (name, _)) in first.into_iter().flatten().enumerate() {
        write!(out, "\n{name:<34}")?;
        for figure in rows.values().filter_map(|figures| figures.get(n)).map(|(_, figure)| figure) {
            let places = if figure.fract() == 0.0 { 0 } else { 3 };
            write!(out, "{figure:>14.places$}")?;
        }
    }
    writeln!(out)
}

fn run() -> Result<(), Failed> {
    let mut args = std::env::args().skip(1);
    let (mut json, mut sizes) = (None, SIZES.to_vec());
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--memory" => {
                let kind = args.next().ok_or("--memory needs a kind and a size")?;
                return memory(&kind, args.next().ok_or("--memory needs a kind and a size")?.parse()?);
            }
            "--json" => json = Some(args.next().ok_or("--json needs a file")?),
            "--sizes" => {
                let list = args.next().ok_or("--sizes needs numbers of hosts")?;
                sizes = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            // Cargo's own.
            "--bench" => {}
            other => return Err(format!("unknown flag {other}").into()),
        }
    }
    let mut rows: BTreeMap<usize, Figures> = BTreeMap::new();
    for size in sizes {
        let mut fleet = Fleet::new(size);
        let changes: Vec<Change> = (0..20_000).map(|_| fleet.change()).collect();
        let mut figures = vec![("entries", fleet.entries.len() as f64)];
        figures.extend(of_store(&fleet, &changes));
        figures.extend(of_tables(&fleet, &changes));
        figures.extend(of_memory(size)?);
        figures.extend(before(&fleet)?);
        rows.insert(size, figures);
    }
    table(&rows)?;
    if let Some(file) = json {
        let rows: BTreeMap<usize, BTreeMap<&str, f64>> =
            rows.into_iter().map(|(size, figures)| (size, figures.into_iter().collect())).collect();
        std::fs::write(file, serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("state: {e}");
            ExitCode::from(2)
        }
    }
}
