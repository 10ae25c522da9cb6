//! The errors of a test run that cannot go on; violated invariants are results and not errors.
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a run could not be set up or continued.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Binding, reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A schedule in a file is not valid.
    #[error("{}: {source}", path.display())]
    ScheduleFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ScheduleError,
    },
    /// A schedule could not be printed.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// The control file of a process's fault injection could not be written.
    #[error("control: {0}")]
    FaultControl(io::Error),
    /// A process of the gateway failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The size of a site is out of range.
    #[error("a rig has 1 to 40 gateways and a host, not {gateways} and {hosts}")]
    SiteSize {
        /// The gateways that were asked for.
        gateways: usize,
        /// The hosts that were asked for.
        hosts: usize,
    },
    /// The site needs more file descriptors than this process may open.
    #[error("needs about {needed} descriptors, and may hold {limit}: raise the limit of open files")]
    DescriptorLimit {
        /// How many it needs.
        needed: usize,
        /// How many it may open.
        limit: u64,
    },
    /// A gateway did not serve through every host, so that a fault on a link might affect nothing.
    #[error("gateway {gateway} does not use every host:\n{logs}")]
    HostUnused {
        /// The gateway.
        gateway: usize,
        /// The last log lines of all gateways.
        logs: String,
    },
    /// A gateway exited unexpectedly.
    #[error("gateway {gateway} ended by itself:\n{logs}")]
    GatewayExited {
        /// The gateway.
        gateway: usize,
        /// The last log lines of all gateways.
        logs: String,
    },
    /// A gateway exited when this fault was injected, and should not have.
    #[error("the gateway ended at {fault}")]
    ExitedAtFault {
        /// The fault.
        fault: String,
    },
    /// A gateway was asked to stop and exited with an error.
    #[error("told to stop, gateway {gateway} ended with {code:?}")]
    ExitCode {
        /// The gateway.
        gateway: usize,
        /// Its exit code; `None` if it was killed.
        code: Option<i32>,
    },
    /// A soak run failed.
    #[error("seed {seed}: {source}")]
    SoakRun {
        /// The run's seed.
        seed: u64,
        /// The cause.
        source: Box<Error>,
    },
    /// A task panicked.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// A report could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// An error of a file.
    pub fn file(path: &Path, source: io::Error) -> Self {
        Error::File { path: path.into(), source }
    }
}

/// Why a process of the gateway could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// Its configuration could not be written, or its program could not be started.
    #[error("{}: {source}", path.display())]
    File {
        /// The configuration or the program.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// It has no log.
    #[error("{name}: no log")]
    NoLog {
        /// Its name.
        name: String,
    },
    /// It did not serve in time.
    #[error("{name}: is not ready within {timeout:?}")]
    NotReady {
        /// Its name.
        name: String,
        /// How long it had.
        timeout: Duration,
    },
    /// It has exited already.
    #[error("{name}: has ended")]
    Exited {
        /// Its name.
        name: String,
    },
    /// It did not exit in time.
    #[error("{name}: does not stop")]
    DoesNotExit {
        /// Its name.
        name: String,
    },
    /// It could not be signalled or awaited.
    #[error("{name}: {source}")]
    Control {
        /// Its name.
        name: String,
        /// The cause.
        source: io::Error,
    },
}

/// Why a fault schedule is not valid.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// It is not TOML of the expected form; the text names line and key.
    #[error(transparent)]
    Read(#[from] toml::de::Error),
    /// It cannot be written as TOML.
    #[error(transparent)]
    Print(#[from] toml::ser::Error),
    /// A step names a gateway that does not exist.
    #[error("steps[{step}].deed: there are {gateways} gateways, numbered from 0")]
    UnknownGateway {
        /// The step's index.
        step: usize,
        /// How many gateways there are.
        gateways: usize,
    },
    /// A step names a host that does not exist.
    #[error("steps[{step}].deed: there are {hosts} hosts, numbered from 0")]
    UnknownHost {
        /// The step's index.
        step: usize,
        /// How many hosts there are.
        hosts: usize,
    },
    /// A step begins before the one before it.
    #[error("steps[{step}].at_ms: {at_ms} comes after {previous_ms}: expected the order of time")]
    OutOfOrder {
        /// The step's index.
        step: usize,
        /// When it begins, in ms.
        at_ms: u64,
        /// When the step before it begins, in ms.
        previous_ms: u64,
    },
}
