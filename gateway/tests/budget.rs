//! Who gives way when descriptors are short: floods of silent, slow and idle connections beside usual clients.
use std::collections::{BTreeMap, HashMap};
use ternstack_gateway::budget::{ClientId, ConnectionState, DescriptorBudget, DescriptorGrant};

/// What a connection in the play is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Who {
    Usual,
    Silent,
    Slow,
}

/// Plays connections against budget, in whole milliseconds, and counts what became of whom.
struct Play {
    budget: DescriptorBudget,
    now: u64,
    who: HashMap<ClientId, Who>,
    next: BTreeMap<(u64, u64), (ClientId, ConnectionState)>, // Due: what a connection does next.
    planned: u64,
    pushed_out: BTreeMap<(Who, bool), u32>, // Who gave way; true if that was before or in the middle of a request.
    turned_away: BTreeMap<Who, u32>,
    served: u32,
    doing: HashMap<ClientId, ConnectionState>,
}

impl Play {
    fn new(budget: usize) -> Self {
        Play {
            budget: DescriptorBudget::new(budget),
            now: 0,
            who: HashMap::new(),
            next: BTreeMap::new(),
            planned: 0,
            pushed_out: BTreeMap::new(),
            turned_away: BTreeMap::new(),
            served: 0,
            doing: HashMap::new(),
        }
    }

    fn plan(&mut self, after: u64, id: ClientId, doing: ConnectionState) {
        self.planned += 1;
        self.next.insert((self.now + after, self.planned), (id, doing));
    }

    fn connect(&mut self, who: Who) {
        let id = match self.budget.admit(self.now as f64) {
            DescriptorGrant::Admitted(id) => id,
            DescriptorGrant::Evicting { admitted: id, evicted: other } => {
                let unserved = self.doing[&other] != ConnectionState::Idle;
                assert_ne!(self.doing[&other], ConnectionState::Open, "an open request gives way to nobody");
                *self.pushed_out.entry((self.who[&other], unserved)).or_default() += 1;
                self.doing.remove(&other);
                id
            }
            DescriptorGrant::Full => {
                *self.turned_away.entry(who).or_default() += 1;
                return;
            }
        };
        self.who.insert(id, who);
        self.doing.insert(id, ConnectionState::New);
        match who {
            Who::Usual => self.plan(2, id, ConnectionState::Open),
            Who::Slow => self.plan(1, id, ConnectionState::Reading),
            Who::Silent => {}
        }
    }

    /// Lets a millisecond pass.
    fn pass(&mut self) {
        self.now += 1;
        while let Some(entry) = self.next.first_entry().filter(|e| e.key().0 <= self.now) {
            let (id, doing) = entry.remove();
            if !self.doing.contains_key(&id) {
                continue; // It has given way.
            }
            self.doing.insert(id, doing);
            self.budget.set_state(id, doing, self.now as f64);
            if doing == ConnectionState::Open {
                self.served += 1;
                self.plan(30, id, ConnectionState::Idle);
            }
        }
        assert!(self.budget.client_count() <= self.budget.max_clients().max(1));
        let counted: usize =
            [ConnectionState::New, ConnectionState::Reading, ConnectionState::Open, ConnectionState::Idle]
                .map(|d| self.budget.count_in(d))
                .iter()
                .sum();
        assert_eq!(counted, self.doing.len());
    }
}

/// A hundred requests a second on new connections, each kept when it is done, while others open connections at a given rate.
fn play_with_others(others: Who, per_s: u64) -> Play {
    let mut play = Play::new(200);
    for ms in 0..5000 {
        if ms % 10 == 0 {
            play.connect(Who::Usual);
        }
        for _ in 0..(per_s * (ms + 1) / 1000 - per_s * ms / 1000) {
            play.connect(others);
        }
        play.pass();
    }
    play
}

