//! Checks the history of a soak run and excuses the violations that the injected faults cause.
use super::clients::MAX_PIPELINED_REQUESTS;
use super::faults::{Control, InjectionMethod, Phase, CLIENT_CONNECTION_FAULTS};
use super::plan::Plan;
use crate::error::Error;
use crate::history::{Counts, Event, EventKind};
use crate::invariants::{check, Guarantees, Invariant, Violation};
use crate::site::Site;
use std::collections::BTreeMap;

/// Tolerance that the protocol grants on every time limit, in ms.
const TOLERANCE_MS: u64 = 50;
/// Time after SIGTERM until which a request that the gateway reads counts as accepted, in ms.
const ACCEPTED_AFTER_SIGTERM_MS: u64 = 700;
/// The longest time between the sending of a request and the notice that its connection had been closed
/// before, in ms.
const MAX_CLOSE_DELAY_MS: u64 = 2;
/// Microseconds of a millisecond.
const US_PER_MS: u64 = 1000;
/// Time by which the drain grace period is extended if connections to discovery break, in ms, because the
/// gateway reads the list only after its retry.
const DISCOVERY_RETRY_MS: u64 = 6000;

/// The result of a soak run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of injected faults, by name of the kind.
    pub injected: BTreeMap<&'static str, u64>,
    /// Number of requests that were sent, by phase.
    pub requests: BTreeMap<Phase, u64>,
    /// Numbers of requests by the way in which they ended.
    pub counts: Counts,
    /// Descriptions of all violations: of invariants, of time limits and of exits.
    pub violations: Vec<String>,
    /// Largest delay of the timers of the test program itself, in ms. Time limits are extended by this delay.
    pub harness_lag_ms: u64,
}

/// The begin of a phase of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PhaseStart {
    pub(super) phase: Phase,
    /// Begin of the phase, in µs since the start of the run.
    pub(super) at_us: u64,
}

/// The times of the signals that end a run, in µs since the start of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownTimes {
    pub(super) sigterm_at_us: u64,
    pub(super) killed_at_us: u64,
}

impl ShutdownTimes {
    /// Returns whether a request may be unanswered when SIGKILL comes: one whose time had not passed and that
    /// came at most 0.7 s after SIGTERM, or one that was sent just before SIGKILL or before the standstill of
    /// `standstill_ms` that SIGKILL ended.
    fn excuses(&self, sent_at_us: u64, client_timeout_ms: u64, standstill_ms: u64) -> bool {
        let tolerance_us = (TOLERANCE_MS + standstill_ms) * US_PER_MS;
        let is_accepted = sent_at_us <= self.sigterm_at_us + ACCEPTED_AFTER_SIGTERM_MS * US_PER_MS;
        let has_time = sent_at_us + client_timeout_ms * US_PER_MS + tolerance_us >= self.killed_at_us;
        (is_accepted && has_time) || sent_at_us + tolerance_us >= self.killed_at_us
    }
}

/// A run that has ended and is to be checked.
pub(super) struct FinishedRun<'a> {
    pub(super) plan: &'a Plan,
    pub(super) site: Site,
    pub(super) controls: Vec<Control>,
    /// Number of times that a process was stopped and continued.
    pub(super) standstill_count: u64,
    /// Descriptions of violations that were found while the run was played.
    pub(super) violations: Vec<String>,
    /// Begins of the phases, in order of time.
    pub(super) phase_starts: Vec<PhaseStart>,
    /// The times of the last signals, if the run got there.
    pub(super) shutdown_times: Option<ShutdownTimes>,
    pub(super) harness_lag_ms: u64,
}

