//! A simulated fleet in virtual time: a primary whose consensus is an oracle (one order, one leader at a time, which learns of
//! its replacement only when it asks for confirmation), replicas, gateways, and their faults.
#![allow(dead_code)] // Each test file uses a part of it.
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BinaryHeap};
use ternstack_fault_tests::history::Event;
use ternstack_replication::follower::Follower;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::primary::Primary;
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, Entry, Key, Revision, Scope};
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{Member, PollRequest, PollResponse};

mod checker;
mod simulation;

/// A fault that is planted in a node, and has to be detected.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum PlantedFault {
    Nothing,
    /// A member acts on although its lease has run out.
    IgnoresLease,
    /// The leader brings a revision into force before all lease holders know it.
    SkipsFirstStep,
    /// A new leader does not wait until the leases of the previous one have expired.
    TakesOverAtOnce,
    /// The leader does not wait for members that act on the revision before.
    Hurries,
    /// A leader that was replaced goes on granting.
    Unconfirmed,
    /// A replica hands on leases that are longer than its own.
    HandsOnLonger,
    /// A replica says what it knows itself, and not what its followers do.
    SpeaksForItself,
    /// A replica goes on granting after its own lease is over.
    OutlivesLease,
    /// A follower takes the answer to an earlier ask for that to its last.
    TakesEarlier,
    /// Removed entries are left out of pieces.
    SkipsTombstones,
    /// Versions to come that were known before are left out for a scope that is whole only now.
    SkipsPending,
}

/// A process of the fleet that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    Gateway(usize),
    Replica(usize),
}

/// In which direction a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    Both,
    Requests,
    Responses,
}

/// An event of the simulation: a message arrives, a timer fires, or a fault happens.
#[derive(Clone, Debug)]
pub enum SimEvent {
    /// A node's next poll may be due.
    PollDue(Node),
    /// A poll arrives at the n-th leader.
    PollAtPrimary(usize, u64, PollRequest),
    /// A poll arrives at an incarnation of a replica.
    PollAtReplica(usize, u64, PollRequest),
    /// A response arrives at an incarnation of a node, from an incarnation of its lessor.
    Response(Node, u64, u64, PollResponse),
    Propose(Vec<Vec<Change>>),
    NewLeader,
    /// A node is suspended for so many ms.
    Pause(Node, f64),
    /// A node restarts, and is down for so many ms.
    Restart(Node, f64),
    /// A node's link is cut for so many ms.
    Cut(Node, CutDirection, f64),
    /// A gateway moves to its next replica.
    Reconnect(usize),
    /// A gateway subscribes to a scope, or unsubscribes.
    Subscribe(usize, Scope, bool),
    /// The invariants are checked.
    Check,
}

struct Scheduled(f64, u64, SimEvent);
impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// A process: its incarnation, clock, and faults.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: u64,
    pub rate: f64, // Of its clock.
    pub asleep_until: f64,
    pub down_until: f64,
    pub cut_asks_until: f64,
    pub cut_answers_until: f64,
    late_until: f64, // It polls the previous leader.
    wakes_at: f64,   // To ask.
}

impl Process {
    fn new(rate: f64) -> Self {
        let never = 0.0;
        Process {
            incarnation: 0,
            rate,
            asleep_until: never,
            down_until: never,
            cut_asks_until: never,
            cut_answers_until: never,
            late_until: never,
            wakes_at: never,
        }
    }
}

pub struct Gateway {
    pub process: Process,
    pub follower: Follower<Tables>,
    pub order: Vec<usize>, // Of replicas; empty without replicas.
    pub at: usize,
    renewed: f64,
    shown: BTreeMap<String, String>,
    leased: bool,
    earlier: Option<PollResponse>,
}

pub struct ReplicaNode {
    pub process: Process,
    pub replica: Replica,
}

/// What was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    pub versions: u64,
    pub neutral: u64,
    pub looks: u64,
    pub unknown_at_force: u64,
    pub went_back: u64,
    pub untrue: u64,
    pub stale: u64,
    pub restarted: u64,
    pub fell_behind: u64,
    pub past: u64,
    pub in_force_ms: f64,
}

/// The setup of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub config: LeaseConfig,
    pub seed: u64,
    pub members: usize,
    pub replicas: usize,
    pub length_ms: f64,
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: f64,
    /// From then on nothing is lost, duplicated, or sent to a replaced leader.
    pub calm_from_ms: f64,
    /// How long a node may poll a leader that was replaced, in ms; 0 if it is drawn for each poll.
    pub late_ms: f64,
    /// Members that restart have a snapshot every other time.
    pub snapshots: bool,
    pub planted: PlantedFault,
    /// Gateways whose time to bring versions into force does not count.
    pub excused: Vec<usize>,
}

/// What a version says of a key.
type Said = (Revision, Option<Entry>);

pub struct Simulation {
    pub setup: Setup,
    pub rng: ChaCha8Rng,
    pub gateways: Vec<Gateway>,
    pub replicas: Vec<ReplicaNode>,
    pub leaders: Vec<(Primary, f64)>,
    pub history: Vec<Event>,
    pub seen: Observations,
    pub about: Vec<(String, Scope, Key)>,
    queue: BinaryHeap<Scheduled>,
    serial: u64,
    truth: BTreeMap<(Scope, Key), Vec<Said>>,
    forced: Vec<(f64, Revision)>,  // When which version came into force.
    proposed: Vec<(f64, u64)>,     // When, and its id at this leader.
    open: BTreeMap<Revision, f64>, // Versions not yet in force everywhere, and their first proposal.
}

pub fn tenant(name: &str) -> (Scope, Key) {
    let key = Key::of(name);
    (Scope::of_tenant(key), key)
}

fn member(who: Node, incarnation: u64) -> Member {
    let name = match who {
        Node::Gateway(n) => format!("g{n}"),
        Node::Replica(n) => format!("b{n}"),
    };
    Member { name, incarnation }
}

fn gateway(who: Node) -> Option<usize> {
    match who {
        Node::Gateway(n) => Some(n),
        Node::Replica(_) => None,
    }
}
