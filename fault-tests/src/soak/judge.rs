//! Judges the history of a soak run, with what its faults excuse.
use super::clients::MAX_PIPELINED_COUNT;
use super::faults::{Control, InjectionMethod, Phase, CLIENT_CONNECTION_FAULTS};
use super::plan::Plan;
use crate::error::Error;
use crate::history::{Counts, Event, EventKind};
use crate::invariants::{check, Guarantees, Invariant, Violation};
use crate::site::Site;
use std::collections::BTreeMap;

/// The protocol's tolerance for every time limit, in ms.
const TOLERANCE_MS: u64 = 50;
/// After a broken connection to discovery, what it sent counts as notified this much later, in ms.
const DISCOVERY_RETRY_MS: u64 = 6000;

/// The result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// How many faults were injected, by kind.
    pub injected: BTreeMap<&'static str, u64>,
    /// How many requests were sent, by phase.
    pub requests: BTreeMap<Phase, u64>,
    /// How all requests ended.
    pub counts: Counts,
    /// What was violated.
    pub violations: Vec<String>,
    /// The largest delay of this process's own timers, in ms; time limits are extended by it.
    pub harness_lag_ms: u64,
}

/// The begin of a phase.
#[derive(Clone, Copy, Debug)]
pub(super) struct PhaseStart {
    pub(super) phase: Phase,
    /// In µs since the run's start.
    pub(super) at_us: u64,
}

/// What a run leaves to be judged.
pub(super) struct FinishedRun<'a> {
    pub(super) plan: &'a Plan,
    pub(super) site: Site,
    pub(super) controls: Vec<Control>,
    /// How often a process was stopped.
    pub(super) standstill_count: u64,
    /// What was violated during the run.
    pub(super) violations: Vec<String>,
    /// In order of time.
    pub(super) phase_starts: Vec<PhaseStart>,
    pub(super) harness_lag_ms: u64,
}

impl FinishedRun<'_> {
    /// Checks the history and counts.
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
        let violations = without_excused(self.plan, &outcome, check(&history, &guarantees));
        outcome.violations = self.violations;
        outcome.violations.extend(violations.iter().map(|violation| describe(violation, &history)));
        let logs = self.site.logs();
        let invariant_logs = logs.lines().filter(|line| line.contains("invariant violated"));
        outcome.violations.extend(invariant_logs.map(str::to_string));
        Ok(outcome)
    }

    fn phase_at(&self, at_us: u64) -> Phase {
        let begun = self.phase_starts.iter().rev().find(|start| start.at_us <= at_us);
        begun.map_or(Phase::Start, |start| start.phase)
    }

    /// The site's guarantees, with what the faults of the run excuse.
    fn guarantees(&self) -> Guarantees {
        let standstills_ms = self.plan.kinds.iter().map(|kind| match kind.method {
            InjectionMethod::Standstill(length) => length.as_millis() as u64,
            _ => 0,
        });
        let standstill_ms: u64 = standstills_ms.max().unwrap_or(0);
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

/// How many faults of each kind were injected.
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

/// Where faults break clients' connections, a request may stay unanswered, or be resent although it was accepted:
/// as many
/// as were broken, and those that were pipelined behind them.
fn without_excused(plan: &Plan, outcome: &Outcome, violations: Vec<Violation>) -> Vec<Violation> {
    let broken_count: u64 =
        CLIENT_CONNECTION_FAULTS.iter().filter_map(|kind| outcome.injected.get(kind)).sum();
    if !CLIENT_CONNECTION_FAULTS.iter().any(|kind| plan.injects(kind)) {
        return violations;
    }
    let is_excusable =
        |violation: &Violation| matches!(violation.invariant, Invariant::Answered | Invariant::Idempotency);
    let (excused, mut others): (Vec<_>, Vec<_>) = violations.into_iter().partition(is_excusable);
    if excused.len() as u64 > broken_count * MAX_PIPELINED_COUNT {
        others.extend(excused);
    }
    others
}

fn describe(violation: &Violation, history: &[Event]) -> String {
    let Violation { invariant, at_us, description } = violation;
    format!("{invariant:?}: {} ms: {description}{}", at_us / 1000, request_history(history, description))
}

/// The events of the request whose id is in the description, and the faults of gateways meanwhile.
fn request_history(history: &[Event], description: &str) -> String {
    let is_id = |word: &&str| word.len() == 16 && word.bytes().all(|byte| byte.is_ascii_hexdigit());
    let Some(id) = description.split(' ').find(is_id) else { return String::new() };
    let events = history.iter().filter(|event| {
        format!("{:?}", event.kind).contains(id)
            || matches!(event.kind, EventKind::GatewayFaulted { .. } | EventKind::GatewayRecovered { .. })
    });
    events.map(|event| format!("; {} us: {:?}", event.at_us, event.kind)).collect()
}
