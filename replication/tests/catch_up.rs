//! A follower returns after an hour: it gets changes or fetches from the start, whichever is smaller, within its budget.
use ternstack_replication::follower::{Follower, ScopeMode};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::primary::{Primary, PrimaryEvent, ProposalError, Proposer, MAX_PROPOSAL_BYTES};
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, Entry, Host, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{encode, Member, Message, PollRequest, PollResponse};

const HOUR_MS: f64 = 3_600_000.0;
const HOSTS: u32 = 3000;

fn member(name: &str) -> Member {
    Member { name: name.into(), incarnation: 1 }
}

fn host(n: u32, drains: bool) -> Change {
    let address = std::net::SocketAddrV4::new(std::net::Ipv4Addr::from(n), 80);
    let host = Host { address, zone: 1, draining: drains, weight_milli: 1000, started_s: 0 };
    Change { scope: Scope::Hosts(n % 3), key: Key::of(&n.to_string()), entry: Some(Entry::Host(host)) }
}

fn removed(n: u32) -> Change {
    Change { entry: None, ..host(n, false) }
}

fn frame(message: Message) -> usize {
    let mut bytes = Vec::new();
    encode(&message, &mut bytes).expect("it fits");
    bytes.len()
}

fn proposer() -> Proposer {
    Proposer { name: "staff".into(), proposed_ms: 0 }
}

/// A primary with all hosts in force.
fn primary() -> Primary {
    let mut primary = Primary::new(LeaseConfig::default(), 0.0, 1, Store::new());
    let hosts: Vec<Change> = (0..HOSTS).map(|n| host(n, false)).collect();
    for some in hosts.chunks(500) {
        primary.propose(proposer(), some.to_vec()).expect("it fits");
    }
    let mut now = 0.0;
    // A leader waits for the leases of the one before.
    while primary.queued_proposals() > 0 || primary.store().through() > primary.store().in_force() {
        now += 200.0;
        primary.tick(now);
    }
    primary
}

/// One version for each of these.
fn propose(primary: &mut Primary, from: f64, changes: impl IntoIterator<Item = Change>) -> f64 {
    let mut now = from;
    for change in changes {
        primary.propose(proposer(), vec![change]).expect("it fits");
        now += 200.0;
        primary.tick(now);
    }
    now
}

/// Both talk from `now` on until all is there or a minute is over. The bytes by time.
fn catch_up(
    follower: &mut Follower<Tables>, now: f64,
    mut answers: impl FnMut(f64, &PollRequest) -> Option<PollResponse>,
) -> Vec<(f64, usize)> {
    let mut bytes = Vec::new();
    let mut at = now;
    while at < now + 60_000.0 {
        at += 10.0;
        let Some(ask) = follower.poll(at) else { continue };
        let asked = frame(Message::PollRequest(ask.clone()));
        let Some(grant) = answers(at, &ask) else { continue };
        bytes.push((at, asked + frame(Message::PollResponse(grant.clone()))));
        // Whatever the answer is refused for, the next one makes good.
        let _ = follower.handle_response(at + 1.0, grant);
        if follower.is_complete() && at < follower.lease_until() {
            return bytes;
        }
    }
    panic!("not there after a minute: {:?}", follower.fetching_scopes().collect::<Vec<_>>());
}

/// Never more than was saved up, and what a second gives, in bytes; an answer may overdraw by what its last piece weighs.
fn within_budget(bytes: &[(f64, usize)]) {
    let config = LeaseConfig::default();
    for (n, (from, _)) in bytes.iter().enumerate() {
        let mut sum = 0.0;
        for (to, bytes) in &bytes[n..] {
            sum += *bytes as f64;
            let may = config.bytes_per_s * (config.burst_s + (to - from) / 1000.0);
            assert!(sum <= may + 500.0, "{sum} bytes from {from} to {to} ms, {may} allowed");
        }
    }
}

fn same(follower: &Follower<Tables>, store: &Store) {
    assert_eq!(follower.in_force(), store.in_force());
    for scope in (0..3).map(Scope::Hosts) {
        assert_eq!(follower.storage().digest(scope), store.digest(scope));
    }
}

