//! What stores, tables and lessors answer in drawn exchanges, byte by byte, is what earlier versions did.
use drawn::{same_lines, Drawn, Observed};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::progress::Progress;
use ternstack_replication::scope::{ChangeSet, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{Cursor, Member, Message, PollRequest, Subscription};

mod drawn;

const SCOPES: [Scope; 9] = [
    Scope::Zones,
    Scope::Fleet,
    Scope::Hosts(1),
    Scope::Hosts(2),
    Scope::Hosts(3),
    Scope::Routes(1),
    Scope::Tenants(0),
    Scope::Tenants(1),
    Scope::Tenants(2),
];
const KEYS: u64 = 40;

fn member(name: String, incarnation: u64) -> Member {
    Member { name, incarnation }
}

#[test]
fn stores_hand_out_the_pieces_of_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (mut drawn, mut observed, mut store) = (Drawn::new(seed), Observed::default(), Store::new());
        let mut known = 0;
        for step in 0..400 {
            match drawn.below(10) {
                0..=3 => {
                    known += 1;
                    store.add_pending(drawn.version(known, &SCOPES, KEYS));
                }
                4 | 5 => store.advance_to(known.saturating_sub(drawn.below(3))),
                6 => {
                    let change = drawn.version(store.in_force(), &SCOPES, KEYS).changes[0];
                    store.load(change.scope, change.key, store.in_force(), change.entry);
                }
                7 if drawn.chance(0.3) => store.clear(SCOPES[drawn.below(9) as usize]),
                8 => store.purge_tombstones(store.in_force().saturating_sub(drawn.below(30))),
                _ => {}
            }
            assert_eq!(store.check(), Ok(()), "seed {seed}, step {step}");
            let scope = SCOPES[drawn.below(9) as usize];
            let mut from = match drawn.below(3) {
                0 => Cursor::default(),
                1 => Cursor::after(drawn.below(known + 1)),
                _ => Cursor { revision: drawn.below(known + 1), key: drawn.below(KEYS) },
            };
            let most_bytes = drawn.below(400) as usize;
            // All pieces of a fetch, one after the other.
            for _ in 0..60 {
                let part = store.chunk(scope, from, most_bytes);
                observed.bytes(&postcard::to_allocvec(&part).expect("bytes"));
                match (part.final_digest, part.entries.last()) {
                    (None, Some(last)) => from = Cursor { revision: last.revision, key: last.key.0 },
                    _ => break,
                }
            }
            let since = drawn.below(known + 1);
            store.changed_since(since).for_each(|scope| observed.scope_and_key(scope, Key(0)));
            for version in store.pending_since(since) {
                observed.bytes(&postcard::to_allocvec(version).expect("bytes"));
            }
            observed.digest(store.total_digest());
            observed.number(store.in_force() << 32 | store.through());
            observed.number(store.complete_from() << 32 | store.tombstones() as u64);
            observed.number(store.memory_bytes() as u64);
            store.entries(scope).for_each(|(key, entry)| {
                observed.scope_and_key(scope, key);
                observed.entry(Some(entry));
            });
        }
        lines.push((format!("store-{seed}"), observed.finish()));
    }
    same_lines("stores.txt", &lines);
}

#[test]
fn tables_hold_the_entries_and_memory_of_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (mut drawn, mut observed, mut tables) = (Drawn::new(seed), Observed::default(), Tables::new());
        for step in 0..1500 {
            let scope = SCOPES[drawn.below(9) as usize];
            let mut change = drawn.change(scope, 300);
            if drawn.chance(0.02) {
                let other = drawn.any_scope();
                change.entry = Some(drawn.entry_of(other));
            }
            tables.set(scope, change.key, step, change.entry);
            match drawn.below(300) {
                0 => tables.clear(scope),
                1 => tables.remove_scope(scope),
                _ => {}
            }
            observed.entry(tables.get(scope, change.key));
            observed.digest(tables.digest(scope));
            observed.digest(tables.total_digest());
            observed.number(tables.len(scope) as u64);
            observed.number(tables.memory_bytes() as u64);
        }
        observed.bytes(&postcard::to_allocvec(&tables).expect("bytes"));
        lines.push((format!("tables-{seed}"), observed.finish()));
    }
    same_lines("tables.txt", &lines);
}

/// A store with many entries in each scope, and so many versions to come that touch as many.
fn large_store(drawn: &mut Drawn, to_come: u64) -> Store {
    let mut store = Store::new();
    let mut version = |number, count| {
        let changes = (0..count).map(|_| {
            let scope = SCOPES[drawn.below(9) as usize];
            drawn.change(scope, 12_000)
        });
        ChangeSet { revision: number, changes: changes.collect() }
    };
    for number in 1..=20 {
        store.add_pending(version(number, 4_500));
    }
    store.advance_to(20);
    for number in 21..=20 + to_come {
        store.add_pending(version(number, 1_600));
    }
    store
}

fn drawn_ask(drawn: &mut Drawn, number: u64) -> PollRequest {
    let mut some = |part: f64| SCOPES.into_iter().filter(|_| drawn.chance(part)).collect::<Vec<_>>();
    let (whole, fetched) = (some(0.3), some(0.4));
    let interest = match drawn.below(8) {
        0 => Subscription::AllScopes { generation: number },
        1 => Subscription::Unchanged { generation: number - 1 },
        2 => Subscription::Delta {
            from: number - 1,
            generation: number,
            added: whole,
            removed: fetched.clone(),
        },
        _ => Subscription::Complete { generation: number, scopes: whole },
    };
    let cursor = |drawn: &mut Drawn| match drawn.below(3) {
        0 => Cursor::default(),
        1 => Cursor::after(drawn.below(21)),
        _ => Cursor { revision: drawn.below(21), key: drawn.below(12_000) },
    };
    PollRequest {
        member: member(format!("g{}", drawn.below(3)), 1),
        sequence: number,
        acknowledged: number - drawn.below(2),
        known: drawn.below(41),
        in_force: drawn.below(21),
        subscription: interest,
        fetch: fetched.into_iter().map(|scope| (scope, cursor(drawn))).collect(),
    }
}

#[test]
fn answers_within_all_budgets_are_those_of_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..4 {
        let mut drawn = Drawn::new(seed);
        for (name, rate, plays, to_come) in [("small", 300, 800, 0), ("large", 900_000, 8, 20)] {
            let store = large_store(&mut drawn, to_come);
            let mut observed = Observed::default();
            for _ in 0..plays {
                let bytes_per_s = (60 + drawn.below(rate)) as f64;
                let between_bytes_per_s = (60 + drawn.below(rate)) as f64;
                let config = LeaseConfig {
                    bytes_per_s,
                    replica_bytes_per_s: between_bytes_per_s,
                    burst_s: 1.0,
                    ..LeaseConfig::default()
                };
                let mut lessor = Lessor::new(config, 0.0);
                for number in 1..=4 {
                    let ask = drawn_ask(&mut drawn, number);
                    let now = (number * drawn.below(1_500)) as f64;
                    let may_lease_ms = drawn.below(2_500) as f64;
                    let grant = lessor.handle_poll(now, &store, may_lease_ms, &ask);
                    observed.message(&Message::PollResponse(grant));
                    for (member, Progress { known, in_force }) in lessor.holders(now) {
                        observed.bytes(member.name.as_bytes());
                        observed.number(known << 32 | in_force);
                    }
                }
            }
            lines.push((format!("{name}-{seed}"), observed.finish()));
        }
    }
    same_lines("answers.txt", &lines);
}
