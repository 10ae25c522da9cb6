//! The bytes of messages, snapshots, digests and JSON texts are those that earlier versions wrote.
use drawn::{fixture, frame, from_hex, hex, kept, same_lines, Drawn};
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

mod drawn;

const SCOPES: [Scope; 7] = [
    Scope::Zones,
    Scope::Fleet,
    Scope::Hosts(1),
    Scope::Hosts(3700),
    Scope::Routes(1),
    Scope::Tenants(0),
    Scope::Tenants(4095),
];

fn several<T>(drawn: &mut Drawn, most: u64, mut one: impl FnMut(&mut Drawn) -> T) -> Vec<T> {
    let count = drawn.below(most + 1);
    (0..count).map(|_| one(drawn)).collect()
}

fn change(drawn: &mut Drawn) -> Change {
    let scope = drawn.any_scope();
    Change { key: Key(drawn.number()), ..drawn.change(scope, 9) }
}

fn subscription(drawn: &mut Drawn, kind: u64) -> Subscription {
    let revision = drawn.number();
    match kind {
        0 => Subscription::Unchanged { generation: revision },
        1 => Subscription::Delta {
            from: drawn.number(),
            generation: revision,
            added: several(drawn, 4, Drawn::any_scope),
            removed: several(drawn, 4, Drawn::any_scope),
        },
        2 => Subscription::Complete { generation: revision, scopes: several(drawn, 4, Drawn::any_scope) },
        _ => Subscription::AllScopes { generation: revision },
    }
}

fn poll_request(drawn: &mut Drawn, kind: u64) -> PollRequest {
    PollRequest {
        member: Member { name: format!("gateway-{}", drawn.below(5000)), incarnation: drawn.number() },
        sequence: drawn.number(),
        acknowledged: drawn.number(),
        known: drawn.number(),
        in_force: drawn.number(),
        subscription: subscription(drawn, kind),
        fetch: several(drawn, 4, |drawn| {
            (drawn.any_scope(), Cursor { revision: drawn.number(), key: drawn.number() })
        }),
    }
}

fn chunk(drawn: &mut Drawn) -> ScopeChunk {
    let scope = drawn.any_scope();
    ScopeChunk {
        scope,
        restart: drawn.chance(0.5),
        entries: several(drawn, 5, |drawn| {
            let change = change(drawn);
            ChunkEntry { revision: drawn.number(), key: change.key, entry: change.entry }
        }),
        final_digest: drawn
            .chance(0.5)
            .then(|| Digest(u128::from(drawn.number()) << 64 | u128::from(drawn.number()))),
    }
}

fn poll_response(drawn: &mut Drawn) -> PollResponse {
    PollResponse {
        sequence: drawn.number(),
        generation: drawn.number(),
        lease_us: drawn.number(),
        in_force: drawn.number(),
        through: drawn.number(),
        chunks: several(drawn, 4, chunk),
        stale: several(drawn, 4, Drawn::any_scope),
        pending: several(drawn, 3, |drawn| ChangeSet {
            revision: drawn.number(),
            changes: several(drawn, 4, change),
        }),
    }
}

fn causes(drawn: &mut Drawn) -> TrafficByCause {
    let mut tally = || TrafficCount { messages: drawn.number(), bytes: drawn.number() };
    TrafficByCause { polls: tally(), leases: tally(), changes: tally(), fetches: tally(), admin: tally() }
}

fn status(drawn: &mut Drawn) -> Status {
    Status {
        name: format!("control-{}", drawn.below(9)),
        in_force: drawn.number(),
        through: drawn.number(),
        digest: Digest(u128::from(drawn.number()) << 64 | u128::from(drawn.number())),
        followers: drawn.number(),
        lease_ms: drawn.chance(0.5).then(|| drawn.number()),
        traffic: Traffic { read: causes(drawn), written: causes(drawn) },
    }
}

/// Messages of every kind, twenty drawn ones of each.
fn messages() -> Vec<(String, Message)> {
    let mut drawn = Drawn::new(45);
    let mut all = Vec::new();
    for n in 0..20 {
        for kind in 0..4 {
            all.push((format!("ask-{kind}-{n}"), Message::PollRequest(poll_request(&mut drawn, kind))));
        }
        all.push((format!("grant-{n}"), Message::PollResponse(poll_response(&mut drawn))));
        let (number, changes) = (drawn.number(), several(&mut drawn, 5, change));
        all.push((format!("propose-{n}"), Message::Propose { proposal_id: number, changes }));
        let version = if n % 2 == 0 { Ok(drawn.number()) } else { Err(format!("reason {n}")) };
        all.push((
            format!("proposed-{n}"),
            Message::Proposed { proposal_id: drawn.number(), revision: version },
        ));
        all.push((format!("status-{n}"), Message::Status(status(&mut drawn))));
    }
    all.push(("look".into(), Message::GetStatus));
    all
}

