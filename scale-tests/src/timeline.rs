//! What a process of hollow gateways keeps of when each acted on which version, and what it tells of that.
use crate::histogram::Times;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use ternstack_replication::scope::Revision;

/// A follower acted on a version from one moment to another, in us.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Period {
    number: Revision,
    from_us: u64,
    to_us: u64,
}

/// One life of a follower.
#[derive(Clone, Debug, Default)]
pub struct Track {
    began_us: u64,
    ended_us: Option<u64>,
    over: Vec<Period>,
    /// Since when it has acted on the version that is in force here, if it holds a lease.
    since_us: Option<u64>,
    in_force: Revision,
    went_back: u64,
    whole_us: Option<u64>,
}

/// From when to when anybody acted on a version, in us of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The first moment.
    pub first_us: u64,
    /// The last one.
    pub last_us: u64,
    /// The number of the gateway that acted on it last.
    pub last_by: usize,
}

impl Span {
    /// Takes another one in.
    pub fn join(&mut self, other: Span) {
        self.first_us = self.first_us.min(other.first_us);
        if other.last_us > self.last_us {
            (self.last_us, self.last_by) = (other.last_us, other.last_by);
        }
    }
}

impl Track {
    /// A life that begins at `at_us`.
    pub fn begins(at_us: u64) -> Track {
        Track { began_us: at_us, ..Track::default() }
    }

    /// A version came into force here.
    pub fn in_force(&mut self, at_us: u64, number: Revision) {
        self.went_back += u64::from(number < self.in_force);
        let acts = self.since_us.is_some();
        self.lost(at_us);
        self.in_force = number;
        if acts {
            self.leased(at_us);
        }
    }

    /// It holds a lease from now on.
    pub fn leased(&mut self, at_us: u64) {
        self.since_us = Some(at_us);
    }

    /// Its lease has run out.
    pub fn lost(&mut self, at_us: u64) {
        if let Some(from_us) = self.since_us.take() {
            // Who gets a lease and a later version with one answer has not acted on the one before.
            if self.in_force > 0 && at_us > from_us {
                self.over.push(Period { number: self.in_force, from_us, to_us: at_us });
            }
        }
    }

    /// All it wants is there.
    pub fn whole(&mut self, at_us: u64) {
        self.whole_us.get_or_insert(at_us);
    }

    /// Whether all it wants has been there.
    pub fn is_whole(&self) -> bool {
        self.whole_us.is_some()
    }

    /// The life ends.
    pub fn ends(&mut self, at_us: u64) {
        self.lost(at_us);
        self.ended_us.get_or_insert(at_us);
    }

    /// How often a version older than the last came into force.
    pub fn went_back(&self) -> u64 {
        self.went_back
    }

    /// When the life began, in us.
    pub fn began_us(&self) -> u64 {
        self.began_us
    }

    /// The version it acts on; 0 where it acts on none.
    pub fn number(&self) -> Revision {
        self.since_us.map_or(0, |_| self.in_force)
    }

    /// From the begin of its life until all was there, in us.
    pub fn took_us(&self) -> Option<u64> {
        Some(self.whole_us?.saturating_sub(self.began_us))
    }

    fn periods(&self, now_us: u64) -> impl Iterator<Item = Period> + '_ {
        let open = self.since_us.filter(|_| self.in_force > 0);
        let open = open.map(|from_us| Period { number: self.in_force, from_us, to_us: now_us.max(from_us) });
        self.over.iter().copied().chain(open)
    }

    /// When this version or a later one was first acted on here.
    fn reached(&self, number: Revision) -> Option<u64> {
        let at = self.over.partition_point(|p| p.number < number);
        let open = || self.since_us.filter(|_| self.in_force >= number);
        self.over.get(at).map(|p| p.from_us).or_else(open)
    }
}

/// From when to when anybody of these acted on each version; each with its gateway's number.
pub fn spans<'a>(tracks: impl Iterator<Item = (usize, &'a Track)>, now_us: u64) -> BTreeMap<Revision, Span> {
    let mut all = BTreeMap::new();
    for (gateway, period) in tracks.flat_map(|(n, t)| t.periods(now_us).map(move |p| (n, p))) {
        let span = Span { first_us: period.from_us, last_us: period.to_us, last_by: gateway };
        all.entry(period.number).and_modify(|s: &mut Span| s.join(span)).or_insert(span);
    }
    all
}

/// Times from a proposal to in force, over followers that lived through it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Reached {
    /// The times, in us.
    pub times: Times,
    /// How many have not got there yet, over all versions.
    pub missing: u64,
}

impl Reached {
    /// Takes in the times from each `(version, proposed at)` to in force at one follower in one of its lives.
    pub fn take(&mut self, track: &Track, versions: &[(Revision, u64)]) {
        for (number, proposed_us) in versions {
            if track.began_us > *proposed_us {
                continue;
            }
            match track.reached(*number) {
                Some(at_us) => self.times.record(at_us.saturating_sub(*proposed_us)),
                None if track.ended_us.is_none() => self.missing += 1,
                None => {}
            }
        }
    }
}
