//! The run's handle of a worker process, and the protocol between both: the run starts its own program again
//! as a worker, writes one JSON line per command to the worker's standard input, and reads one JSON line as
//! the reply from the worker's standard output.
use crate::installation::InstallationSize;
use crate::timeline::{PropagationTimes, RevisionSpan};
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

/// The part of a [`WorkerSpec`] that is the same for all workers of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSpec {
    /// The size that each worker generates the installation from.
    pub size: InstallationSize,
    /// The lease configuration, with the bytes a second that a gateway may be sent.
    #[serde(rename = "terms")]
    pub lease: LeaseConfig,
}

/// A distributor that a hollow gateway may connect to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DistributorAddress {
    /// The distributor's name.
    pub name: String,
    /// The name of the distributor's zone.
    pub zone: String,
    /// The name of the zone's region.
    pub region: String,
    /// The address that the gateway connects to: the distributor's own or that of a link.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

/// A hollow gateway: its number and location.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowGateway {
    /// The gateway's number in the fleet, counted from 0.
    pub number: usize,
    /// The name of the gateway's zone.
    pub zone: String,
    /// The name of the zone's region.
    pub region: String,
    /// Index into the lists of distributors of [`WorkerRole::Hollows`]: the distributors that the gateway may
    /// connect to.
    #[serde(rename = "list")]
    pub list_index: usize,
}

/// The role of a worker process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerRole {
    /// The origin, which starts with the generated installation.
    Origin,
    /// A distributor.
    Distributor {
        /// The distributor's name.
        name: String,
        /// The address to listen on; with port 0 the kernel chooses the port.
        listen: SocketAddr,
        /// The address of the origin, or of a link to the origin.
        origin: SocketAddr,
    },
    /// Hollow gateways.
    Hollows {
        /// Lists of distributors, which the gateways refer to by index.
        #[serde(rename = "lists")]
        distributor_lists: Vec<Vec<DistributorAddress>>,
        /// The gateways of this worker.
        gateways: Vec<HollowGateway>,
        /// Number of services and number of tenant shards that each gateway follows; `None` to follow
        /// everything.
        follow: Option<(usize, usize)>,
        /// The snapshot file that the gateways start from; `None` to start without any state.
        snapshot: Option<PathBuf>,
        /// The folder for snapshots that gateways are restarted from.
        folder: PathBuf,
    },
}

/// The first line that a worker reads: its configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The configuration that all workers of the fleet share.
    #[serde(rename = "common")]
    pub fleet: FleetSpec,
    /// The worker's role.
    pub role: WorkerRole,
}

/// A command to a worker of hollow gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Report the state of the gateways and the propagation times of these `(revision, proposed at, in us)`.
    Report(Vec<(Revision, u64)>),
    /// Restart some gateways at once.
    Restart {
        /// Restart the gateways whose number is divisible by this.
        every: usize,
        /// Whether a gateway restarts from a snapshot of its state; otherwise, a gateway restarts without any
        /// state.
        #[serde(rename = "kept")]
        from_snapshot: bool,
    },
    /// Report when each revision was acted on.
    Spans,
    /// Report the digest of each scope.
    Holdings,
    /// Report how many gateways would send new requests to this host.
    Probe(Scope, Key),
}

/// The reply of a worker to a [`WorkerSpec`] or a [`WorkerCommand`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerReply {
    /// The worker has started and listens on this address. A worker of hollow gateways doesn't listen and
    /// replies with port 0.
    #[serde(rename = "Begun")]
    Started(SocketAddr),
    /// A command without a result is done.
    Done,
    /// The state of the gateways.
    Report(Box<WorkerReport>),
    /// When each revision was acted on.
    Spans(Vec<(Revision, RevisionSpan)>),
    /// The digests of scopes, each with the number of followers that have all of the scope with this digest.
    Holdings(Vec<(Scope, Digest, u64)>),
    /// The result of a probe of a host.
    Probe {
        /// Number of gateways that follow the host's scope.
        #[serde(rename = "asked")]
        probed: u64,
        /// Number of these gateways that would still send new requests to the host.
        #[serde(rename = "still")]
        still_sending: u64,
    },
}

