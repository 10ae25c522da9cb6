//! What drawn fleets send, report and decide, byte by byte, is what earlier versions did.
use drawn::{same_lines, Drawn, Observed};
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

/// Who sends or receives a message.
#[derive(Clone, Copy, PartialEq)]
enum Place {
    Gateway(usize),
    Replica(usize),
}

enum Sent {
    PollRequest(PollRequest),
    PollResponse(PollResponse),
}

/// A fleet: a primary, two replicas that poll it, and gateways that poll these or the primary.
struct Fleet {
    drawn: Drawn,
    observed: Observed,
    config: LeaseConfig,
    primary: Primary,
    replicas: Vec<Replica>,
    gateways: Vec<Follower<Tables>>,
    calls: Vec<usize>, // Which replica a gateway calls; 2 stands for the primary.
    on_the_way: Vec<(f64, Place, usize, Sent)>,
    incarnation: u64,
}

fn member(name: String, incarnation: u64) -> Member {
    Member { name, incarnation }
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut drawn = Drawn::new(seed);
        // Small budgets, so that pieces are cut and scopes fall behind.
        let bytes_per_s = [400.0, 2_000.0, 12_000.0][seed as usize % 3];
        let config = LeaseConfig {
            bytes_per_s,
            replica_bytes_per_s: 30_000.0,
            burst_s: 1.0,
            ..LeaseConfig::default()
        };
        let mut store = Store::new();
        let all: Vec<Change> =
            SCOPES.iter().flat_map(|s| (0..60).map(|_| drawn.change(*s, KEYS)).collect::<Vec<_>>()).collect();
        store.add_pending(ChangeSet { revision: 1, changes: all });
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
            calls: (0..5).map(|n| n % 3).collect(),
            primary: Primary::new(config, 0.0, 1, store),
            on_the_way: Vec::new(),
            incarnation: 1,
            drawn,
            observed: Observed::default(),
            config,
        }
    }

    fn propose(&mut self) {
        let count = 1 + self.drawn.below(12);
        let changes = (0..count).map(|_| {
            let scope = SCOPES[self.drawn.below(SCOPES.len() as u64) as usize];
            self.drawn.change(scope, KEYS)
        });
        let proposer = Proposer { name: "staff".into(), proposed_ms: 5 };
        let number = self.primary.propose(proposer, changes.collect()).expect("it fits");
        self.observed.number(number);
    }

    fn tick(&mut self, now: f64) {
        self.observed.float(self.primary.next_tick().unwrap_or(-1.0));
        for happened in self.primary.tick(now) {
            match happened {
                PrimaryEvent::Agreed { revision: version, proposals } => {
                    self.observed.number(version);
                    proposals.iter().for_each(|number| self.observed.number(*number));
                    let record = self.primary.record(version).expect("just made");
                    self.observed.bytes(&record.digest);
                }
                PrimaryEvent::InForce(version) => self.observed.number(version << 32),
            }
        }
    }

    /// Sends a message, unless it is lost; now and then it comes twice.
    fn send(&mut self, now: f64, who: Place, to: usize, sent: Sent) {
        let message = match &sent {
            Sent::PollRequest(ask) => Message::PollRequest(ask.clone()),
            Sent::PollResponse(grant) => Message::PollResponse(grant.clone()),
        };
        self.observed.message(&message);
        if self.drawn.chance(0.05) {
            return;
        }
        let longest = if self.drawn.chance(0.05) { 900 } else { 60 };
        let arrives = now + 1.0 + self.drawn.below(longest) as f64;
        if let (Sent::PollResponse(grant), true) = (&sent, self.drawn.chance(0.05)) {
            self.on_the_way.push((arrives + 3.0, who, to, Sent::PollResponse(grant.clone())));
        }
        self.on_the_way.push((arrives, who, to, sent));
    }

    fn poll(&mut self, now: f64) {
        for n in 0..self.replicas.len() {
            self.observed.float(self.replicas[n].next_poll(now));
            if let Some(ask) = self.replicas[n].poll(now) {
                self.send(now, Place::Replica(n), 2, Sent::PollRequest(ask));
            }
        }
        for n in 0..self.gateways.len() {
            self.observed.float(self.gateways[n].next_poll());
            if let Some(ask) = self.gateways[n].poll(now) {
                self.send(now, Place::Gateway(n), self.calls[n], Sent::PollRequest(ask));
            }
        }
    }

    fn deliver(&mut self, now: f64) {
        while let Some(at) = self.on_the_way.iter().position(|sent| sent.0 <= now) {
            let (_, who, to, sent) = self.on_the_way.remove(at);
            match sent {
                Sent::PollRequest(ask) => {
                    let grant = match self.replicas.get_mut(to) {
                        Some(machine) => machine.handle_poll(now, &ask),
                        None => {
                            if !self.drawn.chance(0.05) {
                                self.primary.confirm_leadership(now);
                            }
                            self.primary.handle_poll(now, &ask)
                        }
                    };
                    self.observed.number(u64::from(grant.is_some()));
                    if let Some(grant) = grant {
                        self.send(now, who, to, Sent::PollResponse(grant));
                    }
                }
                Sent::PollResponse(grant) => {
                    let taken = match who {
                        Place::Gateway(n) => self.gateways[n].handle_response(now, grant),
                        Place::Replica(n) => self.replicas[n].handle_response(now, grant),
                    };
                    self.tell(taken);
                }
            }
        }
    }

    fn tell(&mut self, taken: Result<Vec<FollowerEvent>, ResponseError>) {
        let observed = &mut self.observed;
        match taken {
            Ok(news) => {
                for one in news {
                    let (kind, number, scope, key) = match one {
                        FollowerEvent::InForce(number) => (1, number, Scope::Zones, Key(0)),
                        FollowerEvent::Known(number) => (2, number, Scope::Zones, Key(0)),
                        FollowerEvent::Complete(scope) => (3, 0, scope, Key(0)),
                        FollowerEvent::Stale(scope) => (4, 0, scope, Key(0)),
                        FollowerEvent::Restarted(scope) => (5, 0, scope, Key(0)),
                        FollowerEvent::EntryChanged(scope, key) => (6, 0, scope, key),
                    };
                    observed.number(kind << 56 | number);
                    observed.scope_and_key(scope, key);
                }
            }
            Err(ResponseError::Unsolicited) => observed.number(101),
            Err(ResponseError::SubscriptionMismatch) => observed.number(102),
            Err(ResponseError::Outdated { in_force, through }) => {
                observed.number(103);
                observed.number(in_force);
                observed.number(through);
            }
        }
    }

    /// Somebody restarts, moves to another machine, or wants other scopes.
    fn disturb(&mut self, now: f64) {
        let n = self.drawn.below(5) as usize;
        let scope = SCOPES[2 + self.drawn.below(7) as usize];
        match self.drawn.below(8) {
            0 => {
                self.calls[n] = (self.calls[n] + 1) % 3;
                self.gateways[n].reconnected();
            }
            1 => self.gateways[n].subscribe(scope, self.drawn.below(9) as f64),
            2 => self.gateways[n].unsubscribe(scope),
            3 => {
                self.incarnation += 1;
                let again = member(format!("g{n}"), self.incarnation);
                let snapshot = self.gateways[n].snapshot();
                self.observed.bytes(&snapshot.encode().expect("bytes"));
                self.gateways[n] = Follower::restore(self.config, again, snapshot);
                SCOPES.iter().for_each(|scope| self.gateways[n].subscribe(*scope, 1.0));
                self.on_the_way.retain(|sent| sent.1 != Place::Gateway(n));
            }
            4 => {
                self.incarnation += 1;
                let n = n % 2;
                let again = member(format!("b{n}"), self.incarnation);
                self.replicas[n] = Replica::new(self.config, again, now);
                self.on_the_way.retain(|sent| sent.1 != Place::Replica(n));
            }
            5 => self.replicas[n % 2].reconnected(),
            6 => self.primary.compact(self.primary.store().in_force().saturating_sub(2)),
            _ => {
                let before = self.replicas[n % 2].store().in_force().saturating_sub(3);
                self.replicas[n % 2].purge_tombstones(before);
            }
        }
    }

    fn look(&mut self, now: f64) {
        let observed = &mut self.observed;
        for gateway in &self.gateways {
            observed.float(gateway.lease_until());
            observed.number(gateway.known() << 32 | gateway.in_force());
            observed.number(u64::from(gateway.is_complete()) << 1 | u64::from(gateway.is_polling()));
            observed.digest(gateway.storage().total_digest());
            observed.number(gateway.storage().memory_bytes() as u64);
            gateway.complete_scopes().for_each(|(scope, priority)| {
                observed.scope_and_key(scope, Key(0));
                observed.float(priority);
            });
            gateway.fetching_scopes().for_each(|scope| observed.scope_and_key(scope, Key(1)));
            for scope in SCOPES {
                observed.number(match gateway.scope_mode(now, scope) {
                    ScopeMode::InForce(number) => number << 8,
                    ScopeMode::Conservative => 1,
                    ScopeMode::Unknown => 2,
                });
                let at_the_end = gateway.scope_mode(gateway.lease_until(), scope);
                observed.number(u64::from(matches!(at_the_end, ScopeMode::InForce(_))));
                (0..KEYS).for_each(|key| observed.entry(gateway.entry(now, scope, Key(key))));
            }
        }
        for store in self.replicas.iter().map(Replica::store).chain([self.primary.store()]) {
            observed.digest(store.total_digest());
            observed.number(store.in_force() << 32 | store.through());
            observed.number(store.tombstones() as u64);
            observed.number(store.complete_from());
            assert_eq!(store.check(), Ok(()));
        }
        for lessor in self.replicas.iter().map(Replica::lessor).chain([self.primary.lessor()]) {
            observed.number(lessor.follower_count() as u64);
            if let Some(Progress { known, in_force }) = lessor.min_progress(now) {
                observed.number(known << 32 | in_force);
            }
            lessor.holders(now).for_each(|(member, Progress { known, in_force })| {
                observed.bytes(member.name.as_bytes());
                observed.number(known << 32 | in_force);
            });
        }
    }

    /// Plays for so many ms; a step is 5 ms.
    fn play(mut self, for_ms: u32) -> (String, u64) {
        for step in 0..for_ms / 5 {
            let now = f64::from(step) * 5.0;
            if self.drawn.chance(0.02) {
                self.propose();
            }
            if self.drawn.chance(0.01) {
                self.disturb(now);
            }
            self.tick(now);
            self.deliver(now);
            self.poll(now);
            if step % 20 == 0 {
                self.look(now);
            }
        }
        (self.observed.finish(), self.primary.store().in_force())
    }
}

#[test]
fn fleets_send_and_decide_as_in_the_fixture() {
    let mut lines = Vec::new();
    for seed in 0..24 {
        let (digest, in_force) = Fleet::new(seed).play(20_000);
        assert!(in_force > 5, "seed {seed}: only version {in_force} came into force");
        lines.push((format!("fleet-{seed}"), digest));
    }
    same_lines("fleets.txt", &lines);
}
