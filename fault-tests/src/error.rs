//! Errors that stop a test run. A violated invariant is a result of a run and not an error.
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An error that prevents a run from being set up or continued.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, a directory or a resource limit of the test program could not be used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// A file does not contain a valid fault schedule.
    #[error("invalid fault schedule {}: {source}", path.display())]
    ScheduleFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: ScheduleError,
    },
    /// A fault schedule could not be written as TOML.
    #[error(transparent)]
    Schedule(#[from] ScheduleError),
    /// The control file that selects the faults of a process could not be written.
    #[error("cannot write the fault control file: {0}")]
    FaultControl(io::Error),
    /// A gateway process could not be started or controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The number of gateways or hosts of a site is out of range.
    #[error("a site needs 1 to 40 gateways and at least 1 host, got {gateways} gateways and {hosts} hosts")]
    SiteSize {
        /// Number of gateways in the site's configuration.
        gateways: usize,
        /// Number of hosts in the site's configuration.
        hosts: usize,
    },
    /// The site needs more file descriptors than this process may open.
    #[error(
        "the site needs about {needed} file descriptors, and at most {limit} may be open: raise the limit"
    )]
    DescriptorLimit {
        /// Estimate of the file descriptors that the site needs.
        needed: usize,
        /// Soft limit of open files of this process.
        limit: u64,
    },
    /// A gateway did not forward requests to every host, so that a fault on a link might affect no request.
    #[error("gateway {gateway} did not forward requests to every host; logs of all gateways:\n{logs}")]
    HostUnused {
        /// Index of the gateway.
        gateway: usize,
        /// The last log lines of all gateways.
        logs: String,
    },
    /// A gateway process exited although no fault had stopped it.
    #[error("gateway {gateway} exited unexpectedly; logs of all gateways:\n{logs}")]
    GatewayExited {
        /// Index of the gateway.
        gateway: usize,
        /// The last log lines of all gateways.
        logs: String,
    },
    /// A gateway was not running after a fault that it should have survived or after its restart.
    #[error("gateway 0 exited at fault {fault}, expected it to keep running")]
    ExitedAtFault {
        /// Name of the fault.
        fault: String,
    },
    /// A gateway exited with an error after SIGTERM.
    #[error("gateway {gateway} exited with code {code:?} after SIGTERM, expected 0")]
    ExitCode {
        /// Index of the gateway.
        gateway: usize,
        /// Exit code of the process; `None` if a signal killed it.
        code: Option<i32>,
    },
    /// A soak run could not be continued.
    #[error("soak run with seed {seed}: {source}")]
    SoakRun {
        /// Seed of the run.
        seed: u64,
        /// Cause of the failure.
        source: Box<Error>,
    },
    /// A task of the test program panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// A soak report could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// Returns the error for a file at `path` that could not be read.
    pub fn file(path: &Path, source: io::Error) -> Self {
        Error::File { path: path.into(), source }
    }
}

/// An error of a gateway process that could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The configuration file could not be written, or the program could not be started.
    #[error("cannot write or start {}: {source}", path.display())]
    File {
        /// Path of the configuration file or of the program.
        path: PathBuf,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The process has no stderr pipe, so that its log cannot be read.
    #[error("{name}: the process has no stderr pipe for its log")]
    NoLog {
        /// Name of the gateway.
        name: String,
    },
    /// The process did not log its listen address in time.
    #[error("{name}: the process did not log its listen address within {timeout:?}")]
    NotReady {
        /// Name of the gateway.
        name: String,
        /// Time that the process had to start.
        timeout: Duration,
    },
    /// The process has already exited and cannot be signalled.
    #[error("{name}: the process has already exited")]
    Exited {
        /// Name of the gateway.
        name: String,
    },
    /// The process did not exit in time.
    #[error("{name}: the process did not exit in time")]
    DoesNotExit {
        /// Name of the gateway.
        name: String,
    },
    /// The operating system rejected a signal to the process or the wait for its exit.
    #[error("{name}: cannot signal or await the process: {source}")]
    Control {
        /// Name of the gateway.
        name: String,
        /// Cause of the failure.
        source: io::Error,
    },
}

/// An error of a fault schedule that is not valid or cannot be printed.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not a schedule in TOML; the parser's message names the line and the key.
    #[error(transparent)]
    Read(#[from] toml::de::Error),
    /// The schedule cannot be written as TOML, because a number is out of TOML's range.
    #[error(transparent)]
    Print(#[from] toml::ser::Error),
    /// A step names a gateway that the site does not have.
    #[error("steps[{step}].deed: unknown gateway: the site has {gateways} gateways, numbered from 0")]
    UnknownGateway {
        /// Index of the step, from 0.
        step: usize,
        /// Number of gateways of the site.
        gateways: usize,
    },
    /// A step names a host that the site does not have.
    #[error("steps[{step}].deed: unknown host: the site has {hosts} hosts, numbered from 0")]
    UnknownHost {
        /// Index of the step, from 0.
        step: usize,
        /// Number of hosts of the site.
        hosts: usize,
    },
    /// A step begins before the previous step.
    #[error(
        "steps[{step}].at_ms: {at_ms} ms is before the previous {previous_ms} ms, expected ascending times"
    )]
    OutOfOrder {
        /// Index of the step, from 0.
        step: usize,
        /// Begin of the step, in ms since the start of the schedule.
        at_ms: u64,
        /// Begin of the previous step, in ms since the start of the schedule.
        previous_ms: u64,
    },
}
