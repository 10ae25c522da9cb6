//! Invariants of which hosts receive requests and how many: draining hosts, slow start, rate limits.
use super::{Guarantees, Invariant, Violation, WindowLimit, US_PER_MS};
use crate::history::{Event, EventKind};
use std::collections::HashMap;

/// Tolerance that the protocol grants on the drain grace period, in ms.
const DRAIN_TOLERANCE_MS: u64 = 50;

/// The times at which gateways were notified that hosts drain.
#[derive(Default)]
struct DrainNotifications {
    /// Time of the notification in µs, by gateway and host; `None` while the host serves.
    notified_at_us: HashMap<(usize, usize), Option<u64>>,
    /// Begin of the period in which a gateway cannot read from discovery, in µs, by gateway.
    discovery_cut_at_us: HashMap<usize, u64>,
}

impl DrainNotifications {
    /// Moves the notifications that were sent to a gateway while the gateway could not read from discovery to
    /// `at_us`, the time from which the gateway can read them.
    fn discovery_restored(&mut self, gateway: usize, at_us: u64) {
        let cut_at_us = self.discovery_cut_at_us.remove(&gateway).unwrap_or(at_us);
        for ((of_gateway, _), notified_at_us) in &mut self.notified_at_us {
            if *of_gateway == gateway && notified_at_us.is_some_and(|notified| notified >= cut_at_us) {
                *notified_at_us = Some(at_us);
            }
        }
    }

    fn state_sent(&mut self, gateway: usize, host: usize, serving: bool, at_us: u64) {
        let notified_at_us = self.notified_at_us.entry((gateway, host)).or_default();
        *notified_at_us = if serving { None } else { notified_at_us.or(Some(at_us)) };
    }
}

/// Checks [`Invariant::Draining`].
pub(super) fn check_draining(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let grace_us = (guarantees.drain_grace_ms + DRAIN_TOLERANCE_MS) * US_PER_MS;
    let mut drains = DrainNotifications::default();
    for event in history {
        match &event.kind {
            EventKind::DiscoveryCut { gateway } => {
                drains.discovery_cut_at_us.insert(*gateway, event.at_us);
            }
            EventKind::DiscoveryRestored { gateway } => drains.discovery_restored(*gateway, event.at_us),
            EventKind::EndpointStateSent { gateway, host, serving } => {
                drains.state_sent(*gateway, *host, *serving, event.at_us);
            }
            EventKind::RequestReceived { id, host, gateway, first_byte_at_us, .. } => {
                let notified_at_us = drains.notified_at_us.get(&(*gateway, *host)).copied().flatten();
                if let Some(at_us) = notified_at_us.filter(|at_us| *first_byte_at_us > at_us + grace_us) {
                    let late_ms = (first_byte_at_us - at_us) / US_PER_MS;
                    let description = format!(
                        "gateway {gateway} sent request {id} to host {host} {late_ms} ms after its drain"
                    );
                    found.push(Violation::new(Invariant::Draining, *first_byte_at_us, description));
                }
            }
            _ => {}
        }
    }
}

/// Returns the first of the ascending `times` in µs at which a window contains more requests than the limit.
fn first_excess_us(times: &[u64], limit: WindowLimit) -> Option<u64> {
    let max_requests = limit.max_requests;
    let window_us = limit.window_ms * US_PER_MS;
    times
        .windows(max_requests + 1)
        .find(|window| window[max_requests] - window[0] < window_us)
        .map(|window| window[max_requests])
}

/// Checks [`Invariant::SlowStart`].
pub(super) fn check_slow_start(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let Some(limit) = guarantees.slow_start else { return };
    let started = history.iter().filter_map(|event| match event.kind {
        EventKind::ServerStarted { host } => Some((host, event.at_us)),
        _ => None,
    });
    for (host, started_at_us) in started {
        let slow_start_us = started_at_us..started_at_us + limit.window_ms * US_PER_MS;
        let times: Vec<u64> = history
            .iter()
            .filter(|event| matches!(event.kind, EventKind::RequestReceived { host: by, .. } if by == host))
            .map(|event| event.at_us)
            .filter(|at_us| slow_start_us.contains(at_us))
            .collect();
        if let Some(at_us) = first_excess_us(&times, limit) {
            let description =
                format!("host {host} received more than {} requests during slow start", limit.max_requests);
            found.push(Violation::new(Invariant::SlowStart, at_us, description));
        }
    }
}

/// Checks [`Invariant::RateLimit`].
pub(super) fn check_rate_limits(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    for tenant_limit in &guarantees.rate_limits {
        let name = &tenant_limit.tenant;
        let times: Vec<u64> = history
            .iter()
            .filter(|event| matches!(&event.kind, EventKind::RequestAdmitted { tenant } if tenant == name))
            .map(|event| event.at_us)
            .collect();
        if let Some(at_us) = first_excess_us(&times, tenant_limit.limit) {
            let WindowLimit { window_ms, max_requests } = tenant_limit.limit;
            let description = format!(
                "more than {max_requests} requests of tenant {name} were admitted within {window_ms} ms"
            );
            found.push(Violation::new(Invariant::RateLimit, at_us, description));
        }
    }
}