impl FinishedRun<'_> {
    /// Checks the history, and counts requests and injected faults.
    pub(super) fn judge(self) -> Result<Outcome, Error> {
        let history = self.site.take_history();
        let guarantees = self.guarantees();
        let mut outcome = Outcome {
            counts: Counts::of(&history),
            harness_lag_ms: self.harness_lag_ms,
            injected: count_injected(self.plan, &self.controls, self.standstill_count)?,
            ..Outcome::default()
        };
        for event in &history {
            if matches!(event.kind, EventKind::RequestSent { .. }) {
                *outcome.requests.entry(self.phase_at(event.at_us)).or_default() += 1;
            }
        }
        let mut violations = without_excused(self.plan, &outcome, check(&history, &guarantees));
        violations.retain(|violation| !self.is_excused_by_kill(violation, &history));
        violations.retain(|violation| !self.is_closed_unread_in_crowd(violation, &history));
        outcome.violations = self.violations;
        outcome.violations.extend(violations.iter().map(|violation| describe(violation, &history)));
        let logs = self.site.logs();
        let invariant_logs = logs.lines().filter(|line| line.contains("invariant violated"));
        outcome.violations.extend(invariant_logs.map(str::to_string));
        Ok(outcome)
    }

    /// Returns whether a violation is a request without a response that SIGKILL excuses.
    fn is_excused_by_kill(&self, violation: &Violation, history: &[Event]) -> bool {
        let Some(times) = self.shutdown_times.filter(|_| violation.invariant == Invariant::Answered) else {
            return false;
        };
        let standstill_ms =
            if self.plan.phases.contains(&Phase::Shutdown) { self.standstill_ms() } else { 0 };
        history.iter().any(|event| match &event.kind {
            EventKind::RequestSent { id, client_timeout_ms, .. } => {
                violation.description.contains(id.as_str())
                    && times.excuses(event.at_us, *client_timeout_ms, standstill_ms)
            }
            _ => false,
        })
    }

    /// Returns whether a violation is a request whose connection was closed before the gateway can have read
    /// the request. The platform allows that for new connections while idle clients fill the descriptors.
    fn is_closed_unread_in_crowd(&self, violation: &Violation, history: &[Event]) -> bool {
        if self.plan.crowd == 0 || violation.invariant != Invariant::Answered {
            return false;
        }
        let (mut sent_at_us, mut has_arrived) = (None, false);
        for event in history {
            match &event.kind {
                EventKind::RequestSent { id, .. } | EventKind::RequestResent { id, .. }
                    if violation.description.contains(id.as_str()) =>
                {
                    sent_at_us = Some(event.at_us);
                }
                EventKind::RequestReceived { id, .. } if violation.description.contains(id.as_str()) => {
                    has_arrived = true;
                }
                _ => {}
            }
        }
        let closed_after_us = sent_at_us.map(|sent_at_us| violation.at_us.saturating_sub(sent_at_us));
        !has_arrived && closed_after_us.is_some_and(|us| us <= MAX_CLOSE_DELAY_MS * US_PER_MS)
    }

    fn phase_at(&self, at_us: u64) -> Phase {
        let begun = self.phase_starts.iter().rev().find(|start| start.at_us <= at_us);
        begun.map_or(Phase::Start, |start| start.phase)
    }

    /// Returns the length of the plan's longest standstills, in ms.
    fn standstill_ms(&self) -> u64 {
        let standstills_ms = self.plan.kinds.iter().map(|kind| match kind.method {
            InjectionMethod::Standstill(length) => length.as_millis() as u64,
            _ => 0,
        });
        standstills_ms.max().unwrap_or(0)
    }

    /// Returns the guarantees of the site, extended by the delays that the faults of the run cause.
    fn guarantees(&self) -> Guarantees {
        let standstill_ms = self.standstill_ms();
        let breaks_discovery =
            self.plan.kinds.iter().any(|kind| kind.name.starts_with("read_e") && kind.name != "read_eintr");
        let discovery_delay_ms = if breaks_discovery { DISCOVERY_RETRY_MS } else { 0 };
        let lag_ms = self.harness_lag_ms;
        Guarantees {
            response_slack_ms: 500 + TOLERANCE_MS + standstill_ms * 3 + lag_ms,
            drain_grace_ms: 3000 + lag_ms + discovery_delay_ms,
            disconnect_slack_ms: Some(100 + TOLERANCE_MS + lag_ms),
            deadline_slack_ms: Some(150 + TOLERANCE_MS + lag_ms),
            ..self.site.guarantees()
        }
    }
}

/// Returns how many faults of each kind in the plan were injected.
pub(super) fn count_injected(
    plan: &Plan, controls: &[Control], standstill_count: u64,
) -> Result<BTreeMap<&'static str, u64>, Error> {
    let mut injected = BTreeMap::new();
    for kind in &plan.kinds {
        let is_standstill = matches!(kind.method, InjectionMethod::Standstill(_));
        let mut count = if is_standstill { standstill_count } else { 0 };
        for control in controls {
            count += control.injected(*kind)?;
        }
        injected.insert(kind.name, count);
    }
    Ok(injected)
}

/// Removes the violations that broken connections of clients excuse. A request on a broken connection may
/// stay unanswered, or be resent although the gateway accepted it. At most [`MAX_PIPELINED_REQUESTS`]
/// violations are excused per broken connection, because all requests that were pipelined on it are affected.
fn without_excused(plan: &Plan, outcome: &Outcome, violations: Vec<Violation>) -> Vec<Violation> {
    let broken_count: u64 =
        CLIENT_CONNECTION_FAULTS.iter().filter_map(|kind| outcome.injected.get(kind)).sum();
    if !CLIENT_CONNECTION_FAULTS.iter().any(|kind| plan.injects(kind)) {
        return violations;
    }
    let is_excusable =
        |violation: &Violation| matches!(violation.invariant, Invariant::Answered | Invariant::Idempotency);
    let (excused, mut others): (Vec<_>, Vec<_>) = violations.into_iter().partition(is_excusable);
    if excused.len() as u64 > broken_count * MAX_PIPELINED_REQUESTS {
        others.extend(excused);
    }
    others
}

fn describe(violation: &Violation, history: &[Event]) -> String {
    let Violation { invariant, at_us, description } = violation;
    format!("{invariant:?}: {} ms: {description}{}", at_us / 1000, request_history(history, description))
}

/// Returns the events of the request whose id is in the description, and all faults of gateways, as text.
fn request_history(history: &[Event], description: &str) -> String {
    let is_id = |word: &&str| word.len() == 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit());
    let Some(id) = description.split(' ').find(is_id) else { return String::new() };
    let events = history.iter().filter(|event| {
        format!("{:?}", event.kind).contains(id)
            || matches!(event.kind, EventKind::GatewayFaulted { .. } | EventKind::GatewayRecovered { .. })
    });
    events.map(|event| format!("; {} us: {:?}", event.at_us, event.kind)).collect()
}
