//! The faults that a run injects, by name.
use serde::{Deserialize, Serialize};

/// A fault injected into a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Kills a distributor, and restarts the distributor when the fault ends.
    Kill,
    /// Stops a distributor with SIGSTOP, and resumes the distributor when the fault ends.
    Stop,
    /// Stalls the link between the first hollow gateway and its distributor: the gateway's messages don't
    /// arrive.
    CutThere,
    /// Stalls the link between the first hollow gateway and its distributor: the distributor's messages don't
    /// arrive.
    CutBack,
    /// Stalls the link between a distributor and the origin: the distributor's messages don't arrive.
    DistributorCutThere,
    /// Stalls the link between a distributor and the origin: the origin's messages don't arrive.
    DistributorCutBack,
    /// Cuts the links from all distributors of one region to the origin.
    Region,
    /// Marks a zone as lost with one entry, so that gateways stop using the zone's hosts.
    ZoneLost,
    /// Restarts a tenth of the hollow gateways at once, without any state.
    RestartTenth,
    /// Restarts a tenth of the hollow gateways at once, each with a snapshot of its state.
    RestartTenthKept,
    /// Restarts all hollow gateways at once, without any state.
    RestartAll,
    /// Limits the first hollow gateway to reading 500 bytes a second.
    SlowReader,
    /// Proposes 100 changes of configuration within one second.
    Burst,
}

impl Fault {
    /// All faults; those that load the machine most come last.
    pub const ALL: [Fault; 13] = [
        Fault::Kill,
        Fault::Stop,
        Fault::CutThere,
        Fault::CutBack,
        Fault::DistributorCutThere,
        Fault::DistributorCutBack,
        Fault::Region,
        Fault::ZoneLost,
        Fault::SlowReader,
        Fault::Burst,
        Fault::RestartTenth,
        Fault::RestartTenthKept,
        Fault::RestartAll,
    ];

    /// Returns the fault's name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Fault::Kill => "kill",
            Fault::Stop => "stop",
            Fault::CutThere => "cut-there",
            Fault::CutBack => "cut-back",
            Fault::DistributorCutThere => "distributor-cut-there",
            Fault::DistributorCutBack => "distributor-cut-back",
            Fault::Region => "region",
            Fault::ZoneLost => "zone-lost",
            Fault::RestartTenth => "restart-tenth",
            Fault::RestartTenthKept => "restart-tenth-kept",
            Fault::RestartAll => "restart-all",
            Fault::SlowReader => "slow-reader",
            Fault::Burst => "burst",
        }
    }

    /// Returns the fault with the given command-line name.
    ///
    /// # Errors
    /// An unknown name; the message lists the known ones.
    pub fn from_name(name: &str) -> Result<Fault, String> {
        Fault::ALL.into_iter().find(|f| f.name() == name).ok_or_else(|| {
            let known: Vec<_> = Fault::ALL.iter().map(|f| f.name()).collect();
            format!("--fault {name}: expected all or one of {}", known.join(", "))
        })
    }

    /// Returns how long the fault lasts, in s.
    pub fn duration_s(self) -> f64 {
        match self {
            Fault::Region => 10.0,
            Fault::ZoneLost | Fault::Burst => 1.0,
            Fault::RestartTenth | Fault::RestartTenthKept | Fault::RestartAll => 1.0,
            _ => 5.0,
        }
    }
}
