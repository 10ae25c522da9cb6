//! The exact bytes of messages, snapshots, digests and JSON texts equal those of earlier versions.
use generator::{assert_fixture_lines, fixture, frame, from_hex, hex, read_fixture, Generator};
use std::collections::BTreeMap;
use ternstack_replication::endpoint_list::{validate, EndpointList, Verdict};
use ternstack_replication::follower::Follower;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::placement::{preference_order, ReplicaLocation};
use ternstack_replication::rules::{self, conflicts, Rules};
use ternstack_replication::scope::{stricter, Change, ChangeSet, Digest, Key, Scope};
use ternstack_replication::snapshot::Snapshot;
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{
    decode, ChunkEntry, Cursor, Member, Message, PollRequest, PollResponse, ScopeChunk, Status, Subscription,
    Traffic, TrafficByCause, TrafficCount,
};

mod generator;

const SCOPES: [Scope; 7] = [
    Scope::Zones,
    Scope::Fleet,
    Scope::Hosts(1),
    Scope::Hosts(3700),
    Scope::Routes(1),
    Scope::Tenants(0),
    Scope::Tenants(4095),
];

fn random_vec<T>(
    generator: &mut Generator, max_count: u64, mut generate: impl FnMut(&mut Generator) -> T,
) -> Vec<T> {
    let count = generator.below(max_count + 1);
    (0..count).map(|_| generate(generator)).collect()
}

fn change(generator: &mut Generator) -> Change {
    let scope = generator.any_scope();
    Change { key: Key(generator.number()), ..generator.change(scope, 9) }
}

fn subscription(generator: &mut Generator, kind: u64) -> Subscription {
    let generation = generator.number();
    match kind {
        0 => Subscription::Unchanged { generation },
        1 => Subscription::Delta {
            from: generator.number(),
            generation,
            added: random_vec(generator, 4, Generator::any_scope),
            removed: random_vec(generator, 4, Generator::any_scope),
        },
        2 => Subscription::Complete { generation, scopes: random_vec(generator, 4, Generator::any_scope) },
        _ => Subscription::AllScopes { generation },
    }
}

fn poll_request(generator: &mut Generator, kind: u64) -> PollRequest {
    PollRequest {
        member: Member {
            name: format!("gateway-{}", generator.below(5000)),
            incarnation: generator.number(),
        },
        sequence: generator.number(),
        acknowledged: generator.number(),
        known: generator.number(),
        in_force: generator.number(),
        subscription: subscription(generator, kind),
        fetch: random_vec(generator, 4, |generator| {
            (generator.any_scope(), Cursor { revision: generator.number(), key: generator.number() })
        }),
    }
}

fn chunk(generator: &mut Generator) -> ScopeChunk {
    let scope = generator.any_scope();
    ScopeChunk {
        scope,
        restart: generator.chance(0.5),
        entries: random_vec(generator, 5, |generator| {
            let change = change(generator);
            ChunkEntry { revision: generator.number(), key: change.key, entry: change.entry }
        }),
        final_digest: generator
            .chance(0.5)
            .then(|| Digest(u128::from(generator.number()) << 64 | u128::from(generator.number()))),
    }
}

fn poll_response(generator: &mut Generator) -> PollResponse {
    PollResponse {
        sequence: generator.number(),
        generation: generator.number(),
        lease_us: generator.number(),
        in_force: generator.number(),
        through: generator.number(),
        chunks: random_vec(generator, 4, chunk),
        stale: random_vec(generator, 4, Generator::any_scope),
        pending: random_vec(generator, 3, |generator| ChangeSet {
            revision: generator.number(),
            changes: random_vec(generator, 4, change),
        }),
    }
}

fn causes(generator: &mut Generator) -> TrafficByCause {
    let mut count = || TrafficCount { messages: generator.number(), bytes: generator.number() };
    TrafficByCause { polls: count(), leases: count(), changes: count(), fetches: count(), admin: count() }
}

fn status(generator: &mut Generator) -> Status {
    Status {
        name: format!("control-{}", generator.below(9)),
        in_force: generator.number(),
        through: generator.number(),
        digest: Digest(u128::from(generator.number()) << 64 | u128::from(generator.number())),
        followers: generator.number(),
        lease_ms: generator.chance(0.5).then(|| generator.number()),
        traffic: Traffic { read: causes(generator), written: causes(generator) },
    }
}

