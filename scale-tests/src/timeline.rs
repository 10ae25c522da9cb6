//! Timelines of hollow gateways: during which periods a gateway acted on which revision.
use crate::histogram::DurationHistogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use ternstack_replication::scope::Revision;

/// A period during which a follower acted on one revision: the revision was in force and the follower held a
/// lease.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ActivePeriod {
    revision: Revision,
    from_us: u64,
    to_us: u64,
}

/// The timeline of one incarnation of a follower. All times are in us of the monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    started_us: u64,
    stopped_us: Option<u64>,
    past_periods: Vec<ActivePeriod>,
    /// When the current period began; `None` while the follower holds no lease.
    active_since_us: Option<u64>,
    revision_in_force: Revision,
    rollbacks: u64,
    complete_us: Option<u64>,
}

/// The time, in us of the monotonic clock, during which any follower acted on a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionSpan {
    /// When the first follower began to act on the revision.
    pub first_us: u64,
    /// When the last follower stopped acting on the revision.
    pub last_us: u64,
    /// The number of the gateway that acted on the revision last.
    #[serde(rename = "last_by")]
    pub last_gateway: usize,
}

impl RevisionSpan {
    /// Extends the span to cover another span of the same revision.
    pub fn merge(&mut self, other: RevisionSpan) {
        self.first_us = self.first_us.min(other.first_us);
        if other.last_us > self.last_us {
            (self.last_us, self.last_gateway) = (other.last_us, other.last_gateway);
        }
    }
}

impl Timeline {
    /// Creates the timeline of an incarnation that starts at `at_us`.
    pub fn starting_at(at_us: u64) -> Timeline {
        Timeline { started_us: at_us, ..Timeline::default() }
    }

    /// Records that a revision came into force at the follower.
    pub fn record_in_force(&mut self, at_us: u64, revision: Revision) {
        self.rollbacks += u64::from(revision < self.revision_in_force);
        let is_leased = self.active_since_us.is_some();
        self.record_lease_expired(at_us);
        self.revision_in_force = revision;
        if is_leased {
            self.record_lease_acquired(at_us);
        }
    }

    /// Records that the follower acquired a lease.
    pub fn record_lease_acquired(&mut self, at_us: u64) {
        self.active_since_us = Some(at_us);
    }

    /// Records that the follower's lease expired.
    pub fn record_lease_expired(&mut self, at_us: u64) {
        if let Some(from_us) = self.active_since_us.take() {
            // A follower that gets a lease and a later revision in one response has never acted on the
            // earlier revision.
            if self.revision_in_force > 0 && at_us > from_us {
                self.past_periods.push(ActivePeriod {
                    revision: self.revision_in_force,
                    from_us,
                    to_us: at_us,
                });
            }
        }
    }

    /// Records that the follower has all scopes it follows; only the first such time is kept.
    pub fn record_complete(&mut self, at_us: u64) {
        self.complete_us.get_or_insert(at_us);
    }

    /// Returns whether the follower has had all scopes it follows at some time.
    pub fn has_been_complete(&self) -> bool {
        self.complete_us.is_some()
    }

    /// Records that the incarnation stopped; only the first such time is kept.
    pub fn record_stopped(&mut self, at_us: u64) {
        self.record_lease_expired(at_us);
        self.stopped_us.get_or_insert(at_us);
    }

    /// Returns how often a revision older than the previous one came into force.
    pub fn rollbacks(&self) -> u64 {
        self.rollbacks
    }

    /// Returns when the incarnation started, in us.
    pub fn started_us(&self) -> u64 {
        self.started_us
    }

    /// Returns the revision that the follower acts on; 0 while the follower holds no lease.
    pub fn active_revision(&self) -> Revision {
        self.active_since_us.map_or(0, |_| self.revision_in_force)
    }

    /// Returns the time from the start of the incarnation until all followed scopes were there, in us.
    pub fn time_to_complete_us(&self) -> Option<u64> {
        Some(self.complete_us?.saturating_sub(self.started_us))
    }

    /// Returns the past periods, and the current one as ending at `now_us`.
    fn active_periods(&self, now_us: u64) -> impl Iterator<Item = ActivePeriod> + '_ {
        let current = self.active_since_us.filter(|_| self.revision_in_force > 0);
        let current = current.map(|from_us| ActivePeriod {
            revision: self.revision_in_force,
            from_us,
            to_us: now_us.max(from_us),
        });
        self.past_periods.iter().copied().chain(current)
    }

    /// Returns when the follower first acted on this revision or a later one, in us.
    fn reached_us(&self, revision: Revision) -> Option<u64> {
        let index = self.past_periods.partition_point(|p| p.revision < revision);
        let current = || self.active_since_us.filter(|_| self.revision_in_force >= revision);
        self.past_periods.get(index).map(|p| p.from_us).or_else(current)
    }
}

/// Returns the span of each revision over all given timelines. Each timeline comes with the number of its
/// gateway; a period that still lasts ends at `now_us`.
pub fn revision_spans<'a>(
    timelines: impl Iterator<Item = (usize, &'a Timeline)>, now_us: u64,
) -> BTreeMap<Revision, RevisionSpan> {
    let mut spans = BTreeMap::new();
    for (gateway, period) in timelines.flat_map(|(n, t)| t.active_periods(now_us).map(move |p| (n, p))) {
        let span = RevisionSpan { first_us: period.from_us, last_us: period.to_us, last_gateway: gateway };
        spans.entry(period.revision).and_modify(|s: &mut RevisionSpan| s.merge(span)).or_insert(span);
    }
    spans
}

/// Times from the proposal of a revision until the revision is in force at a follower. Only followers that
/// were already running when the revision was proposed are counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PropagationTimes {
    /// The times, in us.
    pub times: DurationHistogram,
    /// Number of pairs of a revision and a running follower that the revision hasn't reached yet.
    pub missing: u64,
}

impl PropagationTimes {
    /// Records how long revisions, given as `(revision, proposed at, in us)`, took to reach one incarnation of
    /// a follower.
    pub fn record(&mut self, timeline: &Timeline, proposals: &[(Revision, u64)]) {
        for (revision, proposed_us) in proposals {
            if timeline.started_us > *proposed_us {
                continue;
            }
            match timeline.reached_us(*revision) {
                Some(at_us) => self.times.record(at_us.saturating_sub(*proposed_us)),
                None if timeline.stopped_us.is_none() => self.missing += 1,
                None => {}
            }
        }
    }
}
