//! The leader's second step, and the invariants of the fleet.
use super::*;
use ternstack_fault_tests::history::EventKind;
use ternstack_fault_tests::invariants::{check, Guarantees, Invariant};
use ternstack_replication::follower::ScopeMode;
use ternstack_replication::primary::PrimaryEvent;
use ternstack_replication::storage::Storage;

impl Simulation {
    /// The current leader creates revisions and brings them into force.
    pub fn second_step(&mut self, now: f64) {
        let leader = self.leaders.len() - 1;
        let (primary, rate) = &mut self.leaders[leader];
        let local = now * *rate;
        let mut notes = Vec::new();
        while let Some(PrimaryEvent::Agreed { revision: version, proposals }) = primary.batch(local) {
            notes.extend(primary.store().pending_since(version - 1).cloned());
            let since = self.proposed.iter().filter(|p| proposals.contains(&p.1)).map(|p| p.0);
            self.open.insert(version, since.fold(f64::INFINITY, f64::min));
            self.proposed.retain(|p| !proposals.contains(&p.1));
        }
        let in_force = primary.store().in_force();
        let through = primary.store().through();
        let ready = match self.setup.planted {
            PlantedFault::Hurries => {
                let next = in_force + 1;
                (primary.lessor().holders(local).all(|(_, progress)| progress.known >= next)
                    && through >= next)
                    .then_some(next)
            }
            PlantedFault::SkipsFirstStep => (through > in_force).then_some(in_force + 1),
            _ => primary.ready(local),
        };
        if let Some(next) = ready {
            // By what the leader knows, and by the actual state.
            let holders = primary.lessor().holders(local);
            let unknown = holders.filter(|(_, progress)| progress.known < next).count();
            let truly = self.gateways.iter().filter(|g| {
                let holds = now * g.process.rate < g.follower.lease_until();
                holds && (g.follower.known() < next || g.follower.in_force() < in_force)
            });
            self.seen.unknown_at_force += (unknown + truly.count()) as u64;
            primary.advance_to(next);
            self.forced.push((now, next));
        }
        notes.into_iter().for_each(|v| self.note(v.revision, &v.changes));
    }

    /// What everybody acts on, as it changes.
    pub fn watch(&mut self, now: f64, touched: Option<usize>) {
        let long_ago = now - self.setup.config.max_conflict_ms().ceil();
        let due = self.forced.iter().rev().find(|f| f.0 < long_ago).map_or(0, |f| f.1);
        for n in 0..self.gateways.len() {
            let g = &self.gateways[n];
            let up = now >= g.process.asleep_until.max(g.process.down_until);
            let local = now * g.process.rate;
            let leased = up && local < g.follower.lease_until();
            if up {
                self.seen.stale += u64::from(leased && g.follower.in_force() < due);
                self.seen.looks += 1;
                let neutral = self.about.first().is_some_and(|about| {
                    !matches!(g.follower.scope_mode(local, about.1), ScopeMode::InForce(_))
                });
                self.seen.neutral += u64::from(neutral);
            }
            if leased == g.leased && touched != Some(n) && self.setup.planted != PlantedFault::IgnoresLease {
                continue;
            }
            let shows = self.shows(n, local, up);
            let g = &mut self.gateways[n];
            g.leased = leased;
            let before = std::mem::replace(&mut g.shown, shows);
            let at_us = (now * 1000.0) as u64;
            let gone = before.keys().filter(|about| !g.shown.contains_key(*about)).map(|about| (about, None));
            let new = g.shown.iter().filter(|(about, rule)| before.get(*about) != Some(rule));
            for (about, rule) in gone.chain(new.map(|(about, rule)| (about, Some(rule.clone())))) {
                let kind = EventKind::RuleApplied { gateway: n, subject: about.clone(), rule };
                self.history.push(Event { at_us, kind });
            }
        }
        let counted = self.gateways.iter().enumerate().filter(|(n, _)| !self.setup.excused.contains(n));
        let least = counted.map(|(_, g)| if g.leased { g.follower.in_force() } else { 0 }).min().unwrap_or(0);
        while let Some(first) = self.open.first_entry().filter(|first| *first.key() <= least) {
            self.seen.in_force_ms = self.seen.in_force_ms.max(now - first.remove());
        }
    }

    /// What a gateway acts on: the version itself, and each entry that is watched.
    fn shows(&mut self, n: usize, local: f64, up: bool) -> BTreeMap<String, String> {
        let mut shows = BTreeMap::new();
        if !up {
            return shows;
        }
        let ignores = self.setup.planted == PlantedFault::IgnoresLease;
        for (name, scope, key) in &self.about {
            let follower = &self.gateways[n].follower;
            match follower.scope_mode(local, *scope) {
                ScopeMode::InForce(number) => {
                    let entry = follower.entry(local, *scope, *key);
                    self.seen.untrue += u64::from(entry != self.truth(number, *scope, *key));
                    shows.insert(name.clone(), format!("{entry:?}"));
                    shows.insert("the version".into(), number.to_string());
                }
                ScopeMode::Conservative if ignores && follower.in_force() > 0 => {
                    shows.insert("the version".into(), follower.in_force().to_string());
                }
                _ => {}
            }
        }
        shows
    }

    /// The longest that a version is on its way by now, in ms.
    pub fn on_its_way_ms(&self) -> f64 {
        self.open.values().fold(0.0, |most: f64, since| most.max(self.setup.length_ms - since))
    }

    /// What the checker finds, and for how long members acted on different versions, in ms.
    pub fn judge(&self) -> (usize, u64) {
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
        let broken = check(&self.history, &guarantees);
        assert!(broken.iter().all(|o| o.invariant == Invariant::Agreement));
        (broken.len(), longest(&self.history))
    }

    /// What is wrong after a quiet time: all have to hold leases, act on the last revision, and have the state of the primary.
    pub fn unsettled(&self) -> Vec<String> {
        let primary = self.leaders[self.leaders.len() - 1].0.store();
        let mut faults = Vec::new();
        for (n, g) in self.gateways.iter().enumerate() {
            let f = &g.follower;
            if !g.leased || f.in_force() != primary.in_force() || !f.is_complete() {
                faults.push(format!(
                    "g{n}: leased {}, in force {} of {}, fetches {:?}",
                    g.leased,
                    f.in_force(),
                    primary.in_force(),
                    f.fetching_scopes().collect::<Vec<_>>()
                ));
            }
            for (scope, _) in f.complete_scopes().filter(|w| f.storage().digest(w.0) != primary.digest(w.0)) {
                faults.push(format!("g{n}: another digest of {scope:?}"));
            }
        }
        for (n, b) in self.replicas.iter().enumerate() {
            if b.replica.store().total_digest() != primary.total_digest() {
                faults.push(format!("b{n}: another sum"));
            }
            if let Err(what) = b.replica.store().check() {
                faults.push(format!("b{n}: {what}"));
            }
        }
        faults
    }
}

/// The longest time in which members acted on different versions.
fn longest(history: &[Event]) -> u64 {
    let (mut acts, mut since, mut longest) = (BTreeMap::new(), None, 0);
    for event in history {
        let EventKind::RuleApplied { gateway, rule, subject: about } = &event.kind else { continue };
        if about != "the version" {
            continue;
        }
        match rule {
            Some(rule) => drop(acts.insert(*gateway, rule.clone())),
            None => drop(acts.remove(gateway)),
        }
        let differ = acts.values().collect::<std::collections::BTreeSet<_>>().len() > 1;
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
