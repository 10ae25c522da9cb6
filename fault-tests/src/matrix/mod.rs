//! The fault matrix: one fault after another on each path, with requests that meet it and others that do not.
//!
//! [`cases`] lists the faults, [`play_all`] injects each into a site and judges it, [`table`] prints the result.
mod cases;
mod play;
mod table;

pub use cases::cases;
pub use play::{play, play_all};
pub use table::table;

use crate::invariants::{Invariant, Violation};
use crate::links::LinkFaults;
use crate::site::LinkTarget;

/// The path that is faulty, always of gateway 0; gateway 1 has no fault.
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

/// A fault of the gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is killed and restarted.
    Kill,
    /// It is stopped for a while.
    Pause,
    /// It is asked to exit, and restarted.
    Term,
    /// It is asked to reload its configuration.
    Hangup,
    /// It is asked to reload a configuration that is not valid.
    BadHangup,
}

/// A case of the matrix.
#[derive(Clone, Debug)]
pub enum Case {
    /// A faulty path.
    Link {
        /// The path.
        path: Path,
        /// The side that is affected: `new` connections, `request`, `reply` or `both`.
        side: &'static str,
        /// The name of the fault.
        fault_name: String,
        /// The faults of the path's links.
        faults: Box<LinkFaults>,
    },
    /// A fault of the gateway's process.
    Process(ProcessFault),
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// Path, side and fault.
    pub name: String,
    /// How many requests were sent.
    pub requests: usize,
    /// How many complete responses clients received.
    pub responses: usize,
    /// How many of them had status 200.
    pub served: usize,
    /// How many connections and chunks the fault affected; `None` for faults of the process.
    pub hit_count: Option<u64>,
    /// Whether afterwards every host served through each gateway.
    pub recovered: bool,
    /// The violated invariants.
    pub violations: Vec<Violation>,
}

impl CaseResult {
    /// How often an invariant was violated.
    pub fn count(&self, invariant: Invariant) -> usize {
        self.violations.iter().filter(|violation| violation.invariant == invariant).count()
    }

    /// Whether the fault affected something, no invariant was violated and the site recovered.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.recovered && self.hit_count != Some(0)
    }
}