/// The state of the hollow gateways of one or several workers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Number of hollow gateways.
    pub followers: u64,
    /// Number of gateways that have all scopes they follow.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Number of gateways that hold a lease now.
    pub leased: u64,
    /// The lowest revision that any gateway acts on.
    #[serde(rename = "least")]
    pub min_revision: Revision,
    /// Times from the start of a gateway until all its scopes were there, for incarnations since the last
    /// restart.
    #[serde(rename = "start")]
    pub startup_times: crate::histogram::DurationHistogram,
    /// The propagation times of the revisions in the command.
    #[serde(rename = "reached")]
    pub propagation: PropagationTimes,
    /// Traffic of all gateways together since their first start.
    pub traffic: Traffic,
    /// Bytes read by the gateway that has read most.
    #[serde(rename = "most_bytes")]
    pub max_bytes_read: u64,
    /// Bytes of replicated state in all gateways together, by the gateways' own count.
    pub state_bytes: u64,
    /// How often an older revision came into force at any gateway.
    #[serde(rename = "went_back")]
    pub rollbacks: u64,
}

/// A running worker process; dropping the handle kills the process.
#[derive(Debug)]
pub struct WorkerProcess {
    /// The worker's name in messages and reports.
    pub name: String,
    /// The address that the worker listens on; port 0 for a worker of hollow gateways.
    pub address: SocketAddr,
    pid: u32,
    child: Child,
    commands: ChildStdin,
    replies: Lines<BufReader<ChildStdout>>,
}

/// The time for a worker to start, after which the run fails. A worker first generates the installation,
/// which takes long on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(90);
/// The time for a worker to reply to a command, after which the run fails.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);

impl WorkerProcess {
    /// Starts a worker, and waits until the worker has started its role.
    pub async fn start(launch: &Launch, name: &str, spec: &WorkerSpec) -> Result<WorkerProcess, String> {
        let spawn_error = |e: std::io::Error| format!("cannot start worker {name}: {e}");
        let mut command = Command::new(&launch.program);
        command.args(&launch.args).stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(spawn_error)?;
        let missing = || format!("worker {name}: no process id, standard input or standard output");
        let pid = child.id().ok_or_else(missing)?;
        let commands = child.stdin.take().ok_or_else(missing)?;
        let replies = BufReader::new(child.stdout.take().ok_or_else(missing)?).lines();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = WorkerProcess { name: name.into(), address, pid, child, commands, replies };
        match timeout(START_TIMEOUT, process.exchange(spec)).await {
            Ok(Ok(WorkerReply::Started(address))) => process.address = address,
            Ok(Ok(other)) => return Err(format!("worker {name}: replied {other:?}, expected Started")),
            Ok(Err(e)) => return Err(e),
            Err(_) => return Err(format!("worker {name}: did not start within {START_TIMEOUT:?}")),
        }
        Ok(process)
    }

    /// Writes one line and reads the reply.
    async fn exchange(&mut self, line: &impl Serialize) -> Result<WorkerReply, String> {
        let name = self.name.clone();
        let mut bytes =
            serde_json::to_vec(line).map_err(|e| format!("worker {name}: cannot encode a command: {e}"))?;
        bytes.push(b'\n');
        self.commands
            .write_all(&bytes)
            .await
            .map_err(|e| format!("worker {name}: cannot write a command: {e}"))?;
        let reply = self
            .replies
            .next_line()
            .await
            .map_err(|e| format!("worker {name}: cannot read the reply: {e}"))?;
        let reply = reply.ok_or_else(|| format!("worker {name}: closed its output, expected a reply"))?;
        serde_json::from_str(&reply).map_err(|e| format!("worker {name}: invalid reply: {e}"))
    }

    /// Sends a command, and waits for the reply.
    ///
    /// # Errors
    /// A worker that doesn't reply within 60 s, or whose reply can't be read.
    pub async fn send_command(&mut self, command: &WorkerCommand) -> Result<WorkerReply, String> {
        match timeout(REPLY_TIMEOUT, self.exchange(command)).await {
            Ok(result) => result,
            Err(_) => Err(format!("worker {}: did not reply within {REPLY_TIMEOUT:?}", self.name)),
        }
    }

    /// Returns the worker's process id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the worker's CPU time and memory; zeros if the process has exited.
    pub fn usage(&self) -> Usage {
        Usage::of(self.pid).unwrap_or_default()
    }

    /// Sends a signal to the worker.
    pub fn send_signal(&self, signal: Signal) -> Result<(), String> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid =
            pid.ok_or_else(|| format!("worker {}: has exited, expected a running process", self.name))?;
        kill_process(pid, signal).map_err(|e| format!("worker {}: cannot send a signal: {e}", self.name))
    }

    /// Kills the worker, and waits until its process has exited.
    pub async fn kill(&mut self) -> Result<(), String> {
        self.child.kill().await.map_err(|e| format!("worker {}: cannot kill the process: {e}", self.name))
    }

    /// Returns whether the worker's process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}