#[test]
fn who_was_apart_gets_changes_or_a_start_whichever_is_smaller() {
    let cases: [(&str, Vec<Change>, bool); 3] = [
        ("a tenth was drained", (0..HOSTS / 10).map(|n| host(n, true)).collect(), false),
        ("most are gone", (100..HOSTS).map(removed).collect(), false),
        ("tombstones are forgotten", (0..60).map(removed).collect(), true),
    ];
    for (words, changes, forgets) in cases {
        let mut primary = primary();
        let mut follower = Follower::new(LeaseConfig::default(), member("g1"), Tables::new());
        (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
        let mut asks = |now: f64, ask: &PollRequest| {
            primary.confirm_leadership(now);
            primary.tick(now);
            primary.handle_poll(now, ask)
        };
        let start = catch_up(&mut follower, 5000.0, &mut asks);
        within_budget(&start);
        same(&follower, primary.store());
        let drained = changes.iter().any(|c| c.entry.is_some());
        let removed = changes.len();
        propose(&mut primary, 100_000.0, changes);
        if forgets {
            primary.compact(primary.store().in_force() + 1);
        }
        let back = HOUR_MS + 100_000.0;
        assert_eq!(follower.scope_mode(back, Scope::Hosts(0)), ScopeMode::Conservative);
        let mut asks = |now: f64, ask: &PollRequest| {
            primary.confirm_leadership(now);
            primary.tick(now);
            primary.handle_poll(now, ask)
        };
        let caught_up = catch_up(&mut follower, back, &mut asks);
        within_budget(&caught_up);
        same(&follower, primary.store());
        let sum = |all: &[(f64, usize)]| all.iter().map(|b| b.1).sum::<usize>();
        let (first, second) = (sum(&start), sum(&caught_up));
        println!("{words}: {first} bytes to start with, {second} bytes to catch up, {removed} changes");
        // What a start of the state as it is now would take, and what the changes would, with what carries them.
        let left: usize = (0..3).map(|n| primary.store().len(Scope::Hosts(n))).sum();
        let anew = first * left / HOSTS as usize;
        let changes = if drained { first * removed / HOSTS as usize } else { 13 * removed };
        let least = if forgets { anew } else { anew.min(changes) };
        assert!(second < least + least / 5 + 2000, "{words}: {second} bytes, {least} would do");
    }
}

#[test]
fn a_region_that_was_apart_comes_back_with_its_machine_between() {
    let config = LeaseConfig::default();
    let mut primary = primary();
    let mut between = Replica::new(config, member("b1"), 0.0);
    let mut follower = Follower::new(config, member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    for (begins, words) in [(5000.0, "start"), (HOUR_MS, "return")] {
        let mut at = begins;
        let mut bytes = 0;
        let caught_up = catch_up(&mut follower, begins, |now, ask| {
            while at < now {
                at += 10.0;
                if let Some(ask) = between.poll(at) {
                    primary.confirm_leadership(at);
                    primary.tick(at);
                    let grant = primary.handle_poll(at, &ask).expect("it leads");
                    bytes += frame(Message::PollRequest(ask)) + frame(Message::PollResponse(grant.clone()));
                    between.handle_response(at, grant).expect("taken");
                }
            }
            between.handle_poll(now, ask)
        });
        within_budget(&caught_up);
        same(&follower, primary.store());
        assert_eq!(between.store().total_digest(), primary.store().total_digest());
        between.store().check().expect("sound");
        let sum: usize = caught_up.iter().map(|b| b.1).sum();
        println!("{words}: {bytes} bytes to the machine between, {sum} to a gateway");
        // The hour apart: hosts are drained and removed.
        let all = (0..300).map(|n| host(n, true)).chain((300..600).map(removed));
        propose(&mut primary, begins + 100_000.0, all);
    }
}

#[test]
fn a_gateway_begins_its_next_life_with_what_it_kept() {
    let mut primary = primary();
    let mut follower = Follower::new(LeaseConfig::default(), member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    let start = catch_up(&mut follower, 5000.0, |now, ask| {
        primary.confirm_leadership(now);
        primary.tick(now);
        primary.handle_poll(now, ask)
    });
    let kept = follower.snapshot();
    let incarnation = Member { name: "g1".into(), incarnation: 2 };
    let mut follower = Follower::restore(LeaseConfig::default(), incarnation, kept);
    assert_eq!(
        follower.scope_mode(20_000.0, Scope::Hosts(1)),
        ScopeMode::Conservative,
        "kept, but without a lease"
    );
    propose(&mut primary, 10_000.0, [host(1, true), removed(2)]);
    let again = catch_up(&mut follower, 20_000.0, |now, ask| {
        primary.confirm_leadership(now);
        primary.tick(now);
        primary.handle_poll(now, ask)
    });
    same(&follower, primary.store());
    let sum = |all: &[(f64, usize)]| all.iter().map(|b| b.1).sum::<usize>();
    assert!(sum(&again) * 20 < sum(&start), "{} bytes after {}", sum(&again), sum(&start));
}

#[test]
fn what_is_behind_is_acted_on_by_the_stricter_of_all_that_is_known() {
    let mut primary = primary();
    let config = LeaseConfig { bytes_per_s: 2000.0, ..LeaseConfig::default() };
    let mut follower = Follower::new(config, member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    catch_up(&mut follower, 5000.0, |now, ask| {
        primary.confirm_leadership(now);
        primary.handle_poll(now, ask)
    });
    let now = propose(&mut primary, 100_000.0, (0..900).map(|n| host(n, true)));
    // This one is agreed, but not in force: the follower hears of it with its first answer.
    primary.propose(proposer(), vec![host(HOSTS - 1, true)]).expect("it fits");
    primary.batch(now + 200.0).expect("agreed");
    let mut poor = Lessor::new(config, now);
    follower.reconnected();
    let (mut seen, mut drained, mut at) = (0, 0, now + 1000.0);
    while !follower.is_complete() || seen == 0 {
        at += 10.0;
        assert!(at < now + 60_000.0, "not there after a minute");
        let Some(ask) = follower.poll(at) else { continue };
        // A lessor that has so few bytes for it.
        let grant = poor.handle_poll(at, primary.store(), config.lease_ms, &ask);
        follower.handle_response(at, grant).expect("taken");
        let drains = |change: Change| match follower.entry(at, change.scope, change.key) {
            Some(Entry::Host(host)) => host.draining,
            other => panic!("{other:?}"),
        };
        let now_drained = (0..HOSTS).filter(|n| drains(host(*n, true))).count();
        assert!(now_drained >= drained, "a drain that was known is forgotten");
        drained = now_drained;
        let behind = Scope::Hosts((HOSTS - 1) % 3);
        if at < follower.lease_until() && follower.fetching_scopes().any(|scope| scope == behind) {
            seen += 1;
            assert_eq!(
                follower.scope_mode(at, behind),
                ScopeMode::Conservative,
                "it holds a lease, but is behind"
            );
            assert!(drains(host(HOSTS - 1, true)), "a drain that is to come binds already");
        }
    }
    assert!(seen > 2, "behind with a lease {seen} times");
    let scope = Scope::Hosts((HOSTS - 1) % 3);
    assert_eq!(follower.scope_mode(at, scope), ScopeMode::InForce(primary.store().in_force()));
    assert_eq!(drained, 900, "the one to come is not in force where the scope is whole");
}

#[test]
fn proposals_that_do_not_fit_are_refused_by_name_and_the_others_come_into_force_together() {
    let mut primary = primary();
    let before = primary.store().in_force();
    let quota = Change { scope: Scope::Hosts(1), key: Key(0xab), entry: Some(Entry::Quota(1)) };
    let refused = primary.propose(proposer(), vec![host(1, true), quota]).expect_err("it does not fit");
    assert_eq!(refused, ProposalError::MisplacedEntry { scope: Scope::Hosts(1), key: Key(0xab) });
    let words = refused.to_string();
    assert!(words.contains("Hosts(1)") && words.contains("00000000000000ab"), "{words}");
    assert_eq!(primary.propose(proposer(), vec![]), Err(ProposalError::Empty));
    let long = (0..HOSTS * 2).map(|n| host(n, true)).collect();
    assert!(
        matches!(primary.propose(proposer(), long), Err(ProposalError::TooLong(n)) if n > MAX_PROPOSAL_BYTES)
    );
    assert_eq!((primary.queued_proposals(), primary.tick(50_000.0)), (0, vec![]));
    let one = primary.propose(proposer(), vec![host(1, true), host(2, true)]).expect("it fits");
    let other = primary.propose(proposer(), vec![host(2, false)]).expect("it fits");
    let number = before + 1;
    let agreed = PrimaryEvent::Agreed { revision: number, proposals: vec![one, other] };
    assert_eq!(primary.tick(50_200.0), [agreed, PrimaryEvent::InForce(number)]);
    let drains = |n| match primary.store().entry(host(n, true).scope, host(n, true).key) {
        Some(Entry::Host(host)) => host.draining,
        _ => panic!("host {n} is gone"),
    };
    assert!(drains(1) && !drains(2), "the last word on a key counts");
    let record = primary.record(number).expect("kept");
    assert_eq!((record.epoch, record.proposers.len()), (1, 2));
    primary.compact(number + 1);
    assert_eq!(primary.record(number), None);
}