#[test]
fn messages_of_every_kind_have_the_bytes_of_the_fixture() {
    let lines: Vec<(String, String)> =
        messages().into_iter().map(|(name, message)| (name, hex(&frame(&message)))).collect();
    same_lines("messages.txt", &lines);
}

#[test]
fn frames_of_the_fixture_decode_to_what_encodes_to_the_same() {
    let text = String::from_utf8(kept("messages.txt")).expect("text");
    let made = messages();
    assert_eq!(text.lines().count(), made.len());
    for (line, (name, message)) in text.lines().zip(&made) {
        let bytes = from_hex(line.split(' ').nth(1).expect("a frame"));
        let (read, used) = decode(&bytes).expect("a message").expect("a whole frame");
        assert_eq!((&read, used), (message, bytes.len()), "{name}");
        assert_eq!(frame(&read), bytes, "{name}");
    }
}

/// Tables after some hundred drawn changes.
fn tables(seed: u64) -> Tables {
    let mut drawn = Drawn::new(seed);
    let mut tables = Tables::new();
    for n in 0..400 {
        let scope = SCOPES[drawn.below(SCOPES.len() as u64) as usize];
        let change = drawn.change(scope, 60);
        tables.set(scope, change.key, n, change.entry);
    }
    tables
}

#[test]
fn a_snapshot_has_the_bytes_of_the_fixture() {
    let made = Snapshot { known: 71, in_force: 70, tables: tables(7) }.encode().expect("bytes");
    assert!(made == fixture("snapshot.bin", &made), "the bytes of a snapshot differ");
    let made = Snapshot { known: 70, in_force: 70, tables: tables(8) }.encode().expect("bytes");
    assert!(made == fixture("snapshot-of-a-gateway.bin", &made), "the bytes of a gateway's snapshot differ");
}

#[test]
fn a_snapshot_of_an_earlier_version_restores() {
    let bytes = kept("snapshot.bin");
    let read = Snapshot::decode(&bytes).expect("a snapshot");
    assert_eq!((read.known, read.in_force), (71, 70));
    assert_eq!(read.tables, tables(7));
    assert_eq!(read.tables.total_digest(), tables(7).total_digest());
    assert!(read.encode().expect("bytes") == bytes, "what was read has other bytes");

    let bytes = kept("snapshot-of-a-gateway.bin");
    let read = Snapshot::decode(&bytes).expect("a snapshot");
    let member = Member { name: "g".into(), incarnation: 2 };
    let follower = Follower::restore(LeaseConfig::default(), member, read);
    assert_eq!((follower.known(), follower.in_force()), (70, 70));
    assert_eq!(follower.complete_scopes().count(), SCOPES.len());
    assert!(follower.snapshot().encode().expect("bytes") == bytes, "what was restored has other bytes");
}

#[test]
fn digests_of_drawn_state_are_those_of_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..10 {
        let tables = tables(seed);
        lines.push((format!("tables-{seed}-sum"), format!("{:032x}", tables.total_digest().0)));
        for (n, scope) in SCOPES.into_iter().enumerate() {
            lines.push((format!("tables-{seed}-{n}"), format!("{:032x}", tables.digest(scope).0)));
        }
        let (mut drawn, mut store) = (Drawn::new(seed), Store::new());
        for number in 1..80 {
            store.add_pending(drawn.version(number, &SCOPES, 40));
        }
        store.advance_to(79);
        lines.push((format!("store-{seed}-sum"), format!("{:032x}", store.total_digest().0)));
    }
    for name in ["", "acme", "tenant-0000001", "Ünïcode"] {
        lines.push((format!("key-of-{}", name.len()), format!("{:016x}", Key::of(name).0)));
        lines.push((format!("shard-of-{}", name.len()), hex(&bytes(&Scope::of_tenant(Key::of(name))))));
    }
    same_lines("digests.txt", &lines);
}

