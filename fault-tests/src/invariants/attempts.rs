//! Invariants of the attempts of a request: retries, attempts after a disconnect, forwarded deadlines.
use super::outages::Outages;
use super::{Guarantees, Idempotency, Invariant, Violation, US_PER_MS};
use crate::history::{Event, EventKind};
use std::collections::{HashMap, HashSet};

/// Time after the end of a fault within which the reset of a link's connections reaches the clients, in µs.
const LINK_RECOVERY_US: u64 = 200_000;

/// Checks [`Invariant::Idempotency`].
pub(super) fn check_idempotency(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let outages = Outages::of(history);
    let mut classes: HashMap<&str, &str> = HashMap::new();
    // If a client resends a request because an injected fault broke its link, the gateway may have forwarded
    // the first copy, and the request may reach hosts twice. Without a fault of the link, the gateway must
    // not have forwarded the first copy.
    let mut excused: HashSet<&str> = HashSet::new();
    let mut received_at_us: HashMap<&str, Vec<u64>> = HashMap::new();
    for event in history {
        match &event.kind {
            EventKind::RequestSent { id, class, .. } => {
                classes.insert(id, class);
            }
            EventKind::RequestResent { id, gateway }
                if outages.overlap(*gateway, event.at_us, event.at_us, LINK_RECOVERY_US) =>
            {
                excused.insert(id);
            }
            EventKind::RequestReceived { id, processed: true, .. } => {
                received_at_us.entry(id).or_default().push(event.at_us);
            }
            _ => {}
        }
    }
    for (id, times) in received_at_us {
        let class = classes.get(id).copied().unwrap_or("");
        if !excused.contains(id) && !may_be_received(class, &times, guarantees) {
            let (first, last) = (times[0], times[times.len() - 1]);
            let description = format!(
                "request {id} of class {class:?} reached hosts {} times within {} ms",
                times.len(),
                (last - first) / US_PER_MS
            );
            found.push(Violation::new(Invariant::Idempotency, last, description));
        }
    }
}

/// Returns whether a request of a class may reach hosts at each of the ascending `times` in µs, of which
/// there is at least one.
fn may_be_received(class: &str, times: &[u64], guarantees: &Guarantees) -> bool {
    let known = guarantees.classes.iter().find(|(name, _)| name == class);
    let idempotency = known.map_or(Idempotency::NonIdempotent, |(_, idempotency)| *idempotency);
    let (first, last, count) = (times[0], times[times.len() - 1], times.len());
    let permitted = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotentWithKey { window_ms } => {
            last <= first + (window_ms + guarantees.response_slack_ms) * US_PER_MS
        }
        Idempotency::NonIdempotent => count <= 1,
    };
    permitted && count <= guarantees.max_attempts
}

/// Checks [`Invariant::NoAttemptAfterDisconnect`].
pub(super) fn check_disconnects(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let Some(slack_ms) = guarantees.disconnect_slack_ms else { return };
    let mut disconnected_at_us: HashMap<&str, u64> = HashMap::new();
    for event in history {
        match &event.kind {
            EventKind::ClientDisconnected { id } => {
                disconnected_at_us.insert(id, event.at_us);
            }
            EventKind::RequestReceived { id, gateway, first_byte_at_us, .. } => {
                let Some(at_us) = disconnected_at_us.get(id.as_str()) else { continue };
                let late_ms = first_byte_at_us.saturating_sub(*at_us) / US_PER_MS;
                if late_ms > slack_ms {
                    let description = format!(
                        "gateway {gateway} sent request {id} {late_ms} ms after the client disconnected"
                    );
                    let invariant = Invariant::NoAttemptAfterDisconnect;
                    found.push(Violation::new(invariant, *first_byte_at_us, description));
                }
            }
            _ => {}
        }
    }
}

/// A client's wait for a response: its begin in µs since the start of the run, and the client's timeout.
struct Waiting {
    since_us: u64,
    client_timeout_ms: u64,
}

/// Checks [`Invariant::ForwardedDeadline`].
pub(super) fn check_deadlines(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let Some(slack_ms) = guarantees.deadline_slack_ms else { return };
    let mut waiting: HashMap<&str, Waiting> = HashMap::new();
    for event in history {
        match &event.kind {
            EventKind::RequestSent { id, client_timeout_ms, .. } => {
                let since_us = event.at_us;
                waiting.insert(id, Waiting { since_us, client_timeout_ms: *client_timeout_ms });
            }
            // The resent request carries the full client timeout again.
            EventKind::RequestResent { id, .. } => {
                if let Some(waiting) = waiting.get_mut(id.as_str()) {
                    waiting.since_us = event.at_us;
                }
            }
            EventKind::DeadlineForwarded { id, first_byte_at_us, remaining_ms } => {
                let Some(waiting) = waiting.get(id.as_str()) else { continue };
                let waited_ms = first_byte_at_us.saturating_sub(waiting.since_us) / US_PER_MS;
                let left_ms = waiting.client_timeout_ms.saturating_sub(waited_ms);
                if *remaining_ms > left_ms + slack_ms {
                    let description = format!(
                        "request {id} was forwarded with {remaining_ms} ms, its client had {left_ms} ms left"
                    );
                    found.push(Violation::new(Invariant::ForwardedDeadline, *first_byte_at_us, description));
                }
            }
            _ => {}
        }
    }
}
