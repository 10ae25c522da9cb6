//! What happens in the fleet.
use super::*;
use rand::{RngExt, SeedableRng};
use ternstack_replication::follower::{FollowerEvent, ResponseError};
use ternstack_replication::primary::Proposer;
use ternstack_replication::scope::ChangeSet;
use ternstack_replication::store::Store;

impl Simulation {
    /// A fleet with the first version in force; its rng has drawn the clocks of members, in their order.
    pub fn new(setup: Setup, first: Vec<Change>, wants: impl Fn(usize) -> Vec<Scope>) -> Simulation {
        let config = setup.config;
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut store = Store::new();
        store.add_pending(ChangeSet { revision: 1, changes: first.clone() });
        store.advance_to(1);
        let gateways = (0..setup.members).map(|n| {
            let mut follower = Follower::new(config, member(Node::Gateway(n), 0), Tables::new());
            wants(n).into_iter().for_each(|scope| follower.subscribe(scope, 1.0));
            Gateway {
                process: Process::new(
                    1.0 + rng.random_range(-config.clock_drift_ratio..=config.clock_drift_ratio),
                ),
                follower,
                order: (0..setup.replicas).map(|m| (n + m) % setup.replicas).collect(),
                at: 0,
                renewed: 0.0,
                shown: BTreeMap::new(),
                leased: false,
                earlier: None,
            }
        });
        let gateways: Vec<Gateway> = gateways.collect();
        let replicas = (0..setup.replicas).map(|n| ReplicaNode {
            process: Process::new(
                1.0 + rng.random_range(-config.clock_drift_ratio..=config.clock_drift_ratio),
            ),
            replica: Replica::new(config, member(Node::Replica(n), 0), 0.0),
        });
        let replicas = replicas.collect();
        let mut world = Simulation {
            gateways,
            replicas,
            leaders: vec![(Primary::new(config, 0.0, 1, store), 1.0)],
            history: Vec::new(),
            seen: Observations::default(),
            about: Vec::new(),
            queue: BinaryHeap::new(),
            serial: 0,
            truth: BTreeMap::new(),
            forced: vec![(f64::NEG_INFINITY, 1)],
            proposed: Vec::new(),
            open: BTreeMap::new(),
            rng,
            setup,
        };
        world.note(1, &first);
        world
    }

    pub fn add(&mut self, at: f64, moment: SimEvent) {
        self.serial += 1;
        self.queue.push(Scheduled(at, self.serial, moment));
    }

    /// Somebody looks whether its ask is due, at that time and no other.
    fn wakes(&mut self, who: Node, at: f64) {
        self.process(who).wakes_at = at;
        self.add(at, SimEvent::PollDue(who));
    }

    /// The first asks of all.
    pub fn begin(&mut self) {
        for n in 0..self.gateways.len() {
            let at = self.rng.random_range(0.0..400.0);
            self.wakes(Node::Gateway(n), at);
        }
        for n in 0..self.replicas.len() {
            self.wakes(Node::Replica(n), 0.0);
        }
        for n in 0..(self.setup.length_ms / 25.0) as u32 {
            self.add(f64::from(n) * 25.0, SimEvent::Check);
        }
    }

    pub fn process(&mut self, who: Node) -> &mut Process {
        match who {
            Node::Gateway(n) => &mut self.gateways[n].process,
            Node::Replica(n) => &mut self.replicas[n].process,
        }
    }

    pub fn note(&mut self, number: Revision, changes: &[Change]) {
        for c in changes {
            self.truth.entry((c.scope, c.key)).or_default().push((number, c.entry));
        }
    }

    /// What a version says of a key.
    pub fn truth(&self, number: Revision, scope: Scope, key: Key) -> Option<Entry> {
        let all = self.truth.get(&(scope, key))?;
        all.iter().rev().find(|(n, _)| *n <= number).and_then(|(_, entry)| *entry)
    }

    /// Plays to the end of its length.
    pub fn run(&mut self) {
        while let Some(Scheduled(now, _, moment)) = self.queue.pop() {
            if now > self.setup.length_ms {
                break;
            }
            let touched = self.happens(now, moment);
            self.second_step(now);
            self.watch(now, touched);
        }
        self.seen.versions = self.leaders[self.leaders.len() - 1].0.store().in_force();
    }

