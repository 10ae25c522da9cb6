//! A follower that returns after an hour gets the changes or fetches from the start, whichever is smaller,
//! within its byte budget.
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
/// The number of hosts of all three services.
const HOSTS: u32 = 3000;

fn member(name: &str) -> Member {
    Member { name: name.into(), incarnation: 1 }
}

fn host(n: u32, draining: bool) -> Change {
    let address = std::net::SocketAddrV4::new(std::net::Ipv4Addr::from(n), 80);
    let host = Host { address, zone: 1, draining, weight_milli: 1000, started_s: 0 };
    Change { scope: Scope::Hosts(n % 3), key: Key::of(&n.to_string()), entry: Some(Entry::Host(host)) }
}

fn removed(n: u32) -> Change {
    Change { entry: None, ..host(n, false) }
}

fn frame_bytes(message: Message) -> usize {
    let mut bytes = Vec::new();
    encode(&message, &mut bytes).expect("the message fits a frame");
    bytes.len()
}

fn proposer() -> Proposer {
    Proposer { name: "staff".into(), proposed_ms: 0 }
}

/// Returns a primary with all hosts in force.
fn primary() -> Primary {
    let mut primary = Primary::new(LeaseConfig::default(), 0.0, 1, Store::new());
    let hosts: Vec<Change> = (0..HOSTS).map(|n| host(n, false)).collect();
    for batch in hosts.chunks(500) {
        primary.propose(proposer(), batch.to_vec()).expect("the proposal is valid");
    }
    let mut now = 0.0;
    // A new leader waits until the leases of the previous leader have expired.
    while primary.queued_proposals() > 0 || primary.store().through() > primary.store().in_force() {
        now += 200.0;
        primary.tick(now);
    }
    primary
}

/// Brings each change into force with a revision of its own, and returns the time of the last revision in ms.
fn propose(primary: &mut Primary, from: f64, changes: impl IntoIterator<Item = Change>) -> f64 {
    let mut now = from;
    for change in changes {
        primary.propose(proposer(), vec![change]).expect("the proposal is valid");
        now += 200.0;
        primary.tick(now);
    }
    now
}

/// Lets a follower poll from `now` on until the follower is complete and holds a lease, and fails after a
/// minute. Returns the bytes of each poll and its response, with their time in ms.
fn catch_up(
    follower: &mut Follower<Tables>, now: f64,
    mut respond: impl FnMut(f64, &PollRequest) -> Option<PollResponse>,
) -> Vec<(f64, usize)> {
    let mut bytes = Vec::new();
    let mut at = now;
    while at < now + 60_000.0 {
        at += 10.0;
        let Some(request) = follower.poll(at) else { continue };
        let request_bytes = frame_bytes(Message::PollRequest(request.clone()));
        let Some(response) = respond(at, &request) else { continue };
        bytes.push((at, request_bytes + frame_bytes(Message::PollResponse(response.clone()))));
        // A response may be rejected here; the next poll then corrects the state.
        let _ = follower.handle_response(at + 1.0, response);
        if follower.is_complete() && at < follower.lease_until() {
            return bytes;
        }
    }
    panic!("follower is not complete after a minute: {:?}", follower.fetching_scopes().collect::<Vec<_>>());
}

/// Checks that any period uses at most a burst and the budget of that period, in bytes. A response may exceed
/// the budget by the size of its last chunk.
fn assert_within_budget(bytes: &[(f64, usize)]) {
    let config = LeaseConfig::default();
    for (n, (from, _)) in bytes.iter().enumerate() {
        let mut used_bytes = 0.0;
        for (to, bytes) in &bytes[n..] {
            used_bytes += *bytes as f64;
            let allowed_bytes = config.bytes_per_s * (config.burst_s + (to - from) / 1000.0);
            assert!(
                used_bytes <= allowed_bytes + 500.0,
                "{used_bytes} bytes from {from} to {to} ms, expected at most {allowed_bytes}"
            );
        }
    }
}

fn assert_same_state(follower: &Follower<Tables>, store: &Store) {
    assert_eq!(follower.in_force(), store.in_force());
    for scope in (0..3).map(Scope::Hosts) {
        assert_eq!(follower.storage().digest(scope), store.digest(scope));
    }
}

