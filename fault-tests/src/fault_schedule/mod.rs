//! Fault schedules: lists of faults with their begin and length, drawn from a seed or read from a TOML file.
//!
//! [`Schedule::draw`] draws a schedule, and [`play()`] injects its faults into a site while clients send
//! requests. A schedule is printed as TOML so that a run can be repeated.
mod draw;
mod play;

pub use play::{play, ScheduleOutcome};

use crate::error::ScheduleError;
use crate::links::LinkFaults;
use crate::site::LinkTarget;
use serde::{Deserialize, Serialize};

/// A fault that a step of a schedule injects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// The link between a gateway and a peer is faulty.
    Link {
        /// Index of the gateway.
        gateway: usize,
        /// Peer at the other end of the link.
        #[serde(rename = "far")]
        target: LinkTarget,
        /// Faults of the link.
        faults: LinkFaults,
    },
    /// The gateway is killed. At the end of the step it is restarted with the endpoint list of that moment.
    Kill {
        /// Index of the gateway.
        gateway: usize,
    },
    /// The gateway is stopped (SIGSTOP). At the end of the step its process continues.
    Pause {
        /// Index of the gateway.
        gateway: usize,
    },
    /// The gateway is asked to exit (SIGTERM). At the end of the step it is restarted.
    Term {
        /// Index of the gateway.
        gateway: usize,
    },
    /// The host drains. At the end of the step it is listed as serving again.
    Drain {
        /// Index of the host.
        host: usize,
    },
}

impl FaultAction {
    /// Returns the gateway that is affected, or `None` if the fault affects a host.
    fn gateway(&self) -> Option<usize> {
        match self {
            FaultAction::Link { gateway, .. }
            | FaultAction::Kill { gateway }
            | FaultAction::Pause { gateway }
            | FaultAction::Term { gateway } => Some(*gateway),
            FaultAction::Drain { .. } => None,
        }
    }

    /// Returns the host that the fault names, if any.
    fn host(&self) -> Option<usize> {
        match self {
            FaultAction::Drain { host } | FaultAction::Link { target: LinkTarget::Host(host), .. } => {
                Some(*host)
            }
            _ => None,
        }
    }
}

/// A step of a schedule: a fault with its begin and its length.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Begin of the fault, in ms since the start of the schedule.
    pub at_ms: u64,
    /// Length of the fault, in ms.
    pub for_ms: u64,
    /// Fault that is injected.
    #[serde(rename = "deed")]
    pub action: FaultAction,
}

/// A schedule of faults for a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of gateways of the site.
    pub gateways: usize,
    /// Number of hosts of the site.
    pub hosts: usize,
    /// Time during which clients send requests, in ms.
    pub length_ms: u64,
    /// Steps, ordered by their begin.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Parses a schedule from TOML and checks it.
    ///
    /// # Errors
    /// Returns an error if the text is not a valid schedule. The error names the line, or the step and its
    /// key.
    pub fn read(text: &str) -> Result<Self, ScheduleError> {
        let schedule: Schedule = toml::from_str(text)?;
        schedule.check()?;
        Ok(schedule)
    }

    /// Checks that all gateways and hosts that steps name exist and that the steps are ordered by their
    /// begin.
    ///
    /// # Errors
    /// Returns an error for the first step that is not valid.
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

    /// Returns the schedule as TOML.
    ///
    /// # Errors
    /// Returns an error if a number is out of TOML's range.
    pub fn print(&self) -> Result<String, ScheduleError> {
        Ok(toml::to_string(self)?)
    }
}