    /// One moment; the gateway that it touched.
    fn happens(&mut self, now: f64, moment: SimEvent) -> Option<usize> {
        let config = self.setup.config;
        match moment {
            SimEvent::PollDue(who) => self.asks(now, who),
            SimEvent::PollAtPrimary(to, _, ask) => {
                let newest = to + 1 == self.leaders.len();
                let planted = self.setup.planted;
                let (primary, rate) = &mut self.leaders[to];
                let local = now * *rate;
                // A majority confirms only the current leader.
                if newest || planted == PlantedFault::Unconfirmed {
                    primary.confirm_leadership(local);
                }
                if let Some(grant) = primary.handle_poll(local, &ask) {
                    self.answer(now, &ask, 0, grant);
                }
            }
            SimEvent::PollAtReplica(to, incarnation, ask) => {
                let b = &mut self.replicas[to];
                if now < b.process.asleep_until {
                    let wakes = b.process.asleep_until;
                    self.add(wakes, SimEvent::PollAtReplica(to, incarnation, ask));
                } else if incarnation == b.process.incarnation && now >= b.process.down_until {
                    let local = now * b.process.rate;
                    if let Some(mut grant) = b.replica.handle_poll(local, &ask) {
                        let lease_us = (config.lease_ms * 1000.0) as u64;
                        match self.setup.planted {
                            PlantedFault::HandsOnLonger if grant.lease_us > 0 => grant.lease_us = lease_us,
                            PlantedFault::OutlivesLease if grant.lease_us == 0 => grant.lease_us = lease_us,
                            _ => {}
                        }
                        let due = b.replica.next_poll(local) / b.process.rate;
                        self.wakes(Node::Replica(to), due.max(now) + 0.001);
                        self.answer(now, &ask, incarnation, grant);
                    }
                }
            }
            SimEvent::Response(who, incarnation, from, grant) => {
                return self.handle_response(now, who, incarnation, from, grant)
            }
            SimEvent::Propose(all) => {
                let leader = self.leaders.len() - 1;
                for changes in all {
                    let proposer = Proposer { name: "staff".into(), proposed_ms: 0 };
                    let number = self.leaders[leader].0.propose(proposer, changes).expect("it fits");
                    self.proposed.push((now, number));
                }
                let due = self.leaders[leader].0.next_tick().unwrap_or(now) / self.leaders[leader].1;
                self.add(due.max(now) + 0.001, SimEvent::Check);
            }
            SimEvent::NewLeader => {
                let rate = 1.0 + self.rng.random_range(-config.clock_drift_ratio..=config.clock_drift_ratio);
                let begins =
                    if self.setup.planted == PlantedFault::TakesOverAtOnce { -1e9 } else { now * rate };
                let epoch = self.leaders.len() as u64 + 1;
                let store = self.leaders[self.leaders.len() - 1].0.store().clone();
                self.leaders.push((Primary::new(config, begins, epoch, store), rate));
                self.proposed.clear();
                for n in 0..self.replicas.len() {
                    let late_ms = self.rng.random_range(0.0..=self.setup.late_ms);
                    self.replicas[n].process.late_until = now + late_ms;
                }
            }
            SimEvent::Pause(who, for_ms) => self.process(who).asleep_until = now + for_ms,
            SimEvent::Restart(who, for_ms) => {
                let process = self.process(who);
                process.incarnation += 1;
                process.asleep_until = 0.0;
                process.down_until = now + for_ms;
                let (incarnation, rate) = (process.incarnation, process.rate);
                match who {
                    Node::Gateway(n) => {
                        let kept = self.setup.snapshots && self.rng.random_bool(0.5);
                        let g = &mut self.gateways[n];
                        let wanted: Vec<Scope> = g
                            .follower
                            .complete_scopes()
                            .map(|w| w.0)
                            .chain(g.follower.fetching_scopes())
                            .collect();
                        g.follower = if kept {
                            Follower::restore(config, member(who, incarnation), g.follower.snapshot())
                        } else {
                            Follower::new(config, member(who, incarnation), Tables::new())
                        };
                        wanted.into_iter().for_each(|scope| g.follower.subscribe(scope, 1.0));
                        g.earlier = None;
                    }
                    Node::Replica(n) => {
                        let back = (now + for_ms) * rate;
                        self.replicas[n].replica = Replica::new(config, member(who, incarnation), back);
                    }
                }
                self.wakes(who, now + for_ms);
                return gateway(who);
            }
            SimEvent::Cut(who, way, for_ms) => {
                let process = self.process(who);
                if way != CutDirection::Responses {
                    process.cut_asks_until = now + for_ms;
                }
                if way != CutDirection::Requests {
                    process.cut_answers_until = now + for_ms;
                }
            }
            SimEvent::Reconnect(n) => {
                let g = &mut self.gateways[n];
                g.at = (g.at + 1) % g.order.len().max(1);
                g.follower.reconnected();
                self.wakes(Node::Gateway(n), now);
            }
            SimEvent::Subscribe(n, scope, want) => {
                let g = &mut self.gateways[n];
                if want {
                    g.follower.subscribe(scope, 1.0);
                } else {
                    g.follower.unsubscribe(scope);
                }
                return Some(n);
            }
            SimEvent::Check => {}
        }
        None
    }