#[test]
fn returning_follower_gets_changes_or_restarts_whichever_is_smaller() {
    let cases: [(&str, Vec<Change>, bool); 3] = [
        ("a tenth of the hosts is draining", (0..HOSTS / 10).map(|n| host(n, true)).collect(), false),
        ("most hosts are removed", (100..HOSTS).map(removed).collect(), false),
        ("tombstones are purged", (0..60).map(removed).collect(), true),
    ];
    for (description, changes, purges_tombstones) in cases {
        let mut primary = primary();
        let mut follower = Follower::new(LeaseConfig::default(), member("g1"), Tables::new());
        (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
        let mut respond = |now: f64, request: &PollRequest| {
            primary.confirm_leadership(now);
            primary.tick(now);
            primary.handle_poll(now, request)
        };
        let start = catch_up(&mut follower, 5000.0, &mut respond);
        assert_within_budget(&start);
        assert_same_state(&follower, primary.store());
        let has_entries = changes.iter().any(|change| change.entry.is_some());
        let change_count = changes.len();
        propose(&mut primary, 100_000.0, changes);
        if purges_tombstones {
            primary.compact(primary.store().in_force() + 1);
        }
        let returns_at = HOUR_MS + 100_000.0;
        assert_eq!(follower.scope_mode(returns_at, Scope::Hosts(0)), ScopeMode::Conservative);
        let mut respond = |now: f64, request: &PollRequest| {
            primary.confirm_leadership(now);
            primary.tick(now);
            primary.handle_poll(now, request)
        };
        let caught_up = catch_up(&mut follower, returns_at, &mut respond);
        assert_within_budget(&caught_up);
        assert_same_state(&follower, primary.store());
        let total_bytes = |all: &[(f64, usize)]| all.iter().map(|sample| sample.1).sum::<usize>();
        let (first, second) = (total_bytes(&start), total_bytes(&caught_up));
        println!("{description}: {first} bytes for the first fetch, {second} bytes to catch up, {change_count} changes");
        // The expected bytes are those of a fetch from the start of the current state, or those of the changes,
        // each with its overhead.
        let left: usize = (0..3).map(|n| primary.store().len(Scope::Hosts(n))).sum();
        let restart_bytes = first * left / HOSTS as usize;
        let change_bytes =
            if has_entries { first * change_count / HOSTS as usize } else { 13 * change_count };
        let expected_bytes = if purges_tombstones { restart_bytes } else { restart_bytes.min(change_bytes) };
        assert!(
            second < expected_bytes + expected_bytes / 5 + 2000,
            "{description}: {second} bytes to catch up, expected about {expected_bytes}"
        );
    }
}

#[test]
fn gateway_and_replica_catch_up_after_a_partition() {
    let config = LeaseConfig::default();
    let mut primary = primary();
    let mut replica = Replica::new(config, member("b1"), 0.0);
    let mut follower = Follower::new(config, member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    for (begins_at, description) in [(5000.0, "first fetch"), (HOUR_MS, "return")] {
        let mut at = begins_at;
        let mut bytes = 0;
        let caught_up = catch_up(&mut follower, begins_at, |now, request| {
            while at < now {
                at += 10.0;
                if let Some(request) = replica.poll(at) {
                    primary.confirm_leadership(at);
                    primary.tick(at);
                    let response = primary.handle_poll(at, &request).expect("the primary leads");
                    bytes += frame_bytes(Message::PollRequest(request))
                        + frame_bytes(Message::PollResponse(response.clone()));
                    replica.handle_response(at, response).expect("the replica accepts the response");
                }
            }
            replica.handle_poll(now, request)
        });
        assert_within_budget(&caught_up);
        assert_same_state(&follower, primary.store());
        assert_eq!(replica.store().total_digest(), primary.store().total_digest());
        replica.store().check().expect("the store of the replica is consistent");
        let gateway_bytes: usize = caught_up.iter().map(|sample| sample.1).sum();
        println!("{description}: {bytes} bytes to the replica, {gateway_bytes} bytes to a gateway");
        // During the hour of the partition, hosts start draining and are removed.
        let changes = (0..300).map(|n| host(n, true)).chain((300..600).map(removed));
        propose(&mut primary, begins_at + 100_000.0, changes);
    }
}

#[test]
fn restarted_gateway_continues_from_its_snapshot() {
    let mut primary = primary();
    let mut follower = Follower::new(LeaseConfig::default(), member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    let start = catch_up(&mut follower, 5000.0, |now, request| {
        primary.confirm_leadership(now);
        primary.tick(now);
        primary.handle_poll(now, request)
    });
    let snapshot = follower.snapshot();
    let restarted = Member { name: "g1".into(), incarnation: 2 };
    let mut follower = Follower::restore(LeaseConfig::default(), restarted, snapshot);
    assert_eq!(
        follower.scope_mode(20_000.0, Scope::Hosts(1)),
        ScopeMode::Conservative,
        "the snapshot is restored without a lease"
    );
    propose(&mut primary, 10_000.0, [host(1, true), removed(2)]);
    let again = catch_up(&mut follower, 20_000.0, |now, request| {
        primary.confirm_leadership(now);
        primary.tick(now);
        primary.handle_poll(now, request)
    });
    assert_same_state(&follower, primary.store());
    let total_bytes = |all: &[(f64, usize)]| all.iter().map(|sample| sample.1).sum::<usize>();
    assert!(
        total_bytes(&again) * 20 < total_bytes(&start),
        "{} bytes after a restart, {} at first",
        total_bytes(&again),
        total_bytes(&start)
    );
}

#[test]
fn stale_scope_applies_the_stricter_of_all_known_values() {
    let mut primary = primary();
    let config = LeaseConfig { bytes_per_s: 2000.0, ..LeaseConfig::default() };
    let mut follower = Follower::new(config, member("g1"), Tables::new());
    (0..3).for_each(|n| follower.subscribe(Scope::Hosts(n), 1.0));
    catch_up(&mut follower, 5000.0, |now, request| {
        primary.confirm_leadership(now);
        primary.handle_poll(now, request)
    });
    let now = propose(&mut primary, 100_000.0, (0..900).map(|n| host(n, true)));
    // The last proposal is agreed but not in force: the follower receives it as pending with the first
    // response.
    primary.propose(proposer(), vec![host(HOSTS - 1, true)]).expect("the proposal is valid");
    primary.batch(now + 200.0).expect("the proposal becomes a revision");
    let mut lessor = Lessor::new(config, now);
    follower.reconnected();
    let (mut stale_responses, mut draining, mut at) = (0, 0, now + 1000.0);
    while !follower.is_complete() || stale_responses == 0 {
        at += 10.0;
        assert!(at < now + 60_000.0, "follower is not complete after a minute");
        let Some(request) = follower.poll(at) else { continue };
        // The byte budget of this lessor is too small for all changes in one response.
        let response = lessor.handle_poll(at, primary.store(), config.lease_ms, &request);
        follower.handle_response(at, response).expect("the follower accepts the response");
        let is_draining = |change: Change| match follower.entry(at, change.scope, change.key) {
            Some(Entry::Host(host)) => host.draining,
            other => panic!("expected a host, got {other:?}"),
        };
        let draining_now = (0..HOSTS).filter(|n| is_draining(host(*n, true))).count();
        assert!(draining_now >= draining, "a host that was known to drain serves again");
        draining = draining_now;
        let stale_scope = Scope::Hosts((HOSTS - 1) % 3);
        if at < follower.lease_until() && follower.fetching_scopes().any(|scope| scope == stale_scope) {
            stale_responses += 1;
            assert_eq!(
                follower.scope_mode(at, stale_scope),
                ScopeMode::Conservative,
                "a stale scope is conservative even with a lease"
            );
            assert!(is_draining(host(HOSTS - 1, true)), "a pending drain applies in a stale scope");
        }
    }
    assert!(stale_responses > 2, "the scope was stale with a lease at only {stale_responses} responses");
    let scope = Scope::Hosts((HOSTS - 1) % 3);
    assert_eq!(follower.scope_mode(at, scope), ScopeMode::InForce(primary.store().in_force()));
    assert_eq!(draining, 900, "the pending drain is not in force in a complete scope");
}

#[test]
fn invalid_proposals_are_rejected_and_valid_ones_share_a_revision() {
    let mut primary = primary();
    let before = primary.store().in_force();
    let quota = Change { scope: Scope::Hosts(1), key: Key(0xab), entry: Some(Entry::Quota(1)) };
    let rejected = primary
        .propose(proposer(), vec![host(1, true), quota])
        .expect_err("a quota does not fit a scope of hosts");
    assert_eq!(rejected, ProposalError::MisplacedEntry { scope: Scope::Hosts(1), key: Key(0xab) });
    let message = rejected.to_string();
    assert!(message.contains("Hosts(1)") && message.contains("00000000000000ab"), "{message}");
    assert_eq!(primary.propose(proposer(), vec![]), Err(ProposalError::Empty));
    let too_long = (0..HOSTS * 2).map(|n| host(n, true)).collect();
    assert!(
        matches!(primary.propose(proposer(), too_long), Err(ProposalError::TooLong(bytes)) if bytes > MAX_PROPOSAL_BYTES)
    );
    assert_eq!((primary.queued_proposals(), primary.tick(50_000.0)), (0, vec![]));
    let first =
        primary.propose(proposer(), vec![host(1, true), host(2, true)]).expect("the proposal is valid");
    let second = primary.propose(proposer(), vec![host(2, false)]).expect("the proposal is valid");
    let revision = before + 1;
    let agreed = PrimaryEvent::Agreed { revision, proposals: vec![first, second] };
    assert_eq!(primary.tick(50_200.0), [agreed, PrimaryEvent::InForce(revision)]);
    let is_draining = |n| match primary.store().entry(host(n, true).scope, host(n, true).key) {
        Some(Entry::Host(host)) => host.draining,
        _ => panic!("host {n} has no entry"),
    };
    assert!(is_draining(1) && !is_draining(2), "the last change of each key applies");
    let record = primary.record(revision).expect("the revision has a record");
    assert_eq!((record.epoch, record.proposers.len()), (1, 2));
    primary.compact(revision + 1);
    assert_eq!(primary.record(revision), None);
}