/// Returns twenty random messages of every kind, each with its name in the fixture.
fn messages() -> Vec<(String, Message)> {
    let mut generator = Generator::new(45);
    let mut all = Vec::new();
    for n in 0..20 {
        for kind in 0..4 {
            all.push((format!("ask-{kind}-{n}"), Message::PollRequest(poll_request(&mut generator, kind))));
        }
        all.push((format!("grant-{n}"), Message::PollResponse(poll_response(&mut generator))));
        let (proposal_id, changes) = (generator.number(), random_vec(&mut generator, 5, change));
        all.push((format!("propose-{n}"), Message::Propose { proposal_id, changes }));
        let revision = if n % 2 == 0 { Ok(generator.number()) } else { Err(format!("reason {n}")) };
        all.push((format!("proposed-{n}"), Message::Proposed { proposal_id: generator.number(), revision }));
        all.push((format!("status-{n}"), Message::Status(status(&mut generator))));
    }
    all.push(("look".into(), Message::GetStatus));
    all
}

#[test]
fn messages_of_every_kind_match_the_fixture() {
    let lines: Vec<(String, String)> =
        messages().into_iter().map(|(name, message)| (name, hex(&frame(&message)))).collect();
    assert_fixture_lines("messages.txt", &lines);
}

#[test]
fn frames_of_the_fixture_decode_and_encode_to_the_same_bytes() {
    let text = String::from_utf8(read_fixture("messages.txt")).expect("the fixture is UTF-8");
    let messages = messages();
    assert_eq!(text.lines().count(), messages.len());
    for (line, (name, message)) in text.lines().zip(&messages) {
        let bytes = from_hex(line.split(' ').nth(1).expect("the line contains a frame"));
        let (read, used) = decode(&bytes).expect("the frame is valid").expect("the frame is complete");
        assert_eq!((&read, used), (message, bytes.len()), "{name}");
        assert_eq!(frame(&read), bytes, "{name}");
    }
}

/// Returns tables after 400 random changes.
fn tables(seed: u64) -> Tables {
    let mut generator = Generator::new(seed);
    let mut tables = Tables::new();
    for n in 0..400 {
        let scope = SCOPES[generator.below(SCOPES.len() as u64) as usize];
        let change = generator.change(scope, 60);
        tables.set(scope, change.key, n, change.entry);
    }
    tables
}

#[test]
fn snapshots_match_the_fixtures() {
    let made =
        Snapshot { known: 71, in_force: 70, tables: tables(7) }.encode().expect("the value is encodable");
    assert!(made == fixture("snapshot.bin", &made), "the encoded snapshot differs from the fixture");
    let made =
        Snapshot { known: 70, in_force: 70, tables: tables(8) }.encode().expect("the value is encodable");
    assert!(
        made == fixture("snapshot-of-a-gateway.bin", &made),
        "the encoded snapshot of a gateway differs from the fixture"
    );
}

#[test]
fn snapshot_of_an_earlier_version_is_restored() {
    let bytes = read_fixture("snapshot.bin");
    let read = Snapshot::decode(&bytes).expect("the snapshot is valid");
    assert_eq!((read.known, read.in_force), (71, 70));
    assert_eq!(read.tables, tables(7));
    assert_eq!(read.tables.total_digest(), tables(7).total_digest());
    assert!(
        read.encode().expect("the value is encodable") == bytes,
        "the decoded snapshot encodes to other bytes"
    );

    let bytes = read_fixture("snapshot-of-a-gateway.bin");
    let read = Snapshot::decode(&bytes).expect("the snapshot is valid");
    let member = Member { name: "g".into(), incarnation: 2 };
    let follower = Follower::restore(LeaseConfig::default(), member, read);
    assert_eq!((follower.known(), follower.in_force()), (70, 70));
    assert_eq!(follower.complete_scopes().count(), SCOPES.len());
    assert!(
        follower.snapshot().encode().expect("the value is encodable") == bytes,
        "the snapshot of the restored gateway has other bytes"
    );
}

#[test]
fn digests_of_random_state_match_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..10 {
        let tables = tables(seed);
        lines.push((format!("tables-{seed}-sum"), format!("{:032x}", tables.total_digest().0)));
        for (n, scope) in SCOPES.into_iter().enumerate() {
            lines.push((format!("tables-{seed}-{n}"), format!("{:032x}", tables.digest(scope).0)));
        }
        let (mut generator, mut store) = (Generator::new(seed), Store::new());
        for number in 1..80 {
            store.add_pending(generator.change_set(number, &SCOPES, 40));
        }
        store.advance_to(79);
        lines.push((format!("store-{seed}-sum"), format!("{:032x}", store.total_digest().0)));
    }
    for name in ["", "acme", "tenant-0000001", "Ünïcode"] {
        lines.push((format!("key-of-{}", name.len()), format!("{:016x}", Key::of(name).0)));
        lines.push((format!("shard-of-{}", name.len()), hex(&bytes(&Scope::of_tenant(Key::of(name))))));
    }
    assert_fixture_lines("digests.txt", &lines);
}

fn bytes(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("the value is encodable")
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("the value is encodable as JSON")
}