    fn asks(&mut self, now: f64, who: Node) {
        let calm = now >= self.setup.calm_from_ms;
        let (loss, delay_ms) = (if calm { 0.0 } else { self.setup.loss }, self.setup.delay_ms);
        let process = self.process(who).clone();
        if now != process.wakes_at {
            return;
        }
        let up = process.asleep_until.max(process.down_until);
        if now < up {
            return self.wakes(who, up);
        }
        let local = now * process.rate;
        let half = self.setup.config.response_timeout_ms();
        let (ask, due) = match who {
            Node::Gateway(n) => {
                let g = &mut self.gateways[n];
                // A gateway leaves a replica that does not answer, or without a lease.
                if !g.order.is_empty() && local >= g.follower.next_poll() && local > g.renewed + half {
                    g.at = (g.at + 1) % g.order.len();
                    g.renewed = local;
                    g.follower.reconnected();
                }
                (g.follower.poll(local), g.follower.next_poll())
            }
            Node::Replica(n) => {
                let b = &mut self.replicas[n];
                let mut ask = b.replica.poll(local);
                if let (Some(ask), PlantedFault::SpeaksForItself) = (&mut ask, self.setup.planted) {
                    ask.known = b.replica.follower().known();
                    ask.in_force = b.replica.follower().in_force();
                }
                (ask, b.replica.next_poll(local))
            }
        };
        self.wakes(who, (due / process.rate).max(now) + 0.001);
        let Some(ask) = ask else { return };
        if now < process.cut_asks_until || self.rng.random_bool(loss) {
            return;
        }
        let arrives = now + self.rng.random_range(0.1..delay_ms);
        let to = match who {
            Node::Gateway(n) => self.gateways[n].order.get(self.gateways[n].at).copied(),
            Node::Replica(_) => None,
        };
        if let Some(to) = to {
            let incarnation = self.replicas[to].process.incarnation;
            self.add(arrives, SimEvent::PollAtReplica(to, incarnation, ask));
        } else {
            // Some polls still reach the previous leader.
            let leader = self.leaders.len() - 1;
            let late = match self.setup.late_ms {
                0.0 => leader > 0 && !calm && self.rng.random_bool(0.3),
                _ => now < process.late_until,
            };
            let to = if late { leader - 1 } else { leader };
            self.add(arrives, SimEvent::PollAtPrimary(to, 0, ask));
        }
    }

    fn answer(&mut self, now: f64, ask: &PollRequest, incarnation: u64, mut grant: PollResponse) {
        let n: usize = ask.member.name[1..].parse().expect("a number");
        let who = if ask.member.name.starts_with('g') { Node::Gateway(n) } else { Node::Replica(n) };
        match self.setup.planted {
            PlantedFault::SkipsTombstones => {
                grant.chunks.iter_mut().for_each(|part| part.entries.retain(|one| one.entry.is_some()));
            }
            PlantedFault::SkipsPending => grant.pending.retain(|version| version.revision > ask.known),
            _ => {}
        }
        let calm = now >= self.setup.calm_from_ms;
        let (loss, doubled) = if calm { (0.0, 0.0) } else { (self.setup.loss, self.setup.doubled) };
        let copies = 1 + usize::from(self.rng.random_bool(doubled));
        for _ in 0..copies {
            if now >= self.process(who).cut_answers_until && !self.rng.random_bool(loss) {
                let arrives = now + self.rng.random_range(0.1..self.setup.delay_ms);
                self.add(
                    arrives,
                    SimEvent::Response(who, ask.member.incarnation, incarnation, grant.clone()),
                );
            }
        }
    }

    fn handle_response(
        &mut self, now: f64, who: Node, incarnation: u64, from: u64, mut grant: PollResponse,
    ) -> Option<usize> {
        let process = self.process(who).clone();
        // What comes while a process stands still waits for it.
        if now < process.asleep_until {
            self.add(process.asleep_until, SimEvent::Response(who, incarnation, from, grant));
            return None;
        }
        if incarnation != process.incarnation || now < process.down_until {
            return None;
        }
        let local = now * process.rate;
        let (taken, due) = match who {
            Node::Gateway(n) => {
                let g = &mut self.gateways[n];
                if self.setup.planted == PlantedFault::TakesEarlier {
                    if let Some(earlier) =
                        g.earlier.replace(grant.clone()).filter(|_| self.rng.random_bool(0.5))
                    {
                        grant = PollResponse {
                            sequence: grant.sequence,
                            generation: grant.generation,
                            ..earlier
                        };
                    }
                }
                let leased = grant.lease_us > 0;
                let before = (g.follower.known(), g.follower.in_force());
                let taken = g.follower.handle_response(local, grant);
                if leased && taken.is_ok() {
                    g.renewed = local;
                }
                let after = (g.follower.known(), g.follower.in_force());
                self.seen.went_back += u64::from(after.0 < before.0 || after.1 < before.1);
                (taken, g.follower.next_poll())
            }
            Node::Replica(n) => {
                let b = &mut self.replicas[n];
                let taken = b.replica.handle_response(local, grant);
                (taken, b.replica.next_poll(local))
            }
        };
        self.wakes(who, (due / process.rate).max(now) + 0.001);
        match taken {
            Ok(news) => {
                let count = |is: fn(&FollowerEvent) -> bool| news.iter().filter(|n| is(n)).count() as u64;
                self.seen.restarted += count(|n| matches!(n, FollowerEvent::Restarted(_)));
                self.seen.fell_behind += count(|n| matches!(n, FollowerEvent::Stale(_)));
            }
            Err(ResponseError::Outdated { .. }) => self.seen.past += 1,
            Err(_) => {}
        }
        gateway(who)
    }
}
