//! The steps of the leader, and the invariants of the fleet.
use super::*;
use ternstack_fault_tests::history::EventKind;
use ternstack_fault_tests::invariants::{check, Guarantees, Invariant};
use ternstack_replication::follower::ScopeMode;
use ternstack_replication::primary::PrimaryEvent;
use ternstack_replication::storage::Storage;

impl Simulation {
    /// Lets the current leader create revisions and bring revisions into force.
    pub fn advance_leader(&mut self, now: f64) {
        let leader = self.leaders.len() - 1;
        let (primary, clock_rate) = &mut self.leaders[leader];
        let local_now = now * *clock_rate;
        let mut change_sets = Vec::new();
        while let Some(PrimaryEvent::Agreed { revision, proposals }) = primary.batch(local_now) {
            change_sets.extend(primary.store().pending_since(revision - 1).cloned());
            let proposed_at =
                self.open_proposals.iter().filter(|open| proposals.contains(&open.1)).map(|open| open.0);
            self.activating.insert(revision, proposed_at.fold(f64::INFINITY, f64::min));
            self.open_proposals.retain(|open| !proposals.contains(&open.1));
        }
        let in_force = primary.store().in_force();
        let through = primary.store().through();
        let ready = match self.setup.fault {
            Fault::ActivatesEarly => {
                let next = in_force + 1;
                (primary.lessor().holders(local_now).all(|(_, progress)| progress.known >= next)
                    && through >= next)
                    .then_some(next)
            }
            Fault::SkipsFirstStep => (through > in_force).then_some(in_force + 1),
            _ => primary.ready(local_now),
        };
        if let Some(next) = ready {
            // Lease holders are counted by the state of the leader, and by the actual state of the gateways.
            let holders = primary.lessor().holders(local_now);
            let unknown = holders.filter(|(_, progress)| progress.known < next).count();
            let actually_unknown = self.gateways.iter().filter(|gateway| {
                let has_lease = now * gateway.process.clock_rate < gateway.follower.lease_until();
                has_lease && (gateway.follower.known() < next || gateway.follower.in_force() < in_force)
            });
            self.observations.unknown_at_activation += (unknown + actually_unknown.count()) as u64;
            primary.advance_to(next);
            self.activations.push((now, next));
        }
        change_sets.into_iter().for_each(|agreed| self.record_values(agreed.revision, &agreed.changes));
    }

    /// Checks all gateways, and records each change of the rules that a gateway acts on. The rules of the
    /// gateway `touched` may change even if its lease does not.
    pub fn check_gateways(&mut self, now: f64, touched: Option<usize>) {
        let conflicts_since = now - self.setup.config.max_conflict_ms().ceil();
        let due = self
            .activations
            .iter()
            .rev()
            .find(|activation| activation.0 < conflicts_since)
            .map_or(0, |activation| activation.1);
        for n in 0..self.gateways.len() {
            let gateway = &self.gateways[n];
            let is_running = now >= gateway.process.paused_until.max(gateway.process.down_until);
            let local_now = now * gateway.process.clock_rate;
            let leased = is_running && local_now < gateway.follower.lease_until();
            if is_running {
                self.observations.stale_leases += u64::from(leased && gateway.follower.in_force() < due);
                self.observations.checks += 1;
                let conservative = self.watched.first().is_some_and(|subject| {
                    !matches!(gateway.follower.scope_mode(local_now, subject.1), ScopeMode::InForce(_))
                });
                self.observations.conservative_checks += u64::from(conservative);
            }
            if leased == gateway.leased && touched != Some(n) && self.setup.fault != Fault::IgnoresLease {
                continue;
            }
            let rules = self.applied_rules(n, local_now, is_running);
            let gateway = &mut self.gateways[n];
            gateway.leased = leased;
            let before = std::mem::replace(&mut gateway.applied_rules, rules);
            let at_us = (now * 1000.0) as u64;
            let removed = before
                .keys()
                .filter(|subject| !gateway.applied_rules.contains_key(*subject))
                .map(|subject| (subject, None));
            let changed =
                gateway.applied_rules.iter().filter(|(subject, rule)| before.get(*subject) != Some(rule));
            for (subject, rule) in removed.chain(changed.map(|(subject, rule)| (subject, Some(rule.clone()))))
            {
                let kind = EventKind::RuleApplied { gateway: n, subject: subject.clone(), rule };
                self.history.push(Event { at_us, kind });
            }
        }
        let counted =
            self.gateways.iter().enumerate().filter(|(n, _)| !self.setup.excluded_gateways.contains(n));
        let lowest = counted
            .map(|(_, gateway)| if gateway.leased { gateway.follower.in_force() } else { 0 })
            .min()
            .unwrap_or(0);
        while let Some(first) = self.activating.first_entry().filter(|first| *first.key() <= lowest) {
            self.observations.longest_activation_ms =
                self.observations.longest_activation_ms.max(now - first.remove());
        }
    }

