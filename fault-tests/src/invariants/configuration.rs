//! Invariants of configuration: gateways agree on rules, and the number of unavailable members is limited.
use super::{Guarantees, Invariant, Violation, US_PER_MS};
use crate::history::{Event, EventKind};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Checks [`Invariant::Agreement`].
pub(super) fn check_agreement(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let mut rules: HashMap<&str, BTreeMap<usize, &str>> = HashMap::new();
    let mut contradicted_since_us: HashMap<&str, u64> = HashMap::new();
    let end_us = history.last().map_or(0, |event| event.at_us);
    let mut check_period = |subject: &str, since_us: u64, until_us: u64| {
        if until_us - since_us > guarantees.contradiction_ms * US_PER_MS {
            let length_ms = (until_us - since_us) / US_PER_MS;
            let description =
                format!("gateways contradicted each other about {subject:?} for {length_ms} ms");
            found.push(Violation::new(Invariant::Agreement, until_us, description));
        }
    };
    for event in history {
        let EventKind::RuleApplied { gateway, subject, rule } = &event.kind else { continue };
        let by_gateway = rules.entry(subject).or_default();
        match rule {
            Some(rule) => by_gateway.insert(*gateway, rule),
            None => by_gateway.remove(gateway),
        };
        let distinct: BTreeSet<_> = by_gateway.values().collect();
        if distinct.len() > 1 {
            contradicted_since_us.entry(subject).or_insert(event.at_us);
        } else if let Some(since_us) = contradicted_since_us.remove(subject.as_str()) {
            check_period(subject, since_us, event.at_us);
        }
    }
    contradicted_since_us.into_iter().for_each(|(subject, since_us)| check_period(subject, since_us, end_us));
}

/// Checks [`Invariant::MaxUnavailable`].
pub(super) fn check_unavailable(history: &[Event], guarantees: &Guarantees, found: &mut Vec<Violation>) {
    let mut unavailable: BTreeSet<&str> = BTreeSet::new();
    for event in history {
        let EventKind::AvailabilityChanged { member, unavailable: is_unavailable } = &event.kind else {
            continue;
        };
        if !is_unavailable {
            unavailable.remove(member.as_str());
            continue;
        }
        let added = unavailable.insert(member);
        if added && unavailable.len() > guarantees.max_unavailable {
            let description =
                format!("{} members are unavailable at the same time: {unavailable:?}", unavailable.len());
            found.push(Violation::new(Invariant::MaxUnavailable, event.at_us, description));
        }
    }
}
