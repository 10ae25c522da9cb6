//! A fleet in virtual time: an origin whose consensus is an oracle (one order, one leader at a time, who learns of its
//! replacement only when it asks for confirmation), machines between, members, and everything that can befall them.
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

mod judge;
mod world;

/// What is planted: somebody who does wrong.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Planted {
    Nothing,
    /// A member acts on although its lease has run out.
    IgnoresLease,
    /// The leader skips the first step.
    SkipsFirstStep,
    /// A new leader does not wait for the leases of the one before.
    TakesOverAtOnce,
    /// The leader does not wait for who is still on the version before.
    Hurries,
    /// A leader that was replaced goes on granting.
    Unconfirmed,
    /// A machine between hands on leases that are longer than its own.
    HandsOnLonger,
    /// A machine between says what it knows itself, and not what its followers do.
    SpeaksForItself,
    /// A machine between goes on granting after its own lease is over.
    OutlivesLease,
    /// A follower takes the answer to an earlier ask for that to its last.
    TakesEarlier,
    /// Removed entries are left out of pieces.
    SkipsTombstones,
    /// Versions to come that were known before are left out for a scope that is whole only now.
    SkipsPending,
}

/// Who can do or suffer something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Gateway(usize),
    Between(usize),
}

/// Which way a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Both,
    Asks,
    Answers,
}

/// A message on its way, or a moment of somebody.
#[derive(Clone, Debug)]
pub enum Moment {
    Asks(Who),
    PollRequest(usize, u64, PollRequest), // To the leader of that reign.
    AskBetween(usize, u64, PollRequest),  // To that life of a machine between.
    PollResponse(Who, u64, u64, PollResponse), // To that life; with the sender's life.
    Propose(Vec<Vec<Change>>),
    Reign,
    Pause(Who, f64),
    Restart(Who, f64), // Back after so long.
    Cut(Who, Way, f64),
    Move(usize),
    Want(usize, Scope, bool),
    Look,
}

struct Due(f64, u64, Moment);
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// A process: its life, clock, and what befell it.
#[derive(Clone, Debug)]
pub struct Process {
    pub life: u64,
    pub rate: f64, // Of its clock.
    pub asleep_until: f64,
    pub down_until: f64,
    pub cut_asks_until: f64,
    pub cut_answers_until: f64,
    late_until: f64, // It asks the leader before.
    wakes_at: f64,   // To ask.
}

impl Process {
    fn new(rate: f64) -> Self {
        let never = 0.0;
        Process {
            life: 0,
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
    pub order: Vec<usize>, // Of machines between; empty where there are none.
    pub at: usize,
    renewed: f64,
    shown: BTreeMap<String, String>,
    leased: bool,
    earlier: Option<PollResponse>,
}

pub struct Between {
    pub process: Process,
    pub machine: Replica,
}

/// What was seen of a play.
#[derive(Debug, Default)]
pub struct Seen {
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

/// What a play is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub terms: LeaseConfig,
    pub seed: u64,
    pub members: usize,
    pub between: usize,
    pub length_ms: f64,
    pub loss: f64,
    pub doubled: f64,
    pub delay_ms: f64,
    /// From then on nothing is lost, doubled, or sent to a leader of the past.
    pub calm_from_ms: f64,
    /// How long somebody may go on asking a leader that was replaced; 0 where it is a matter of each ask.
    pub late_ms: f64,
    /// Members that restart have a snapshot every other time.
    pub snapshots: bool,
    pub planted: Planted,
    /// Gateways whose time to bring versions into force does not count.
    pub excused: Vec<usize>,
}

/// What a version says of a key.
type Said = (Revision, Option<Entry>);

pub struct World {
    pub setup: Setup,
    pub rng: ChaCha8Rng,
    pub gateways: Vec<Gateway>,
    pub between: Vec<Between>,
    pub reigns: Vec<(Primary, f64)>,
    pub history: Vec<Event>,
    pub seen: Seen,
    pub about: Vec<(String, Scope, Key)>,
    queue: BinaryHeap<Due>,
    serial: u64,
    truth: BTreeMap<(Scope, Key), Vec<Said>>,
    forced: Vec<(f64, Revision)>,  // When which version came into force.
    proposed: Vec<(f64, u64)>,     // When, and its number in this reign.
    open: BTreeMap<Revision, f64>, // Versions not yet in force everywhere, and their first proposal.
}

pub fn tenant(name: &str) -> (Scope, Key) {
    let key = Key::of(name);
    (Scope::of_tenant(key), key)
}

fn member(who: Who, life: u64) -> Member {
    let name = match who {
        Who::Gateway(n) => format!("g{n}"),
        Who::Between(n) => format!("b{n}"),
    };
    Member { name, incarnation: life }
}

fn gateway(who: Who) -> Option<usize> {
    match who {
        Who::Gateway(n) => Some(n),
        Who::Between(_) => None,
    }
}
