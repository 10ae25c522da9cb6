//! The fault matrix: injects one fault after another on each path, while clients send requests through the
//! faulty gateway and through one without a fault.
//!
//! [`cases()`] lists the faults, [`play_all`] injects each fault into a site and checks the invariants,
//! [`table()`] formats the results.
mod cases;
mod play;
mod table;

pub use cases::cases;
pub use play::{play, play_all};
pub use table::table;

use crate::invariants::{Invariant, Violation};
use crate::links::LinkFaults;
use crate::site::LinkTarget;

/// The path that is faulty. All paths are those of gateway 0, because gateway 1 has no fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// From clients to the gateway.
    Clients,
    /// From the gateway to one of its hosts.
    Host,
    /// From the gateway to all its hosts.
    Hosts,
    /// From the gateway to discovery, while a host drains.
    Discovery,
}

impl Path {
    fn link_target(self) -> LinkTarget {
        match self {
            Path::Clients => LinkTarget::Clients,
            Path::Host => LinkTarget::Host(0),
            Path::Hosts => LinkTarget::Hosts,
            Path::Discovery => LinkTarget::Discovery,
        }
    }
}

/// A fault of the process of gateway 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// The process is killed (SIGKILL) and restarted.
    Kill,
    /// The process is stopped (SIGSTOP) until its clients have timed out.
    Pause,
    /// The process is asked to exit (SIGTERM) and restarted.
    Term,
    /// The process is asked to reload an unchanged configuration (SIGHUP).
    Hangup,
    /// The process is asked to reload a configuration that is not valid (SIGHUP).
    BadHangup,
}

/// A case of the fault matrix.
#[derive(Clone, Debug)]
pub enum Case {
    /// A path is faulty.
    Link {
        /// Path that is faulty.
        path: Path,
        /// Side that is affected: `new` for new connections, `request`, `reply` or `both`.
        side: &'static str,
        /// Name of the fault in the table.
        fault_name: String,
        /// Faults of the path's links.
        faults: Box<LinkFaults>,
    },
    /// The process of gateway 0 has a fault.
    Process(ProcessFault),
}

/// The result of a case of the fault matrix.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// Name of the case: path, side and fault.
    pub name: String,
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of complete responses that clients received.
    pub responses: usize,
    /// Number of responses with status 200.
    pub served: usize,
    /// Number of connections and chunks that the fault affected; `None` for faults of the process.
    pub hit_count: Option<u64>,
    /// Whether each gateway forwarded requests to every host again after the fault had ended.
    pub recovered: bool,
    /// Violations of invariants, ordered by time.
    pub violations: Vec<Violation>,
}

impl CaseResult {
    /// Returns how often an invariant was violated.
    pub fn count(&self, invariant: Invariant) -> usize {
        self.violations.iter().filter(|violation| violation.invariant == invariant).count()
    }

    /// Returns whether the fault affected a connection or chunk, no invariant was violated and the site
    /// recovered. A fault of the process always counts as effective.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.recovered && self.hit_count != Some(0)
    }
}
