//! The descriptor budget under a shortage: which client connections are evicted when silent, slow or idle
//! clients compete with regular clients.
use std::collections::{BTreeMap, HashMap};
use ternstack_gateway::budget::{ClientId, ConnectionState, DescriptorBudget, DescriptorGrant};

/// The behaviour of a simulated client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClientKind {
    /// Sends a complete request 2 ms after connecting, and stays idle after the response.
    Regular,
    /// Connects and sends nothing.
    Silent,
    /// Sends a part of a request 1 ms after connecting, and then nothing more.
    Slow,
}

/// A simulation of client connections against a descriptor budget, in steps of 1 ms.
struct Simulation {
    budget: DescriptorBudget,
    now_ms: u64,
    kinds: HashMap<ClientId, ClientKind>,
    /// The next state of each connection, by the time of the change in milliseconds and by the order of
    /// scheduling.
    scheduled: BTreeMap<(u64, u64), (ClientId, ConnectionState)>,
    scheduled_count: u64,
    /// The number of evicted connections, by kind of client and by whether the connection was evicted before
    /// its request was complete.
    evicted_counts: BTreeMap<(ClientKind, bool), u32>,
    rejected_counts: BTreeMap<ClientKind, u32>,
    served_count: u32,
    states: HashMap<ClientId, ConnectionState>,
}

impl Simulation {
    fn new(budget: usize) -> Self {
        Simulation {
            budget: DescriptorBudget::new(budget),
            now_ms: 0,
            kinds: HashMap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            evicted_counts: BTreeMap::new(),
            rejected_counts: BTreeMap::new(),
            served_count: 0,
            states: HashMap::new(),
        }
    }

    fn schedule(&mut self, delay_ms: u64, id: ClientId, state: ConnectionState) {
        self.scheduled_count += 1;
        self.scheduled.insert((self.now_ms + delay_ms, self.scheduled_count), (id, state));
    }

    fn connect(&mut self, kind: ClientKind) {
        let id = match self.budget.admit(self.now_ms as f64) {
            DescriptorGrant::Admitted(id) => id,
            DescriptorGrant::Evicting { admitted: id, evicted: other } => {
                let is_unserved = self.states[&other] != ConnectionState::Idle;
                assert_ne!(
                    self.states[&other],
                    ConnectionState::Open,
                    "a connection with an open request is not evicted"
                );
                *self.evicted_counts.entry((self.kinds[&other], is_unserved)).or_default() += 1;
                self.states.remove(&other);
                id
            }
            DescriptorGrant::Full => {
                *self.rejected_counts.entry(kind).or_default() += 1;
                return;
            }
        };
        self.kinds.insert(id, kind);
        self.states.insert(id, ConnectionState::New);
        match kind {
            ClientKind::Regular => self.schedule(2, id, ConnectionState::Open),
            ClientKind::Slow => self.schedule(1, id, ConnectionState::Reading),
            ClientKind::Silent => {}
        }
    }

    /// Advances the simulation by 1 ms.
    fn advance_1_ms(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.scheduled.first_entry().filter(|e| e.key().0 <= self.now_ms) {
            let (id, state) = entry.remove();
            if !self.states.contains_key(&id) {
                continue; // The connection has been evicted.
            }
            self.states.insert(id, state);
            self.budget.set_state(id, state, self.now_ms as f64);
            if state == ConnectionState::Open {
                self.served_count += 1;
                self.schedule(30, id, ConnectionState::Idle);
            }
        }
        assert!(self.budget.client_count() <= self.budget.max_clients().max(1));
        let counted: usize =
            [ConnectionState::New, ConnectionState::Reading, ConnectionState::Open, ConnectionState::Idle]
                .map(|state| self.budget.count_in(state))
                .iter()
                .sum();
        assert_eq!(counted, self.states.len());
    }
}

/// Simulates 5 s in which 100 regular clients connect per second, while clients of the kind `other_kind`
/// connect at the rate `connections_per_s`.
fn simulate_with(other_kind: ClientKind, connections_per_s: u64) -> Simulation {
    let mut simulation = Simulation::new(200);
    for ms in 0..5000 {
        if ms % 10 == 0 {
            simulation.connect(ClientKind::Regular);
        }
        for _ in 0..(connections_per_s * (ms + 1) / 1000 - connections_per_s * ms / 1000) {
            simulation.connect(other_kind);
        }
        simulation.advance_1_ms();
    }
    simulation
}

#[test]
fn idle_clients_cause_no_eviction_of_connections_whose_request_is_arriving() {
    // Idle connections use up the budget throughout. If connections that have sent nothing yet were evicted
    // first, each new connection would evict the preceding one, whose request is arriving, and no other_kind.
    let simulation = simulate_with(ClientKind::Regular, 400);
    assert_eq!(simulation.evicted_counts.get(&(ClientKind::Regular, true)), None);
    assert_eq!(simulation.rejected_counts.get(&ClientKind::Regular), None);
    assert!(simulation.served_count >= 2490, "{}", simulation.served_count);
    assert!(simulation.evicted_counts[&(ClientKind::Regular, false)] > 2000);
}