fn rules(generator: &mut Generator) -> Rules {
    let mut rules = Rules { list_rev: generator.below(20), ..Rules::default() };
    for n in 0..generator.below(6) {
        rules.quotas.insert(format!("tenant-{n}"), generator.below(3) as u32);
    }
    for n in 0..generator.below(6) {
        let retry_policy = generator.policy();
        rules.classes.insert(format!("class-{n}"), retry_policy);
    }
    for _ in 0..generator.below(9) {
        let uid = format!("host-{}", generator.below(9));
        rules.hosts.insert(uid, plain_host(generator));
    }
    rules
}

fn plain_host(generator: &mut Generator) -> rules::Host {
    rules::Host { address: format!("10.0.0.{}:80", generator.below(2)), draining: generator.chance(0.3) }
}

#[test]
fn json_of_rules_and_endpoint_lists_matches_the_fixture() {
    let mut lines = vec![("terms".into(), json(&LeaseConfig::default()))];
    for seed in 0..40 {
        let mut generator = Generator::new(seed);
        let (first, second) = (rules(&mut generator), rules(&mut generator));
        lines.push((format!("rules-{seed}"), json(&first)));
        lines.push((format!("digest-{seed}"), first.digest()));
        lines.push((format!("stricter-{seed}"), json(&first.stricter(&second))));
        lines.push((format!("within-{seed}"), first.is_within(&second).to_string()));
        lines.push((format!("contradictions-{seed}"), json(&conflicts(&first, &second))));
        let versioned = rules::VersionedRules {
            number: seed,
            epoch: 3,
            proposer: "staff".into(),
            proposed_ms: 1_790_000_000_000,
            rules: second,
        };
        lines.push((format!("version-{seed}"), json(&versioned)));
        let hosts: BTreeMap<_, _> = (0..generator.below(6))
            .map(|_| {
                let uid = format!("host-{}", generator.below(9));
                (uid, generator.chance(0.6).then(|| plain_host(&mut generator)))
            })
            .collect();
        let list = EndpointList { revision: generator.below(30), complete: generator.chance(0.6), hosts };
        for confirmed in [false, true] {
            let (kind, texts) = match validate(&first, &list, confirmed) {
                Verdict::Outdated => (0, vec![]),
                Verdict::Propose(rules) => (1, vec![json(&rules)]),
                Verdict::NeedsConfirmation { explicit_changes, all_changes } => {
                    (2, vec![json(&explicit_changes), json(&all_changes)])
                }
            };
            lines.push((format!("look-{seed}-{confirmed}"), format!("{kind} {}", texts.concat())));
        }
    }
    assert_fixture_lines("json.txt", &lines);
    let text = String::from_utf8(read_fixture("json.txt")).expect("the fixture is UTF-8");
    for line in text.lines() {
        let (name, text) = line.split_once(' ').expect("the line contains a name and a text");
        let encoded = match name.split('-').next() {
            Some("rules" | "stricter") => {
                json(&serde_json::from_str::<Rules>(text).expect("the rules are valid"))
            }
            Some("version") => json(
                &serde_json::from_str::<rules::VersionedRules>(text).expect("the versioned rules are valid"),
            ),
            Some("terms") => {
                json(&serde_json::from_str::<LeaseConfig>(text).expect("the lease settings are valid"))
            }
            _ => continue,
        };
        assert_eq!(encoded, text, "{name}");
    }
}

#[test]
fn preference_orders_times_and_stricter_entries_match_the_fixture() {
    let mut lines = Vec::new();
    let config = LeaseConfig::default();
    let times_ms = [
        config.max_conflict_ms(),
        config.max_held_ms(),
        config.held_for_ms(777.7),
        config.sublease_ms(777.7),
        config.poll_interval_ms(),
        config.replica_poll_interval_ms(),
        config.prompt_poll_delay_ms(),
        config.response_timeout_ms(),
        config.max_activation_ms(),
    ];
    for (n, time_ms) in times_ms.iter().enumerate() {
        lines.push((format!("time-{n}"), format!("{:016x}", time_ms.to_bits())));
    }
    for seed in 0..40 {
        let mut generator = Generator::new(seed);
        let replicas: Vec<ReplicaLocation> = (0..generator.below(9))
            .map(|n| ReplicaLocation {
                name: format!("m{n}"),
                zone: format!("z{}", generator.below(3)),
                region: format!("r{}", generator.below(2)),
            })
            .collect();
        let member = format!("gateway-{seed}");
        let order =
            preference_order(&member, &format!("z{}", seed % 3), &format!("r{}", seed % 2), &replicas);
        lines.push((format!("order-{seed}"), format!("{order:?}")));
        for (n, scope) in SCOPES.into_iter().enumerate() {
            let (a, b) = (generator.change(scope, 9).entry, generator.change(scope, 9).entry);
            lines.push((format!("stricter-{seed}-{n}"), hex(&bytes(&stricter(scope, a, b)))));
        }
    }
    assert_fixture_lines("orders.txt", &lines);
}
