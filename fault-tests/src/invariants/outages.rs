//! The periods in which an injected fault kept a gateway from responding to its clients.
use crate::history::{Event, EventKind};
use std::collections::HashMap;

/// End of an outage that has not ended when the history ends, in µs.
const NOT_ENDED: u64 = u64::MAX;

/// A period in which clients of a gateway cannot expect responses, in µs since the start of the run.
struct Outage {
    start_us: u64,
    end_us: u64,
}

/// The outages of each gateway, by index of the gateway and in order of time.
pub(super) struct Outages(HashMap<usize, Vec<Outage>>);

impl Outages {
    /// Returns the outages that a history records.
    pub(super) fn of(history: &[Event]) -> Self {
        let mut outages: HashMap<usize, Vec<Outage>> = HashMap::new();
        for event in history {
            match event.kind {
                EventKind::GatewayFaulted { gateway, .. } => {
                    let of_gateway = outages.entry(gateway).or_default();
                    if of_gateway.last().is_none_or(|outage| outage.end_us != NOT_ENDED) {
                        of_gateway.push(Outage { start_us: event.at_us, end_us: NOT_ENDED });
                    }
                }
                EventKind::GatewayRecovered { gateway } => {
                    let last = outages.entry(gateway).or_default().last_mut();
                    if let Some(open) = last.filter(|outage| outage.end_us == NOT_ENDED) {
                        open.end_us = event.at_us;
                    }
                }
                _ => {}
            }
        }
        Outages(outages)
    }

    /// Returns whether an outage of the gateway, prolonged by `recovery_us`, overlaps the period from
    /// `start_us` to `end_us`.
    pub(super) fn overlap(&self, gateway: usize, start_us: u64, end_us: u64, recovery_us: u64) -> bool {
        self.0
            .get(&gateway)
            .into_iter()
            .flatten()
            .any(|outage| outage.start_us <= end_us && start_us <= outage.end_us.saturating_add(recovery_us))
    }
}
