//! The exact messages, events and decisions of random fleets equal those of earlier versions.
use generator::{assert_fixture_lines, Generator, ObservationDigest};
use ternstack_replication::follower::{Follower, FollowerEvent, ResponseError, ScopeMode};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::primary::{Primary, PrimaryEvent, Proposer};
use ternstack_replication::progress::Progress;
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, ChangeSet, Key, Scope};
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{Member, Message, PollRequest, PollResponse};

mod generator;

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
/// The number of different keys in each scope.
const KEYS: u64 = 40;

/// The follower that sends a poll and receives its response.
#[derive(Clone, Copy, PartialEq)]
enum FollowerId {
    Gateway(usize),
    Replica(usize),
}

enum SentMessage {
    PollRequest(PollRequest),
    PollResponse(PollResponse),
}

/// A fleet: a primary, two replicas that poll the primary, and gateways that poll a replica or the primary.
struct Fleet {
    generator: Generator,
    observations: ObservationDigest,
    config: LeaseConfig,
    primary: Primary,
    replicas: Vec<Replica>,
    gateways: Vec<Follower<Tables>>,
    /// The index of the replica that each gateway polls; 2 stands for the primary.
    lessor_indices: Vec<usize>,
    /// The messages in flight: arrival time in ms, follower, index of the lessor, and message.
    in_flight: Vec<(f64, FollowerId, usize, SentMessage)>,
    incarnation: u64,
}