    /// Returns the rules that a gateway acts on: the revision, and the value of each watched entry.
    fn applied_rules(&mut self, n: usize, local_now: f64, is_running: bool) -> BTreeMap<String, String> {
        let mut rules = BTreeMap::new();
        if !is_running {
            return rules;
        }
        let ignores_lease = self.setup.fault == Fault::IgnoresLease;
        for (name, scope, key) in &self.watched {
            let follower = &self.gateways[n].follower;
            match follower.scope_mode(local_now, *scope) {
                ScopeMode::InForce(revision) => {
                    let entry = follower.entry(local_now, *scope, *key);
                    self.observations.wrong_entries +=
                        u64::from(entry != self.expected_entry(revision, *scope, *key));
                    rules.insert(name.clone(), format!("{entry:?}"));
                    rules.insert("revision".into(), revision.to_string());
                }
                ScopeMode::Conservative if ignores_lease && follower.in_force() > 0 => {
                    rules.insert("revision".into(), follower.in_force().to_string());
                }
                _ => {}
            }
        }
        rules
    }

    /// Returns the time from the oldest proposal whose revision is not in force at all gateways to the end of
    /// the run, in ms.
    pub fn longest_pending_ms(&self) -> f64 {
        self.activating.values().fold(0.0, |longest: f64, since| longest.max(self.setup.duration_ms - since))
    }

    /// Returns the number of violations of agreement in the history, and the longest time for which gateways
    /// acted on different revisions, in ms.
    pub fn check_history(&self) -> (usize, u64) {
        let guarantees = Guarantees {
            classes: vec![],
            max_attempts: 1,
            response_slack_ms: 0,
            drain_grace_ms: 0,
            disconnect_slack_ms: None,
            deadline_slack_ms: None,
            slow_start: None,
            contradiction_ms: self.setup.config.max_conflict_ms().ceil() as u64,
            max_unavailable: self.setup.members,
            rate_limits: vec![],
        };
        let violations = check(&self.history, &guarantees);
        assert!(violations.iter().all(|violation| violation.invariant == Invariant::Agreement));
        (violations.len(), longest_conflict_ms(&self.history))
    }

    /// Returns what is wrong after a period without faults: all gateways have to hold leases and act on the
    /// last revision, and all members have to have the state of the primary.
    pub fn differences(&self) -> Vec<String> {
        let primary = self.leaders[self.leaders.len() - 1].0.store();
        let mut differences = Vec::new();
        for (n, gateway) in self.gateways.iter().enumerate() {
            let follower = &gateway.follower;
            if !gateway.leased || follower.in_force() != primary.in_force() || !follower.is_complete() {
                differences.push(format!(
                    "g{n}: lease {}, revision {} in force, expected {}, fetching {:?}",
                    gateway.leased,
                    follower.in_force(),
                    primary.in_force(),
                    follower.fetching_scopes().collect::<Vec<_>>()
                ));
            }
            for (scope, _) in follower
                .complete_scopes()
                .filter(|complete| follower.storage().digest(complete.0) != primary.digest(complete.0))
            {
                differences.push(format!("g{n}: digest of {scope:?} differs from the primary's"));
            }
        }
        for (n, replica_node) in self.replicas.iter().enumerate() {
            if replica_node.replica.store().total_digest() != primary.total_digest() {
                differences.push(format!("b{n}: total digest differs from the primary's"));
            }
            if let Err(error) = replica_node.replica.store().check() {
                differences.push(format!("b{n}: {error}"));
            }
        }
        differences
    }
}

/// Returns the longest time for which gateways acted on different revisions, in ms.
fn longest_conflict_ms(history: &[Event]) -> u64 {
    let (mut revisions, mut since, mut longest) = (BTreeMap::new(), None, 0);
    for event in history {
        let EventKind::RuleApplied { gateway, rule, subject } = &event.kind else { continue };
        if subject != "revision" {
            continue;
        }
        match rule {
            Some(rule) => drop(revisions.insert(*gateway, rule.clone())),
            None => drop(revisions.remove(gateway)),
        }
        let differ = revisions.values().collect::<std::collections::BTreeSet<_>>().len() > 1;
        match (differ, since) {
            (true, None) => since = Some(event.at_us),
            (false, Some(from)) => {
                longest = longest.max(event.at_us - from);
                since = None;
            }
            _ => {}
        }
    }
    longest / 1000
}