fn bytes(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("bytes")
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

fn rules(drawn: &mut Drawn) -> Rules {
    let mut rules = Rules { list_rev: drawn.below(20), ..Rules::default() };
    for n in 0..drawn.below(6) {
        rules.quotas.insert(format!("tenant-{n}"), drawn.below(3) as u32);
    }
    for n in 0..drawn.below(6) {
        let repeat = drawn.repeat();
        rules.classes.insert(format!("class-{n}"), repeat);
    }
    for _ in 0..drawn.below(9) {
        let uid = format!("host-{}", drawn.below(9));
        rules.hosts.insert(uid, plain_host(drawn));
    }
    rules
}

fn plain_host(drawn: &mut Drawn) -> rules::Host {
    rules::Host { address: format!("10.0.0.{}:80", drawn.below(2)), draining: drawn.chance(0.3) }
}

#[test]
fn json_texts_of_rules_and_of_lists_are_those_of_the_fixture() {
    let mut lines = vec![("terms".into(), json(&LeaseConfig::default()))];
    for seed in 0..40 {
        let mut drawn = Drawn::new(seed);
        let (one, other) = (rules(&mut drawn), rules(&mut drawn));
        lines.push((format!("rules-{seed}"), json(&one)));
        lines.push((format!("digest-{seed}"), one.digest()));
        lines.push((format!("stricter-{seed}"), json(&one.stricter(&other))));
        lines.push((format!("within-{seed}"), one.is_within(&other).to_string()));
        lines.push((format!("contradictions-{seed}"), json(&conflicts(&one, &other))));
        let version = rules::VersionedRules {
            number: seed,
            epoch: 3,
            proposer: "staff".into(),
            proposed_ms: 1_790_000_000_000,
            rules: other,
        };
        lines.push((format!("version-{seed}"), json(&version)));
        let hosts: BTreeMap<_, _> = (0..drawn.below(6))
            .map(|_| {
                let uid = format!("host-{}", drawn.below(9));
                (uid, drawn.chance(0.6).then(|| plain_host(&mut drawn)))
            })
            .collect();
        let list = EndpointList { revision: drawn.below(30), complete: drawn.chance(0.6), hosts };
        for confirmed in [false, true] {
            let (kind, texts) = match validate(&one, &list, confirmed) {
                Verdict::Outdated => (0, vec![]),
                Verdict::Propose(rules) => (1, vec![json(&rules)]),
                Verdict::NeedsConfirmation { explicit_changes, all_changes } => {
                    (2, vec![json(&explicit_changes), json(&all_changes)])
                }
            };
            lines.push((format!("look-{seed}-{confirmed}"), format!("{kind} {}", texts.concat())));
        }
    }
    same_lines("json.txt", &lines);
    let text = String::from_utf8(kept("json.txt")).expect("text");
    for line in text.lines() {
        let (name, text) = line.split_once(' ').expect("a name and a text");
        let again = match name.split('-').next() {
            Some("rules" | "stricter") => json(&serde_json::from_str::<Rules>(text).expect("rules")),
            Some("version") => json(&serde_json::from_str::<rules::VersionedRules>(text).expect("a version")),
            Some("terms") => json(&serde_json::from_str::<LeaseConfig>(text).expect("terms")),
            _ => continue,
        };
        assert_eq!(again, text, "{name}");
    }
}

#[test]
fn orders_times_and_stricter_entries_are_those_of_the_fixture() {
    let mut lines = Vec::new();
    let config = LeaseConfig::default();
    let times = [
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
    for (n, time) in times.iter().enumerate() {
        lines.push((format!("time-{n}"), format!("{:016x}", time.to_bits())));
    }
    for seed in 0..40 {
        let mut drawn = Drawn::new(seed);
        let machines: Vec<ReplicaLocation> = (0..drawn.below(9))
            .map(|n| ReplicaLocation {
                name: format!("m{n}"),
                zone: format!("z{}", drawn.below(3)),
                region: format!("r{}", drawn.below(2)),
            })
            .collect();
        let member = format!("gateway-{seed}");
        let order =
            preference_order(&member, &format!("z{}", seed % 3), &format!("r{}", seed % 2), &machines);
        lines.push((format!("order-{seed}"), format!("{order:?}")));
        for (n, scope) in SCOPES.into_iter().enumerate() {
            let (a, b) = (drawn.change(scope, 9).entry, drawn.change(scope, 9).entry);
            lines.push((format!("stricter-{seed}-{n}"), hex(&bytes(&stricter(scope, a, b)))));
        }
    }
    same_lines("orders.txt", &lines);
}