fn member(name: String, incarnation: u64) -> Member {
    Member { name, incarnation }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut generator = Generator::new(seed);
        // The byte budgets are small, so that scopes take several chunks and become stale.
        let bytes_per_s = [400.0, 2_000.0, 12_000.0][seed as usize % 3];
        let config = LeaseConfig {
            bytes_per_s,
            replica_bytes_per_s: 30_000.0,
            burst_s: 1.0,
            ..LeaseConfig::default()
        };
        let mut store = Store::new();
        let changes: Vec<Change> = SCOPES
            .iter()
            .flat_map(|scope| (0..60).map(|_| generator.change(*scope, KEYS)).collect::<Vec<_>>())
            .collect();
        store.add_pending(ChangeSet { revision: 1, changes });
        store.advance_to(1);
        let replicas = (0..2).map(|n| Replica::new(config, member(format!("b{n}"), 1), 0.0));
        let gateways = (0..5).map(|n| {
            let mut gateway = Follower::new(config, member(format!("g{n}"), 1), Tables::new());
            SCOPES.iter().skip(2 + n % 3).for_each(|scope| gateway.subscribe(*scope, n as f64));
            gateway
        });
        Fleet {
            replicas: replicas.collect(),
            gateways: gateways.collect(),
            lessor_indices: (0..5).map(|n| n % 3).collect(),
            primary: Primary::new(config, 0.0, 1, store),
            in_flight: Vec::new(),
            incarnation: 1,
            generator,
            observations: ObservationDigest::default(),
            config,
        }
    }

    fn propose(&mut self) {
        let count = 1 + self.generator.below(12);
        let changes = (0..count).map(|_| {
            let scope = SCOPES[self.generator.below(SCOPES.len() as u64) as usize];
            self.generator.change(scope, KEYS)
        });
        let proposer = Proposer { name: "staff".into(), proposed_ms: 5 };
        let proposal_id = self.primary.propose(proposer, changes.collect()).expect("the proposal is valid");
        self.observations.number(proposal_id);
    }

    fn tick(&mut self, now: f64) {
        self.observations.float(self.primary.next_tick().unwrap_or(-1.0));
        for event in self.primary.tick(now) {
            match event {
                PrimaryEvent::Agreed { revision, proposals } => {
                    self.observations.number(revision);
                    proposals.iter().for_each(|proposal_id| self.observations.number(*proposal_id));
                    let record = self.primary.record(revision).expect("a new revision has a record");
                    self.observations.bytes(&record.digest);
                }
                PrimaryEvent::InForce(revision) => self.observations.number(revision << 32),
            }
        }
    }

    /// Sends a message, which may be lost, late or duplicated.
    fn send(&mut self, now: f64, follower: FollowerId, to: usize, message: SentMessage) {
        let framed = match &message {
            SentMessage::PollRequest(request) => Message::PollRequest(request.clone()),
            SentMessage::PollResponse(response) => Message::PollResponse(response.clone()),
        };
        self.observations.message(&framed);
        if self.generator.chance(0.05) {
            return;
        }
        let max_delay_ms = if self.generator.chance(0.05) { 900 } else { 60 };
        let arrives_at = now + 1.0 + self.generator.below(max_delay_ms) as f64;
        if let (SentMessage::PollResponse(response), true) = (&message, self.generator.chance(0.05)) {
            self.in_flight.push((
                arrives_at + 3.0,
                follower,
                to,
                SentMessage::PollResponse(response.clone()),
            ));
        }
        self.in_flight.push((arrives_at, follower, to, message));
    }

    fn poll(&mut self, now: f64) {
        for n in 0..self.replicas.len() {
            self.observations.float(self.replicas[n].next_poll(now));
            if let Some(request) = self.replicas[n].poll(now) {
                self.send(now, FollowerId::Replica(n), 2, SentMessage::PollRequest(request));
            }
        }
        for n in 0..self.gateways.len() {
            self.observations.float(self.gateways[n].next_poll());
            if let Some(request) = self.gateways[n].poll(now) {
                self.send(
                    now,
                    FollowerId::Gateway(n),
                    self.lessor_indices[n],
                    SentMessage::PollRequest(request),
                );
            }
        }
    }

    fn deliver(&mut self, now: f64) {
        while let Some(at) = self.in_flight.iter().position(|delivery| delivery.0 <= now) {
            let (_, follower, to, message) = self.in_flight.remove(at);
            match message {
                SentMessage::PollRequest(request) => {
                    let response = match self.replicas.get_mut(to) {
                        Some(replica) => replica.handle_poll(now, &request),
                        None => {
                            if !self.generator.chance(0.05) {
                                self.primary.confirm_leadership(now);
                            }
                            self.primary.handle_poll(now, &request)
                        }
                    };
                    self.observations.number(u64::from(response.is_some()));
                    if let Some(response) = response {
                        self.send(now, follower, to, SentMessage::PollResponse(response));
                    }
                }
                SentMessage::PollResponse(response) => {
                    let result = match follower {
                        FollowerId::Gateway(n) => self.gateways[n].handle_response(now, response),
                        FollowerId::Replica(n) => self.replicas[n].handle_response(now, response),
                    };
                    self.observe_result(result);
                }
            }
        }
    }

    fn observe_result(&mut self, result: Result<Vec<FollowerEvent>, ResponseError>) {
        let observations = &mut self.observations;
        match result {
            Ok(events) => {
                for event in events {
                    let (kind, revision, scope, key) = match event {
                        FollowerEvent::InForce(revision) => (1, revision, Scope::Zones, Key(0)),
                        FollowerEvent::Known(revision) => (2, revision, Scope::Zones, Key(0)),
                        FollowerEvent::Complete(scope) => (3, 0, scope, Key(0)),
                        FollowerEvent::Stale(scope) => (4, 0, scope, Key(0)),
                        FollowerEvent::Restarted(scope) => (5, 0, scope, Key(0)),
                        FollowerEvent::EntryChanged(scope, key) => (6, 0, scope, key),
                    };
                    observations.number(kind << 56 | revision);
                    observations.scope_and_key(scope, key);
                }
            }
            Err(ResponseError::Unsolicited) => observations.number(101),
            Err(ResponseError::SubscriptionMismatch) => observations.number(102),
            Err(ResponseError::Outdated { in_force, through }) => {
                observations.number(103);
                observations.number(in_force);
                observations.number(through);
            }
        }
    }

    /// Restarts a member, moves a member to another lessor, changes the scopes that a gateway follows, or
    /// purges tombstones.
    fn inject_disturbance(&mut self, now: f64) {
        let n = self.generator.below(5) as usize;
        let scope = SCOPES[2 + self.generator.below(7) as usize];
        match self.generator.below(8) {
            0 => {
                self.lessor_indices[n] = (self.lessor_indices[n] + 1) % 3;
                self.gateways[n].reconnected();
            }
            1 => self.gateways[n].subscribe(scope, self.generator.below(9) as f64),
            2 => self.gateways[n].unsubscribe(scope),
            3 => {
                self.incarnation += 1;
                let restarted = member(format!("g{n}"), self.incarnation);
                let snapshot = self.gateways[n].snapshot();
                self.observations.bytes(&snapshot.encode().expect("the snapshot is encodable"));
                self.gateways[n] = Follower::restore(self.config, restarted, snapshot);
                SCOPES.iter().for_each(|scope| self.gateways[n].subscribe(*scope, 1.0));
                self.in_flight.retain(|delivery| delivery.1 != FollowerId::Gateway(n));
            }
            4 => {
                self.incarnation += 1;
                let n = n % 2;
                let restarted = member(format!("b{n}"), self.incarnation);
                self.replicas[n] = Replica::new(self.config, restarted, now);
                self.in_flight.retain(|delivery| delivery.1 != FollowerId::Replica(n));
            }
            5 => self.replicas[n % 2].reconnected(),
            6 => self.primary.compact(self.primary.store().in_force().saturating_sub(2)),
            _ => {
                let before = self.replicas[n % 2].store().in_force().saturating_sub(3);
                self.replicas[n % 2].purge_tombstones(before);
            }
        }
    }

    fn observe_state(&mut self, now: f64) {
        let observations = &mut self.observations;
        for gateway in &self.gateways {
            observations.float(gateway.lease_until());
            observations.number(gateway.known() << 32 | gateway.in_force());
            observations.number(u64::from(gateway.is_complete()) << 1 | u64::from(gateway.is_polling()));
            observations.digest(gateway.storage().total_digest());
            observations.number(gateway.storage().memory_bytes() as u64);
            gateway.complete_scopes().for_each(|(scope, priority)| {
                observations.scope_and_key(scope, Key(0));
                observations.float(priority);
            });
            gateway.fetching_scopes().for_each(|scope| observations.scope_and_key(scope, Key(1)));
            for scope in SCOPES {
                observations.number(match gateway.scope_mode(now, scope) {
                    ScopeMode::InForce(revision) => revision << 8,
                    ScopeMode::Conservative => 1,
                    ScopeMode::Unknown => 2,
                });
                let at_lease_end = gateway.scope_mode(gateway.lease_until(), scope);
                observations.number(u64::from(matches!(at_lease_end, ScopeMode::InForce(_))));
                (0..KEYS).for_each(|key| observations.entry(gateway.entry(now, scope, Key(key))));
            }
        }
        for store in self.replicas.iter().map(Replica::store).chain([self.primary.store()]) {
            observations.digest(store.total_digest());
            observations.number(store.in_force() << 32 | store.through());
            observations.number(store.tombstones() as u64);
            observations.number(store.complete_from());
            assert_eq!(store.check(), Ok(()));
        }
        for lessor in self.replicas.iter().map(Replica::lessor).chain([self.primary.lessor()]) {
            observations.number(lessor.follower_count() as u64);
            if let Some(Progress { known, in_force }) = lessor.min_progress(now) {
                observations.number(known << 32 | in_force);
            }
            lessor.holders(now).for_each(|(member, Progress { known, in_force })| {
                observations.bytes(member.name.as_bytes());
                observations.number(known << 32 | in_force);
            });
        }
    }

    /// Runs the fleet for this many ms, in steps of 5 ms. Returns the digest of all observations, and the
    /// revision in force at the end.
    fn run(mut self, for_ms: u32) -> (String, u64) {
        for step in 0..for_ms / 5 {
            let now = f64::from(step) * 5.0;
            if self.generator.chance(0.02) {
                self.propose();
            }
            if self.generator.chance(0.01) {
                self.inject_disturbance(now);
            }
            self.tick(now);
            self.deliver(now);
            self.poll(now);
            if step % 20 == 0 {
                self.observe_state(now);
            }
        }
        (self.observations.finish(), self.primary.store().in_force())
    }
}

#[test]
fn fleet_messages_and_decisions_match_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (digest, in_force) = Fleet::new(seed).run(20_000);
        assert!(in_force > 5, "seed {seed}: only revision {in_force} came into force");
        lines.push((format!("fleet-{seed}"), digest));
    }
    assert_fixture_lines("fleets.txt", &lines);
}
