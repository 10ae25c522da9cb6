//! A simulated fleet in virtual time: a primary, replicas, gateways, and their faults. The consensus is an
//! oracle: there is one order of revisions and one leader at a time, and a replaced leader detects the
//! replacement only when the oracle does not confirm the leadership.
#![allow(dead_code)] // Each test file uses only a part of this module.
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

/// A fault that a test injects into a node so that the checks have to detect the fault.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fault {
    /// No fault is injected.
    None,
    /// A gateway acts on its entries although its lease has expired.
    IgnoresLease,
    /// The leader brings a revision into force before all lease holders know the revision.
    SkipsFirstStep,
    /// A new leader does not wait until the leases of the previous leader have expired.
    LeadsEarly,
    /// The leader does not wait for lease holders that still act on the previous revision.
    ActivatesEarly,
    /// A replaced leader continues to grant leases, because its leadership is confirmed regardless.
    GrantsUnconfirmed,
    /// A replica grants leases that are longer than its own lease.
    GrantsLongerLease,
    /// A replica reports its own progress instead of the lowest progress among itself and its followers.
    ReportsOwnProgress,
    /// A replica continues to grant leases after its own lease has expired.
    GrantsUnleased,
    /// A gateway accepts the response to an earlier poll as the response to its last poll.
    AcceptsEarlierResponse,
    /// Tombstones are left out of chunks.
    SkipsTombstones,
    /// Pending revisions that the follower knows already are left out for a scope that the response completes.
    SkipsPending,
}

/// A process of the fleet that may fail, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    Gateway(usize),
    Replica(usize),
}

/// The direction in which a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    Both,
    Requests,
    Responses,
}

/// An event of the simulation: a message arrives, a timer fires, or a fault happens.
#[derive(Clone, Debug)]
pub enum SimEvent {
    /// The next poll of a node may be due.
    PollDue(Node),
    /// A poll arrives at the leader of this index, in the order of leadership.
    PollAtPrimary(usize, u64, PollRequest),
    /// A poll arrives at the replica of this index, addressed to this incarnation.
    PollAtReplica(usize, u64, PollRequest),
    /// A response arrives at a node, addressed to this incarnation; the second number is the incarnation of
    /// its lessor.
    Response(Node, u64, u64, PollResponse),
    /// The current leader receives these proposals.
    Propose(Vec<Vec<Change>>),
    /// Another leader replaces the current one.
    NewLeader,
    /// A node is suspended for this many ms.
    Pause(Node, f64),
    /// A node restarts, and is down for this many ms.
    Restart(Node, f64),
    /// The link from a node to its lessor is cut for this many ms.
    Cut(Node, CutDirection, f64),
    /// A gateway moves to the next replica in its order.
    Reconnect(usize),
    /// A gateway subscribes to a scope if the flag is true, and unsubscribes otherwise.
    Subscribe(usize, Scope, bool),
    /// The invariants are checked.
    Check,
}

/// An event with its time in ms and its serial number; the earliest event comes first in a [`BinaryHeap`].
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

/// A process: its incarnation, clock, and faults. Times are in ms of true time.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: u64,
    /// How fast the process's clock runs in relation to true time.
    pub clock_rate: f64,
    pub paused_until: f64,
    pub down_until: f64,
    pub requests_cut_until: f64,
    pub responses_cut_until: f64,
    /// The time until which the process polls the previous leader.
    polls_old_leader_until: f64,
    /// When the process next checks whether a poll is due.
    next_poll_check_at: f64,
}

impl Process {
    fn new(clock_rate: f64) -> Self {
        let never = 0.0;
        Process {
            incarnation: 0,
            clock_rate,
            paused_until: never,
            down_until: never,
            requests_cut_until: never,
            responses_cut_until: never,
            polls_old_leader_until: never,
            next_poll_check_at: never,
        }
    }
}

pub struct Gateway {
    pub process: Process,
    pub follower: Follower<Tables>,
    /// The indices of replicas in the order in which the gateway prefers them; empty without replicas.
    pub replica_order: Vec<usize>,
    /// The index in `replica_order` of the replica that the gateway polls.
    pub position: usize,
    /// When the gateway last got a lease or moved to another replica, in ms of its own clock.
    last_renewal_at: f64,
    /// The rules that the gateway acted on at the last check, by subject.
    applied_rules: BTreeMap<String, String>,
    /// Whether the gateway held a lease at the last check.
    leased: bool,
    /// The last response, which [`Fault::AcceptsEarlierResponse`] applies again.
    earlier_response: Option<PollResponse>,
}