#[test]
fn idle_clients_evict_no_connection_whose_request_is_on_its_way() {
    // The row of idle ones is full all the time. Were who has brought nothing yet to go first, each new connection
    // would push out the one before it, whose request is on its way, and nobody else: incident rfd526e.
    let play = play_with_others(Who::Usual, 400);
    assert_eq!(play.pushed_out.get(&(Who::Usual, true)), None);
    assert_eq!(play.turned_away.get(&Who::Usual), None);
    assert!(play.served >= 2490, "{}", play.served);
    assert!(play.pushed_out[&(Who::Usual, false)] > 2000);
}

#[test]
fn floods_evict_themselves() {
    for flood in [Who::Silent, Who::Slow] {
        for per_s in [100, 1000, 5000] {
            let play = play_with_others(flood, per_s);
            assert_eq!(play.pushed_out.get(&(Who::Usual, true)), None, "{flood:?} at {per_s}");
            if flood == Who::Silent {
                assert_eq!(play.turned_away.get(&Who::Usual), None, "{per_s}");
                assert!(play.served >= 499, "{per_s}: {}", play.served);
            }
        }
    }
    // Slow ones that fill all budget hold them for half a second at most.
    let play = play_with_others(Who::Slow, 100);
    assert!(play.served >= 499, "{}", play.served);
}

#[test]
fn each_side_has_its_minimum_and_may_use_what_the_other_leaves() {
    let mut budget = DescriptorBudget::new(100);
    assert_eq!(budget.max_clients(), 75);
    let clients: Vec<ClientId> = (0..75)
        .map(|_| match budget.admit(0.0) {
            DescriptorGrant::Admitted(id) => id,
            other => panic!("{other:?}"),
        })
        .collect();
    clients.iter().for_each(|id| budget.set_state(*id, ConnectionState::Open, 1.0));
    assert_eq!(budget.admit(1000.0), DescriptorGrant::Full, "open requests give way to nobody");
    assert_eq!((0..100).filter(|_| budget.open_upstream()).count(), 25);
    assert_eq!(budget.make_room(1000.0), None);
    // Hosts use what clients leave, and keep some room for their next connections.
    clients[..50].iter().for_each(|id| assert!(budget.remove(*id)));
    assert_eq!((0..100).filter(|_| budget.open_upstream()).count(), 50);
    assert_eq!(budget.max_clients(), 25);
    budget.set_state(clients[60], ConnectionState::Idle, 2.0);
    assert_eq!(budget.make_room(1000.0), Some(clients[60]));
    assert!(budget.open_upstream() && !budget.open_upstream());
    (0..76).for_each(|_| budget.close_upstream());
    assert_eq!(budget.max_clients(), 75);
    assert!(!budget.remove(clients[60]), "it has given way before");
    budget.set_state(clients[60], ConnectionState::Open, 3.0);
    assert_eq!(budget.client_count(), 24);
}

#[test]
fn idle_clients_leave_descriptors_to_others() {
    // The clients' side holds a third of the descriptors at most. Idle ones that are kept for 2 s would fill it at
    // 60 a second, and usual clients would get no connection though every server has room: incident rfd526e.
    let mut budget = DescriptorBudget::new(336);
    let (mut ended, mut most) = (0, 0);
    for n in 0..600u32 {
        let now = f64::from(n) * 16.0;
        let DescriptorGrant::Admitted(id) = budget.admit(now) else { panic!("there is room") };
        budget.set_state(id, ConnectionState::Open, now + 2.0);
        budget.set_state(id, ConnectionState::Idle, now + 12.0);
        while budget.evict_surplus_idle(now + 12.0).is_some() {
            ended += 1;
        }
        most = most.max(budget.client_count());
    }
    assert!(most <= 336 / 8 + 1, "{most}");
    assert_eq!(ended, 600 - budget.client_count());

    // Those that were busy a moment ago are left alone: their next request may be on its way.
    let mut budget = DescriptorBudget::new(80);
    for n in 0..30u32 {
        let DescriptorGrant::Admitted(id) = budget.admit(0.0) else { panic!("there is room") };
        budget.set_state(id, ConnectionState::Idle, f64::from(n));
    }
    assert_eq!(budget.evict_surplus_idle(60.0), None);
    assert_eq!(
        (budget.evict_surplus_idle(101.0).is_some(), budget.evict_surplus_idle(101.5).is_some()),
        (true, true)
    );
}
