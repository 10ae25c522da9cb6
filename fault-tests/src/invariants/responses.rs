//! Invariants of the responses that clients read: one response for each request, in time, with an unchanged
//! body, and with `Retry-After` in rejections.
use super::outages::Outages;
use super::{Guarantees, Invariant, Violation, US_PER_MS};
use crate::history::{Event, EventKind};
use std::collections::{HashMap, HashSet};

/// The ends of the requests of a history, by request id and with times in µs since the start of the run.
#[derive(Default)]
struct Endings<'a> {
    responses_at_us: HashMap<&'a str, Vec<u64>>,
    missing_at_us: HashMap<&'a str, u64>,
    /// Requests whose client disconnected or moved to another gateway, so that no response is due.
    abandoned: HashSet<&'a str>,
}

impl<'a> Endings<'a> {
    fn of(history: &'a [Event]) -> Self {
        let mut endings = Endings::default();
        for event in history {
            match &event.kind {
                EventKind::ResponseReceived { id, .. } => {
                    endings.responses_at_us.entry(id).or_default().push(event.at_us);
                }
                EventKind::ResponseMissing { id, .. } => {
                    endings.missing_at_us.entry(id).or_insert(event.at_us);
                }
                EventKind::ClientDisconnected { id } | EventKind::RequestMoved { id } => {
                    endings.abandoned.insert(id);
                }
                _ => {}
            }
        }
        endings
    }
}

/// Checks [`Invariant::Answered`], [`Invariant::AnsweredOnce`] and [`Invariant::InTime`].
pub(super) fn check_answered(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let outages = Outages::of(history);
    let endings = Endings::of(history);
    let end_us = history.last().map_or(0, |event| event.at_us);
    for event in history {
        let EventKind::RequestSent { id, gateway, client_timeout_ms, .. } = &event.kind else { continue };
        let due_us = event.at_us + (client_timeout_ms + guarantees.response_slack_ms) * US_PER_MS;
        let excused = |until_us: u64| outages.overlap(*gateway, event.at_us, until_us, 0);
        let responses = endings.responses_at_us.get(id.as_str()).map(Vec::as_slice);
        match responses {
            None if !excused(due_us.min(end_us)) && !endings.abandoned.contains(id.as_str()) => {
                let at_us = endings.missing_at_us.get(id.as_str()).copied().unwrap_or(due_us);
                let description = format!("request {id} to gateway {gateway} got no response");
                found.push(Violation::new(Invariant::Answered, at_us, description));
            }
            Some([at_us, ..]) if *at_us > due_us && !excused(*at_us) => {
                let late_ms = (at_us - due_us) / US_PER_MS;
                let description = format!("the response to request {id} was {late_ms} ms late");
                found.push(Violation::new(Invariant::InTime, *at_us, description));
            }
            _ => {}
        }
        if let Some([_, second_at_us, ..]) = responses {
            let description = format!("request {id} got more than one response");
            found.push(Violation::new(Invariant::AnsweredOnce, *second_at_us, description));
        }
    }
}

/// Checks [`Invariant::BodyUnchanged`].
pub(super) fn check_body_unchanged(history: &[Event], _: &Guarantees, found: &mut Vec<Violation>) {
    let mut created: HashSet<(&str, &str)> = HashSet::new();
    for event in history {
        match &event.kind {
            EventKind::ResponseCreated { id, body, .. } => {
                created.insert((id, body));
            }
            EventKind::ResponseReceived { id, status: 200, body, .. }
                if !created.contains(&(id.as_str(), body.as_str())) =>
            {
                let description =
                    format!("request {id} was served body {body:?}, which no host created for it");
                found.push(Violation::new(Invariant::BodyUnchanged, event.at_us, description));
            }
            _ => {}
        }
    }
}

/// Checks [`Invariant::RetryAfter`].
pub(super) fn check_retry_after(history: &[Event], _: &Guarantees, found: &mut Vec<Violation>) {
    for event in history {
        if let EventKind::ResponseReceived { id, status: 429 | 503, has_retry_after: false, .. } = &event.kind
        {
            let description = format!("the rejection of request {id} has no Retry-After");
            found.push(Violation::new(Invariant::RetryAfter, event.at_us, description));
        }
    }
}
