//! The events of the simulated fleet.
use super::*;
use rand::{RngExt, SeedableRng};
use ternstack_replication::follower::{FollowerEvent, ResponseError};
use ternstack_replication::primary::Proposer;
use ternstack_replication::scope::ChangeSet;
use ternstack_replication::store::Store;

impl Simulation {
    /// Creates a fleet with the first revision in force. The random generator draws the speeds of all clocks
    /// first, in the order of the members.
    pub fn new(
        setup: Setup, initial_changes: Vec<Change>, subscriptions: impl Fn(usize) -> Vec<Scope>,
    ) -> Simulation {
        let config = setup.config;
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut store = Store::new();
        store.add_pending(ChangeSet { revision: 1, changes: initial_changes.clone() });
        store.advance_to(1);
        let gateways = (0..setup.members).map(|n| {
            let mut follower = Follower::new(config, member(Node::Gateway(n), 0), Tables::new());
            subscriptions(n).into_iter().for_each(|scope| follower.subscribe(scope, 1.0));
            Gateway {
                process: Process::new(
                    1.0 + rng.random_range(-config.clock_drift_ratio..=config.clock_drift_ratio),
                ),
                follower,
                replica_order: (0..setup.replicas).map(|m| (n + m) % setup.replicas).collect(),
                position: 0,
                last_renewal_at: 0.0,
                applied_rules: BTreeMap::new(),
                leased: false,
                earlier_response: None,
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
        let mut simulation = Simulation {
            gateways,
            replicas,
            leaders: vec![(Primary::new(config, 0.0, 1, store), 1.0)],
            history: Vec::new(),
            observations: Observations::default(),
            watched: Vec::new(),
            queue: BinaryHeap::new(),
            last_serial: 0,
            values: BTreeMap::new(),
            activations: vec![(f64::NEG_INFINITY, 1)],
            open_proposals: Vec::new(),
            activating: BTreeMap::new(),
            rng,
            setup,
        };
        simulation.record_values(1, &initial_changes);
        simulation
    }

    /// Schedules an event at a time in ms.
    pub fn schedule(&mut self, at: f64, event: SimEvent) {
        self.last_serial += 1;
        self.queue.push(Scheduled(at, self.last_serial, event));
    }

    /// Schedules the next check of whether a node's poll is due, which replaces the check scheduled before.
    fn schedule_poll(&mut self, node: Node, at: f64) {
        self.process(node).next_poll_check_at = at;
        self.schedule(at, SimEvent::PollDue(node));
    }

    /// Schedules the first polls of all nodes, and the checks of the invariants.
    pub fn start(&mut self) {
        for n in 0..self.gateways.len() {
            let at = self.rng.random_range(0.0..400.0);
            self.schedule_poll(Node::Gateway(n), at);
        }
        for n in 0..self.replicas.len() {
            self.schedule_poll(Node::Replica(n), 0.0);
        }
        for n in 0..(self.setup.duration_ms / 25.0) as u32 {
            self.schedule(f64::from(n) * 25.0, SimEvent::Check);
        }
    }

    pub fn process(&mut self, node: Node) -> &mut Process {
        match node {
            Node::Gateway(n) => &mut self.gateways[n].process,
            Node::Replica(n) => &mut self.replicas[n].process,
        }
    }

    /// Records the values that a revision gives to keys.
    pub fn record_values(&mut self, revision: Revision, changes: &[Change]) {
        for change in changes {
            self.values.entry((change.scope, change.key)).or_default().push((revision, change.entry));
        }
    }

    /// Returns the value of a key at a revision.
    pub fn expected_entry(&self, revision: Revision, scope: Scope, key: Key) -> Option<Entry> {
        let values = self.values.get(&(scope, key))?;
        values.iter().rev().find(|(set_at, _)| *set_at <= revision).and_then(|(_, entry)| *entry)
    }

    /// Runs the simulation to the end of its duration.
    pub fn run(&mut self) {
        while let Some(Scheduled(now, _, event)) = self.queue.pop() {
            if now > self.setup.duration_ms {
                break;
            }
            let touched = self.handle(now, event);
            self.advance_leader(now);
            self.check_gateways(now, touched);
        }
        self.observations.revisions = self.leaders[self.leaders.len() - 1].0.store().in_force();
    }

    /// Handles an event, and returns the gateway whose state the event may have changed.
    fn handle(&mut self, now: f64, event: SimEvent) -> Option<usize> {
        let config = self.setup.config;
        match event {
            SimEvent::PollDue(node) => self.send_due_poll(now, node),
            SimEvent::PollAtPrimary(to, _, request) => {
                let is_current = to + 1 == self.leaders.len();
                let fault = self.setup.fault;
                let (primary, clock_rate) = &mut self.leaders[to];
                let local_now = now * *clock_rate;
                // A majority confirms only the current leader.
                if is_current || fault == Fault::GrantsUnconfirmed {
                    primary.confirm_leadership(local_now);
                }
                if let Some(response) = primary.handle_poll(local_now, &request) {
                    self.send_response(now, &request, 0, response);
                }
            }
            SimEvent::PollAtReplica(to, incarnation, request) => {
                let replica_node = &mut self.replicas[to];
                if now < replica_node.process.paused_until {
                    let resumes_at = replica_node.process.paused_until;
                    self.schedule(resumes_at, SimEvent::PollAtReplica(to, incarnation, request));
                } else if incarnation == replica_node.process.incarnation
                    && now >= replica_node.process.down_until
                {
                    let local_now = now * replica_node.process.clock_rate;
                    if let Some(mut response) = replica_node.replica.handle_poll(local_now, &request) {
                        let lease_us = (config.lease_ms * 1000.0) as u64;
                        match self.setup.fault {
                            Fault::GrantsLongerLease if response.lease_us > 0 => response.lease_us = lease_us,
                            Fault::GrantsUnleased if response.lease_us == 0 => response.lease_us = lease_us,
                            _ => {}
                        }
                        let due = replica_node.replica.next_poll(local_now) / replica_node.process.clock_rate;
                        self.schedule_poll(Node::Replica(to), due.max(now) + 0.001);
                        self.send_response(now, &request, incarnation, response);
                    }
                }
            }
            SimEvent::Response(node, incarnation, from, response) => {
                return self.handle_response(now, node, incarnation, from, response)
            }
            SimEvent::Propose(proposals) => {
                let leader = self.leaders.len() - 1;
                for changes in proposals {
                    let proposer = Proposer { name: "staff".into(), proposed_ms: 0 };
                    let proposal_id =
                        self.leaders[leader].0.propose(proposer, changes).expect("the proposal is valid");
                    self.open_proposals.push((now, proposal_id));
                }
                let due = self.leaders[leader].0.next_tick().unwrap_or(now) / self.leaders[leader].1;
                self.schedule(due.max(now) + 0.001, SimEvent::Check);
            }
            SimEvent::NewLeader => {
                let clock_rate =
                    1.0 + self.rng.random_range(-config.clock_drift_ratio..=config.clock_drift_ratio);
                let leads_since = if self.setup.fault == Fault::LeadsEarly { -1e9 } else { now * clock_rate };
                let epoch = self.leaders.len() as u64 + 1;
                let store = self.leaders[self.leaders.len() - 1].0.store().clone();
                self.leaders.push((Primary::new(config, leads_since, epoch, store), clock_rate));
                self.open_proposals.clear();
                for n in 0..self.replicas.len() {
                    let old_leader_ms = self.rng.random_range(0.0..=self.setup.max_old_leader_ms);
                    self.replicas[n].process.polls_old_leader_until = now + old_leader_ms;
                }
            }
            SimEvent::Pause(node, for_ms) => self.process(node).paused_until = now + for_ms,
            SimEvent::Restart(node, for_ms) => {
                let process = self.process(node);
                process.incarnation += 1;
                process.paused_until = 0.0;
                process.down_until = now + for_ms;
                let (incarnation, clock_rate) = (process.incarnation, process.clock_rate);
                match node {
                    Node::Gateway(n) => {
                        let has_snapshot = self.setup.snapshots && self.rng.random_bool(0.5);
                        let gateway = &mut self.gateways[n];
                        let followed: Vec<Scope> = gateway
                            .follower
                            .complete_scopes()
                            .map(|complete| complete.0)
                            .chain(gateway.follower.fetching_scopes())
                            .collect();
                        gateway.follower = if has_snapshot {
                            Follower::restore(config, member(node, incarnation), gateway.follower.snapshot())
                        } else {
                            Follower::new(config, member(node, incarnation), Tables::new())
                        };
                        followed.into_iter().for_each(|scope| gateway.follower.subscribe(scope, 1.0));
                        gateway.earlier_response = None;
                    }
                    Node::Replica(n) => {
                        let starts_at = (now + for_ms) * clock_rate;
                        self.replicas[n].replica = Replica::new(config, member(node, incarnation), starts_at);
                    }
                }
                self.schedule_poll(node, now + for_ms);
                return gateway_index(node);
            }
            SimEvent::Cut(node, direction, for_ms) => {
                let process = self.process(node);
                if direction != CutDirection::Responses {
                    process.requests_cut_until = now + for_ms;
                }
                if direction != CutDirection::Requests {
                    process.responses_cut_until = now + for_ms;
                }
            }
            SimEvent::Reconnect(n) => {
                let gateway = &mut self.gateways[n];
                gateway.position = (gateway.position + 1) % gateway.replica_order.len().max(1);
                gateway.follower.reconnected();
                self.schedule_poll(Node::Gateway(n), now);
            }
            SimEvent::Subscribe(n, scope, subscribe) => {
                let gateway = &mut self.gateways[n];
                if subscribe {
                    gateway.follower.subscribe(scope, 1.0);
                } else {
                    gateway.follower.unsubscribe(scope);
                }
                return Some(n);
            }
            SimEvent::Check => {}
        }
        None
    }

    /// Sends the next poll of a node, if the poll is due.
    fn send_due_poll(&mut self, now: f64, node: Node) {
        let faults_ended = now >= self.setup.faults_end_ms;
        let (loss_probability, max_delay_ms) =
            (if faults_ended { 0.0 } else { self.setup.loss_probability }, self.setup.max_delay_ms);
        let process = self.process(node).clone();
        if now != process.next_poll_check_at {
            return;
        }
        let running_at = process.paused_until.max(process.down_until);
        if now < running_at {
            return self.schedule_poll(node, running_at);
        }
        let local_now = now * process.clock_rate;
        let lease_timeout_ms = self.setup.config.response_timeout_ms();
        let (request, due) = match node {
            Node::Gateway(n) => {
                let gateway = &mut self.gateways[n];
                // A gateway moves to another replica if its replica does not answer or grants no lease.
                if !gateway.replica_order.is_empty()
                    && local_now >= gateway.follower.next_poll()
                    && local_now > gateway.last_renewal_at + lease_timeout_ms
                {
                    gateway.position = (gateway.position + 1) % gateway.replica_order.len();
                    gateway.last_renewal_at = local_now;
                    gateway.follower.reconnected();
                }
                (gateway.follower.poll(local_now), gateway.follower.next_poll())
            }
            Node::Replica(n) => {
                let replica_node = &mut self.replicas[n];
                let mut request = replica_node.replica.poll(local_now);
                if let (Some(request), Fault::ReportsOwnProgress) = (&mut request, self.setup.fault) {
                    request.known = replica_node.replica.follower().known();
                    request.in_force = replica_node.replica.follower().in_force();
                }
                (request, replica_node.replica.next_poll(local_now))
            }
        };
        self.schedule_poll(node, (due / process.clock_rate).max(now) + 0.001);
        let Some(request) = request else { return };
        if now < process.requests_cut_until || self.rng.random_bool(loss_probability) {
            return;
        }
        let arrives_at = now + self.rng.random_range(0.1..max_delay_ms);
        let to = match node {
            Node::Gateway(n) => self.gateways[n].replica_order.get(self.gateways[n].position).copied(),
            Node::Replica(_) => None,
        };
        if let Some(to) = to {
            let incarnation = self.replicas[to].process.incarnation;
            self.schedule(arrives_at, SimEvent::PollAtReplica(to, incarnation, request));
        } else {
            // Some polls still reach the previous leader.
            let leader = self.leaders.len() - 1;
            let polls_old_leader = match self.setup.max_old_leader_ms {
                0.0 => leader > 0 && !faults_ended && self.rng.random_bool(0.3),
                _ => now < process.polls_old_leader_until,
            };
            let to = if polls_old_leader { leader - 1 } else { leader };
            self.schedule(arrives_at, SimEvent::PollAtPrimary(to, 0, request));
        }
    }

    /// Sends a response to the member that polled.
    fn send_response(
        &mut self, now: f64, request: &PollRequest, incarnation: u64, mut response: PollResponse,
    ) {
        let n: usize = request.member.name[1..].parse().expect("the member's name ends in its index");
        let node = if request.member.name.starts_with('g') { Node::Gateway(n) } else { Node::Replica(n) };
        match self.setup.fault {
            Fault::SkipsTombstones => {
                response
                    .chunks
                    .iter_mut()
                    .for_each(|chunk| chunk.entries.retain(|change| change.entry.is_some()));
            }
            Fault::SkipsPending => response.pending.retain(|change_set| change_set.revision > request.known),
            _ => {}
        }
        let faults_ended = now >= self.setup.faults_end_ms;
        let (loss_probability, duplicate_probability) = if faults_ended {
            (0.0, 0.0)
        } else {
            (self.setup.loss_probability, self.setup.duplicate_probability)
        };
        let copies = 1 + usize::from(self.rng.random_bool(duplicate_probability));
        for _ in 0..copies {
            if now >= self.process(node).responses_cut_until && !self.rng.random_bool(loss_probability) {
                let arrives_at = now + self.rng.random_range(0.1..self.setup.max_delay_ms);
                self.schedule(
                    arrives_at,
                    SimEvent::Response(node, request.member.incarnation, incarnation, response.clone()),
                );
            }
        }
    }

    fn handle_response(
        &mut self, now: f64, node: Node, incarnation: u64, from: u64, mut response: PollResponse,
    ) -> Option<usize> {
        let process = self.process(node).clone();
        // A response that arrives while a process is suspended is handled after the suspension.
        if now < process.paused_until {
            self.schedule(process.paused_until, SimEvent::Response(node, incarnation, from, response));
            return None;
        }
        if incarnation != process.incarnation || now < process.down_until {
            return None;
        }
        let local_now = now * process.clock_rate;
        let (result, due) = match node {
            Node::Gateway(n) => {
                let gateway = &mut self.gateways[n];
                if self.setup.fault == Fault::AcceptsEarlierResponse {
                    if let Some(earlier) = gateway
                        .earlier_response
                        .replace(response.clone())
                        .filter(|_| self.rng.random_bool(0.5))
                    {
                        response = PollResponse {
                            sequence: response.sequence,
                            generation: response.generation,
                            ..earlier
                        };
                    }
                }
                let leased = response.lease_us > 0;
                let before = (gateway.follower.known(), gateway.follower.in_force());
                let result = gateway.follower.handle_response(local_now, response);
                if leased && result.is_ok() {
                    gateway.last_renewal_at = local_now;
                }
                let after = (gateway.follower.known(), gateway.follower.in_force());
                self.observations.regressions += u64::from(after.0 < before.0 || after.1 < before.1);
                (result, gateway.follower.next_poll())
            }
            Node::Replica(n) => {
                let replica_node = &mut self.replicas[n];
                let result = replica_node.replica.handle_response(local_now, response);
                (result, replica_node.replica.next_poll(local_now))
            }
        };
        self.schedule_poll(node, (due / process.clock_rate).max(now) + 0.001);
        match result {
            Ok(events) => {
                let count = |is: fn(&FollowerEvent) -> bool| events.iter().filter(|e| is(e)).count() as u64;
                self.observations.restarted_scopes +=
                    count(|event| matches!(event, FollowerEvent::Restarted(_)));
                self.observations.stale_scopes += count(|event| matches!(event, FollowerEvent::Stale(_)));
            }
            Err(ResponseError::Outdated { .. }) => self.observations.outdated_responses += 1,
            Err(_) => {}
        }
        gateway_index(node)
    }
}
