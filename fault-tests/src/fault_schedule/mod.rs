//! Fault schedules: which faults begin when and last how long, drawn from a seed or read from a TOML file.
//!
//! [`Schedule::draw`] draws one, [`play()`] injects it into a site while clients send requests. A schedule is printed as
//! TOML so that a run can be repeated.
mod draw;
mod play;

pub use play::{play, ScheduleOutcome};

use crate::error::ScheduleError;
use crate::links::LinkFaults;
use crate::site::LinkTarget;
use serde::{Deserialize, Serialize};

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// The link between a gateway and a peer is faulty.
    Link {
        /// The gateway.
        gateway: usize,
        /// The peer.
        #[serde(rename = "far")]
        target: LinkTarget,
        /// The faults of the link.
        faults: LinkFaults,
    },
    /// The gateway is killed. At the end of the step it is restarted with the endpoint list of that moment.
    Kill {
        /// The gateway.
        gateway: usize,
    },
    /// The gateway is stopped (SIGSTOP).
    Pause {
        /// The gateway.
        gateway: usize,
    },
    /// The gateway is asked to exit (SIGTERM). At the end of the step it is restarted.
    Term {
        /// The gateway.
        gateway: usize,
    },
    /// The host drains. At the end of the step it is listed as serving again.
    Drain {
        /// The host.
        host: usize,
    },
}

impl FaultAction {
    /// The gateway that is affected, if it is a single one.
    fn gateway(&self) -> Option<usize> {
        match self {
            FaultAction::Link { gateway, .. }
            | FaultAction::Kill { gateway }
            | FaultAction::Pause { gateway }
            | FaultAction::Term { gateway } => Some(*gateway),
            FaultAction::Drain { .. } => None,
        }
    }

    /// The host that is named, if any.
    fn host(&self) -> Option<usize> {
        match self {
            FaultAction::Drain { host } | FaultAction::Link { target: LinkTarget::Host(host), .. } => {
                Some(*host)
            }
            _ => None,
        }
    }
}

/// A fault, its begin and its length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it begins, in ms since the start.
    pub at_ms: u64,
    /// How long it lasts, in ms.
    pub for_ms: u64,
    /// The fault.
    #[serde(rename = "deed")]
    pub action: FaultAction,
}

/// A schedule of faults for a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// The site's gateways.
    pub gateways: usize,
    /// The site's hosts.
    pub hosts: usize,
    /// How long clients send requests, in ms.
    pub length_ms: u64,
    /// The faults, ordered by their begin.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Reads a schedule from TOML.
    ///
    /// # Errors
    /// If it is not valid; the error names line and key.
    pub fn read(text: &str) -> Result<Self, ScheduleError> {
        let schedule: Schedule = toml::from_str(text)?;
        schedule.check()?;
        Ok(schedule)
    }

    /// Checks that all gateways and hosts exist and that the steps are in order.
    ///
    /// # Errors
    /// For the first step that is not valid.
    pub fn check(&self) -> Result<(), ScheduleError> {
        let mut previous_ms = 0;
        for (step, Step { at_ms, action, .. }) in self.steps.iter().enumerate() {
            if action.gateway().is_some_and(|gateway| gateway >= self.gateways) {
                return Err(ScheduleError::UnknownGateway { step, gateways: self.gateways });
            }
            if action.host().is_some_and(|host| host >= self.hosts) {
                return Err(ScheduleError::UnknownHost { step, hosts: self.hosts });
            }
            if *at_ms < previous_ms {
                return Err(ScheduleError::OutOfOrder { step, at_ms: *at_ms, previous_ms });
            }
            previous_ms = *at_ms;
        }
        Ok(())
    }

    /// The schedule as TOML.
    ///
    /// # Errors
    /// If a number does not fit into TOML.
    pub fn print(&self) -> Result<String, ScheduleError> {
        Ok(toml::to_string(self)?)
    }
}