pub struct ReplicaNode {
    pub process: Process,
    pub replica: Replica,
}

/// Counters and times that a run has observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// The last revision that came into force.
    pub revisions: u64,
    /// Checks at which a gateway did not act on a revision in force for the first watched subject.
    pub conservative_checks: u64,
    /// Checks of running gateways.
    pub checks: u64,
    /// Lease holders that did not know a revision when the revision came into force.
    pub unknown_at_activation: u64,
    /// Responses after which a gateway knew, or acted on, an older revision than before.
    pub regressions: u64,
    /// Entries that a gateway acted on and that differ from the entries of its revision.
    pub wrong_entries: u64,
    /// Lease holders that acted on a revision that was replaced longer ago than conflicts may last.
    pub stale_leases: u64,
    /// Scopes that were restarted, because their digest differed.
    pub restarted_scopes: u64,
    /// Scopes that became stale.
    pub stale_scopes: u64,
    /// Responses that were rejected as outdated.
    pub outdated_responses: u64,
    /// The longest time from a proposal until its revision was in force at all gateways, in ms.
    pub longest_activation_ms: f64,
}

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub config: LeaseConfig,
    pub seed: u64,
    /// The number of gateways.
    pub members: usize,
    pub replicas: usize,
    /// The duration of the run, in ms of virtual time.
    pub duration_ms: f64,
    /// The probability with which a message is lost.
    pub loss_probability: f64,
    /// The probability with which a response is duplicated.
    pub duplicate_probability: f64,
    /// The longest delay of a message, in ms.
    pub max_delay_ms: f64,
    /// From this time on, in ms, no message is lost, duplicated, or sent to a replaced leader.
    pub faults_end_ms: f64,
    /// The longest time for which a node may poll a replaced leader, in ms; if 0, chance decides for each poll.
    pub max_old_leader_ms: f64,
    /// Whether a gateway restarts from a snapshot with a probability of one half.
    pub snapshots: bool,
    pub fault: Fault,
    /// Gateways that are not counted in the time until a revision is in force everywhere.
    pub excluded_gateways: Vec<usize>,
}

/// A value that a revision gives to a key.
type RevisedValue = (Revision, Option<Entry>);

/// A simulated fleet. Times are in ms of true time.
pub struct Simulation {
    pub setup: Setup,
    pub rng: ChaCha8Rng,
    pub gateways: Vec<Gateway>,
    pub replicas: Vec<ReplicaNode>,
    /// All leaders in the order of their leadership, each with the speed of its clock in relation to true time.
    pub leaders: Vec<(Primary, f64)>,
    pub history: Vec<Event>,
    pub observations: Observations,
    /// The entries that are watched: the name of the subject, its scope and its key.
    pub watched: Vec<(String, Scope, Key)>,
    queue: BinaryHeap<Scheduled>,
    /// The serial number of the last scheduled event.
    last_serial: u64,
    /// The values of each key, by the revision that set them.
    values: BTreeMap<(Scope, Key), Vec<RevisedValue>>,
    /// The time at which each revision came into force.
    activations: Vec<(f64, Revision)>,
    /// When each proposal was made that is not part of a revision yet, with the proposal's id at the current
    /// leader.
    open_proposals: Vec<(f64, u64)>,
    /// Revisions that are not yet in force at all gateways, with the time of the first proposal of each.
    activating: BTreeMap<Revision, f64>,
}

pub fn tenant(name: &str) -> (Scope, Key) {
    let key = Key::of(name);
    (Scope::of_tenant(key), key)
}

fn member(node: Node, incarnation: u64) -> Member {
    let name = match node {
        Node::Gateway(n) => format!("g{n}"),
        Node::Replica(n) => format!("b{n}"),
    };
    Member { name, incarnation }
}

fn gateway_index(node: Node) -> Option<usize> {
    match node {
        Node::Gateway(n) => Some(n),
        Node::Replica(_) => None,
    }
}
