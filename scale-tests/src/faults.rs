//! What befalls a fleet, by name.
use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A distributor is killed, and started anew when the fault is over.
    Kill,
    /// A distributor stands still (SIGSTOP) for a while.
    Stop,
    /// One hollow's link to its distributor: what it says does not arrive.
    CutThere,
    /// The same link: what it is told does not arrive.
    CutBack,
    /// A distributor's link to the origin: what it says does not arrive.
    DistributorCutThere,
    /// The same link: what it is told does not arrive.
    DistributorCutBack,
    /// A region's distributors do not reach the origin for a while.
    Region,
    /// All hosts of a zone are lost: one entry.
    ZoneLost,
    /// A tenth of the hollow gateways start anew at once, with nothing.
    RestartTenth,
    /// The same, with the snapshots that they kept.
    RestartTenthKept,
    /// All of them do, with nothing.
    RestartAll,
    /// One hollow reads 500 bytes a second.
    SlowReader,
    /// 100 changes in one second.
    Burst,
}

impl Fault {
    /// Every one, the gravest for the machine last.
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

    /// Its name on the command line.
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

    /// The fault of that name; an unknown one is named, with all there are.
    pub fn named(name: &str) -> Result<Fault, String> {
        Fault::ALL.into_iter().find(|f| f.name() == name).ok_or_else(|| {
            let known: Vec<_> = Fault::ALL.iter().map(|f| f.name()).collect();
            format!("--fault {name}: expected all or one of {}", known.join(", "))
        })
    }

    /// How long it lasts, in s.
    pub fn lasts_s(self) -> f64 {
        match self {
            Fault::Region => 10.0,
            Fault::ZoneLost | Fault::Burst => 1.0,
            Fault::RestartTenth | Fault::RestartTenthKept | Fault::RestartAll => 1.0,
            _ => 5.0,
        }
    }
}