#[test]
fn a_flood_of_silent_or_slow_clients_evicts_no_regular_client_before_its_request_is_served() {
    for flood in [ClientKind::Silent, ClientKind::Slow] {
        for connections_per_s in [100, 1000, 5000] {
            let simulation = simulate_with(flood, connections_per_s);
            assert_eq!(
                simulation.evicted_counts.get(&(ClientKind::Regular, true)),
                None,
                "{flood:?} at {connections_per_s}"
            );
            if flood == ClientKind::Silent {
                assert_eq!(simulation.rejected_counts.get(&ClientKind::Regular), None, "{connections_per_s}");
                assert!(simulation.served_count >= 499, "{connections_per_s}: {}", simulation.served_count);
            }
        }
    }
    // Slow connections that use up the budget can be evicted after half a second.
    let simulation = simulate_with(ClientKind::Slow, 100);
    assert!(simulation.served_count >= 499, "{}", simulation.served_count);
}

#[test]
fn client_and_upstream_connections_each_have_a_minimum_and_may_use_free_descriptors() {
    let mut budget = DescriptorBudget::new(100);
    assert_eq!(budget.max_clients(), 75);
    let clients: Vec<ClientId> = (0..75)
        .map(|_| match budget.admit(0.0) {
            DescriptorGrant::Admitted(id) => id,
            other => panic!("{other:?}"),
        })
        .collect();
    clients.iter().for_each(|id| budget.set_state(*id, ConnectionState::Open, 1.0));
    assert_eq!(budget.admit(1000.0), DescriptorGrant::Full, "connections with open requests are not evicted");
    assert_eq!((0..100).filter(|_| budget.open_upstream()).count(), 25);
    assert_eq!(budget.make_room(1000.0), None);
    // Upstream connections may use descriptors that clients leave free, and an eighth of the budget stays
    // reserved for the next upstream connections.
    clients[..50].iter().for_each(|id| assert!(budget.remove(*id)));
    assert_eq!((0..100).filter(|_| budget.open_upstream()).count(), 50);
    assert_eq!(budget.max_clients(), 25);
    budget.set_state(clients[60], ConnectionState::Idle, 2.0);
    assert_eq!(budget.make_room(1000.0), Some(clients[60]));
    assert!(budget.open_upstream() && !budget.open_upstream());
    (0..76).for_each(|_| budget.close_upstream());
    assert_eq!(budget.max_clients(), 75);
    assert!(!budget.remove(clients[60]), "an evicted connection is already removed");
    budget.set_state(clients[60], ConnectionState::Open, 3.0);
    assert_eq!(budget.client_count(), 24);
}

#[test]
fn surplus_idle_connections_are_evicted_so_that_descriptors_stay_free() {
    // Client connections get at most a third of the descriptors here. Idle connections that clients keep for
    // 2 s would use up that third at 60 new connections per second, so that other clients could not connect
    // although every endpoint has capacity.
    let mut budget = DescriptorBudget::new(336);
    let (mut evicted_count, mut max_client_count) = (0, 0);
    for n in 0..600u32 {
        let now_ms = f64::from(n) * 16.0;
        let DescriptorGrant::Admitted(id) = budget.admit(now_ms) else { panic!("the budget has room") };
        budget.set_state(id, ConnectionState::Open, now_ms + 2.0);
        budget.set_state(id, ConnectionState::Idle, now_ms + 12.0);
        while budget.evict_surplus_idle(now_ms + 12.0).is_some() {
            evicted_count += 1;
        }
        max_client_count = max_client_count.max(budget.client_count());
    }
    assert!(max_client_count <= 336 / 8 + 1, "{max_client_count}");
    assert_eq!(evicted_count, 600 - budget.client_count());

    // Connections that became idle less than 100 ms ago are not evicted, because their next request may be
    // arriving.
    let mut budget = DescriptorBudget::new(80);
    for n in 0..30u32 {
        let DescriptorGrant::Admitted(id) = budget.admit(0.0) else { panic!("the budget has room") };
        budget.set_state(id, ConnectionState::Idle, f64::from(n));
    }
    assert_eq!(budget.evict_surplus_idle(60.0), None);
    assert_eq!(
        (budget.evict_surplus_idle(101.0).is_some(), budget.evict_surplus_idle(101.5).is_some()),
        (true, true)
    );
}

/// Returns a budget whose client connections all have open requests, with their numbers.
fn full_budget() -> (DescriptorBudget, Vec<ClientId>) {
    let mut budget = DescriptorBudget::new(16);
    let mut admitted = Vec::new();
    while let DescriptorGrant::Admitted(id) = budget.admit(0.0) {
        budget.set_state(id, ConnectionState::Open, 0.0);
        admitted.push(id);
    }
    (budget, admitted)
}

#[test]
fn a_connection_that_waits_for_its_clients_close_is_evicted_first() {
    let (mut budget, admitted) = full_budget();
    budget.set_state(admitted[0], ConnectionState::Idle, 0.0);
    budget.set_state(admitted[1], ConnectionState::Lingering, 990.0);
    assert!(budget.has_room_for_client(1000.0));
    let evicted = |grant| match grant {
        DescriptorGrant::Evicting { evicted, .. } => Some(evicted),
        _ => None,
    };
    assert_eq!(evicted(budget.admit(1000.0)), Some(admitted[0]), "the client may still read its response");
    assert_eq!(evicted(budget.admit(1010.0)), Some(admitted[1]));
}

// Guards against a connection that is evicted before its request, which arrived with it, has been read.
#[test]
fn a_connection_that_has_just_been_accepted_is_not_evicted_for_the_next_one() {
    let (mut budget, admitted) = full_budget();
    budget.remove(admitted[0]);
    assert!(matches!(budget.admit(1000.0), DescriptorGrant::Admitted(_)));
    assert_eq!(budget.admit(1001.0), DescriptorGrant::Full);
    assert!(matches!(budget.admit(1020.0), DescriptorGrant::Evicting { .. }));
}
