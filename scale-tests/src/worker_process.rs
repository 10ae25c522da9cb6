//! A process of a fleet, as the run sees it: started by this very program, told what to do by lines on its standard input,
//! answering each with a line on its standard output.
use crate::installation::Size;
use crate::timeline::{Reached, Span};
use crate::traffic::Traffic;
use crate::usage::Usage;
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use ternstack_fault_tests::process::Launch;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::{Digest, Key, Revision, Scope};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

/// What all parts of a fleet are told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Common {
    /// The installation.
    pub size: Size,
    /// The leases' terms, with the bytes that a gateway may be sent.
    pub terms: LeaseConfig,
}

/// A distributor, as a follower is told of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineAt {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// Where to call it.
    pub at: SocketAddr,
}

/// A hollow gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hollow {
    /// Its number.
    pub number: usize,
    /// Its zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// The distributors that it may call: an index into the process' lists.
    pub list: usize,
}

/// What a process is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// The origin, with the installation as drawn.
    Origin,
    /// A distributor.
    Distributor {
        /// Its name.
        name: String,
        /// Where it listens; port 0 lets the kernel choose.
        listen: SocketAddr,
        /// Whom it asks.
        origin: SocketAddr,
    },
    /// Hollow gateways.
    Hollows {
        /// Lists of distributors.
        lists: Vec<Vec<MachineAt>>,
        /// The gateways.
        gateways: Vec<Hollow>,
        /// How many services and shards of tenants each follows; `None` for everything.
        follow: Option<(usize, usize)>,
        /// The snapshot that they begin with, if any.
        snapshot: Option<PathBuf>,
        /// Where they may keep what they have.
        folder: PathBuf,
    },
}

/// The first line that a process is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// What all are told.
    pub common: Common,
    /// What it is.
    pub role: Role,
}

/// What hollow gateways are told to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Order {
    /// Tell how it is, and of these versions, with the time of their proposal in us.
    Report(Vec<(Revision, u64)>),
    /// Start some anew.
    Restart {
        /// Of so many, one.
        every: usize,
        /// With what it had, as a snapshot; else with nothing.
        kept: bool,
    },
    /// Tell from when to when each version was acted on.
    Spans,
    /// Tell what each scope sums up to.
    Holdings,
    /// Tell how many give this host new work.
    Probe(Scope, Key),
}

/// What a process tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Told {
    /// It listens there, or (hollow gateways, at no port) has begun.
    Begun(SocketAddr),
    /// An order that has nothing to tell is done.
    Done,
    /// How it is.
    Report(Box<Report>),
    /// From when to when each version was acted on.
    Spans(Vec<(Revision, Span)>),
    /// What scopes sum up to, with how many hold it so; only of followers that have them whole.
    Holdings(Vec<(Scope, Digest, u64)>),
    /// How many were asked, and how many of them give the host new work.
    Probe {
        /// Those that follow its scope.
        asked: u64,
        /// Those that give it work.
        still: u64,
    },
}

/// How it is in a process of hollow gateways.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Hollow gateways.
    pub followers: u64,
    /// Those that have all they want whole.
    pub whole: u64,
    /// Those that hold a lease now.
    pub leased: u64,
    /// The least version in force at any.
    pub least: Revision,
    /// Times from the begin of a life until all was whole, over the lives since the last restart.
    pub start: crate::histogram::Times,
    /// The versions asked about.
    pub reached: Reached,
    /// Messages and bytes since their start, of all together.
    pub traffic: Traffic,
    /// Bytes that the one has been sent that has been sent most.
    pub most_bytes: u64,
    /// Bytes of state that all keep, as they reckon them.
    pub state_bytes: u64,
    /// How often an older version than before came into force at one.
    pub went_back: u64,
}

/// A process, and its end of the talk.
#[derive(Debug)]
pub struct Part {
    /// What it is called in reports.
    pub name: String,
    /// Where it listens, if it does.
    pub at: SocketAddr,
    pid: u32,
    child: Child,
    orders: ChildStdin,
    answers: Lines<BufReader<ChildStdout>>,
}

/// A process has begun within this, or the run is void: it draws the installation first, on a busy machine.
const BEGUN_WITHIN: Duration = Duration::from_secs(90);
/// An order is answered within this.
const ANSWERED_WITHIN: Duration = Duration::from_secs(60);

impl Part {
    /// Starts a process, and waits until it has begun.
    pub async fn start(launch: &Launch, name: &str, spec: &Spec) -> Result<Part, String> {
        let problem = |e: std::io::Error| format!("{name}: {e}");
        let mut command = Command::new(&launch.program);
        command.args(&launch.args).stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(problem)?;
        let missing = || format!("{name}: no pipe to it");
        let pid = child.id().ok_or_else(missing)?;
        let orders = child.stdin.take().ok_or_else(missing)?;
        let answers = BufReader::new(child.stdout.take().ok_or_else(missing)?).lines();
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut part = Part { name: name.into(), at, pid, child, orders, answers };
        match timeout(BEGUN_WITHIN, part.tell(spec)).await {
            Ok(Ok(Told::Begun(at))) => part.at = at,
            Ok(Ok(other)) => return Err(format!("{name}: told {other:?}, expected that it has begun")),
            Ok(Err(e)) => return Err(e),
            Err(_) => return Err(format!("{name}: has not begun within {BEGUN_WITHIN:?}")),
        }
        Ok(part)
    }

    async fn tell(&mut self, what: &impl Serialize) -> Result<Told, String> {
        let name = self.name.clone();
        let mut line = serde_json::to_vec(what).map_err(|e| format!("{name}: {e}"))?;
        line.push(b'\n');
        self.orders.write_all(&line).await.map_err(|e| format!("{name}: {e}"))?;
        let answer = self.answers.next_line().await.map_err(|e| format!("{name}: {e}"))?;
        let answer = answer.ok_or_else(|| format!("{name}: ended"))?;
        serde_json::from_str(&answer).map_err(|e| format!("{name}: told what is no answer: {e}"))
    }

    /// Gives an order, and waits for its answer.
    pub async fn order(&mut self, order: &Order) -> Result<Told, String> {
        match timeout(ANSWERED_WITHIN, self.tell(order)).await {
            Ok(answer) => answer,
            Err(_) => Err(format!("{}: did not answer within {ANSWERED_WITHIN:?}", self.name)),
        }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// What it has taken.
    pub fn usage(&self) -> Usage {
        Usage::of(self.pid).unwrap_or_default()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| format!("{}: has ended", self.name))?;
        kill_process(pid, signal).map_err(|e| format!("{}: {e}", self.name))
    }

    /// Kills it, and waits for its end.
    pub async fn kill(&mut self) -> Result<(), String> {
        self.child.kill().await.map_err(|e| format!("{}: {e}", self.name))
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}
