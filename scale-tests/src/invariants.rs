//! The judge: looks from outside at what all have told, and knows nothing of how it came about.
use crate::timeline::Span;
use serde::Serialize;
use std::collections::BTreeMap;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::{Digest, Revision, Scope};

/// Who follows a scope and has it whole at the end, by what they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The scope.
    pub scope: Scope,
    /// What it sums up to there.
    pub digest: Digest,
    /// How many hold it so.
    pub followers: u64,
}

/// What was seen of a host that was told to drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Which.
    pub host: String,
    /// Followers of its service that were asked once its bound was over.
    pub asked: u64,
    /// How many of them still gave it work.
    pub still: u64,
}

/// All that is judged.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What scopes sum up to with all that was accepted; one that is not here is empty.
    pub agreed: BTreeMap<Scope, Digest>,
    /// What followers hold at the end.
    pub held: Vec<Held>,
    /// Followers that should be whole at the end, and those that are, at the origin's version.
    pub followers: (u64, u64),
    /// From when to when anybody acted on each version.
    pub spans: BTreeMap<Revision, Span>,
    /// How often anybody acted on an older version than before.
    pub went_back: u64,
    /// Drains that were told and looked after.
    pub drains: Vec<Drain>,
    /// Whether the origin's state sums up to the installation as drawn with all that was accepted since.
    pub origin_keeps_all: bool,
    /// Whether every distributor's does.
    pub distributors_keep_all: bool,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
}

/// What the judge holds against a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// At the end all hold the same.
    SameState,
    /// Nobody acts on an older version than it has said.
    NeverBack,
    /// No two act on different versions for longer than the terms say.
    OneVersion,
    /// A drain is obeyed within its bound.
    Drains,
    /// What was accepted is kept.
    NothingLost,
    /// No process ends by itself.
    Alive,
}

/// An offence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Offence {
    /// Against what.
    pub promise: Promise,
    /// In words.
    pub words: String,
}

/// The longest time, in us, for which two acted on different versions: from the first act on a later version to the last
/// on this one. 0 where that never was.
pub fn longest_contradiction(spans: &BTreeMap<Revision, Span>) -> (Revision, u64) {
    let mut worst = (0, 0);
    let mut later = u64::MAX;
    for (number, span) in spans.iter().rev() {
        let overlap = span.last_us.saturating_sub(later);
        if overlap > worst.1 {
            worst = (*number, overlap);
        }
        later = later.min(span.first_us);
    }
    worst
}

/// All offences.
pub fn judge(evidence: &Evidence, terms: &LeaseConfig) -> Vec<Offence> {
    let mut found = Vec::new();
    let mut tell = |promise, words: String| found.push(Offence { promise, words });
    let (all, there) = evidence.followers;
    if there < all {
        tell(Promise::SameState, format!("{} of {all} followers are not at the end", all - there));
    }
    for held in &evidence.held {
        let agreed = evidence.agreed.get(&held.scope).copied().unwrap_or_default();
        if held.digest != agreed {
            let (scope, n) = (held.scope, held.followers);
            tell(Promise::SameState, format!("{scope:?}: {n} followers hold another state than was agreed"));
        }
    }
    if evidence.went_back > 0 {
        tell(Promise::NeverBack, format!("{} times an older version came into force", evidence.went_back));
    }
    let (number, longest_us) = longest_contradiction(&evidence.spans);
    if longest_us as f64 / 1e3 > terms.max_conflict_ms() {
        let (ms, most) = (longest_us as f64 / 1e3, terms.max_conflict_ms());
        let by = evidence.spans.get(&number).map_or(0, |span| span.last_by);
        let words = format!(
            "version {number} was acted on for {ms:.0} ms beside a later one, at last by gateway {by}; at most \
             {most:.0} ms are promised"
        );
        tell(Promise::OneVersion, words);
    }
    for drain in evidence.drains.iter().filter(|d| d.still > 0) {
        let Drain { host, asked, still } = drain;
        tell(Promise::Drains, format!("{still} of {asked} followers give {host} work after its bound"));
    }
    let keeps =
        [("the origin", evidence.origin_keeps_all), ("a distributor", evidence.distributors_keep_all)];
    for (name, _) in keeps.iter().filter(|(_, keeps)| !keeps) {
        tell(Promise::NothingLost, format!("{name} has not the state that all accepted changes make"));
    }
    for name in &evidence.ended {
        tell(Promise::Alive, format!("{name} ended by itself"));
    }
    found
}
