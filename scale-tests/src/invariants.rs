//! Checks the invariants of a run against evidence collected from the outside: the checks use only what the
//! processes reported, and none of the code that distributes changes.
use crate::timeline::RevisionSpan;
use serde::Serialize;
use std::collections::BTreeMap;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::{Digest, Revision, Scope};

/// The followers that have all of a scope at the end of a run, with one digest in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldScope {
    /// The scope.
    pub scope: Scope,
    /// The digest of the scope at these followers.
    pub digest: Digest,
    /// Number of followers with this digest.
    pub followers: u64,
}

/// The observed effect of draining a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainEvidence {
    /// Description of the host for messages.
    pub host: String,
    /// Number of followers of the host's service that were probed after the bound on a drain had passed.
    pub probed: u64,
    /// Number of probed followers that still sent new requests to the host.
    pub still_sending: u64,
}

/// The evidence that the invariants are checked against.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The digest of each scope with all accepted changes applied; a scope without a digest is empty.
    pub expected_digests: BTreeMap<Scope, Digest>,
    /// The digests that followers have at the end.
    pub held: Vec<HeldScope>,
    /// Number of followers, and number of those that have all their scopes at the origin's revision at the
    /// end.
    pub followers: (u64, u64),
    /// When any follower acted on each revision.
    pub spans: BTreeMap<Revision, RevisionSpan>,
    /// How often an older revision came into force at any follower.
    pub rollbacks: u64,
    /// The drains to be checked.
    pub drains: Vec<DrainEvidence>,
    /// Whether the origin's digest is that of the initial installation with all accepted changes applied.
    pub origin_has_all_changes: bool,
    /// Whether every distributor's digest equals the origin's.
    pub distributors_have_all_changes: bool,
    /// Names of the processes that exited before the end of the run.
    pub exited_processes: Vec<String>,
}

/// An invariant that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// At the end, all followers have the same state.
    SameState,
    /// No follower acts on a revision older than the one it acted on before.
    NeverBack,
    /// No two followers act on different revisions for longer than the lease configuration allows.
    OneVersion,
    /// Followers stop sending requests to a draining host within the bound on a drain.
    Drains,
    /// No accepted change is lost.
    NothingLost,
    /// No process exits before the end of the run.
    Alive,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// What was observed and what was expected, as a sentence.
    #[serde(rename = "words")]
    pub description: String,
}

/// Returns the longest conflict as the earlier revision and a time in us: from the first action on any later
/// revision to the last action on the earlier one. Both are 0 if no two revisions overlap.
pub fn longest_conflict(spans: &BTreeMap<Revision, RevisionSpan>) -> (Revision, u64) {
    let mut longest = (0, 0);
    let mut first_later_us = u64::MAX;
    for (revision, span) in spans.iter().rev() {
        let overlap_us = span.last_us.saturating_sub(first_later_us);
        if overlap_us > longest.1 {
            longest = (*revision, overlap_us);
        }
        first_later_us = first_later_us.min(span.first_us);
    }
    longest
}

/// Returns all violations that the evidence shows.
pub fn check_invariants(evidence: &Evidence, lease: &LeaseConfig) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |invariant, description: String| violations.push(Violation { invariant, description });
    let (all, complete) = evidence.followers;
    if complete < all {
        report(
            Invariant::SameState,
            format!("{} of {all} followers lack a scope or the last revision at the end", all - complete),
        );
    }
    for held in &evidence.held {
        let expected = evidence.expected_digests.get(&held.scope).copied().unwrap_or_default();
        if held.digest != expected {
            let (scope, n) = (held.scope, held.followers);
            report(
                Invariant::SameState,
                format!("{scope:?}: the state at {n} followers differs from the accepted state"),
            );
        }
    }
    if evidence.rollbacks > 0 {
        report(
            Invariant::NeverBack,
            format!("an older revision came into force {} times, expected never", evidence.rollbacks),
        );
    }
    let (revision, longest_us) = longest_conflict(&evidence.spans);
    if longest_us as f64 / 1e3 > lease.max_conflict_ms() {
        let (longest_ms, max_ms) = (longest_us as f64 / 1e3, lease.max_conflict_ms());
        let gateway = evidence.spans.get(&revision).map_or(0, |span| span.last_gateway);
        let description = format!(
            "revision {revision} was acted on for {longest_ms:.0} ms after a later one, last by gateway {gateway}; \
             expected at most {max_ms:.0} ms"
        );
        report(Invariant::OneVersion, description);
    }
    for drain in evidence.drains.iter().filter(|d| d.still_sending > 0) {
        let DrainEvidence { host, probed, still_sending } = drain;
        report(
            Invariant::Drains,
            format!(
                "{still_sending} of {probed} followers still send requests to {host} after the drain's bound"
            ),
        );
    }
    let has_all_changes = [
        ("the origin", evidence.origin_has_all_changes),
        ("a distributor", evidence.distributors_have_all_changes),
    ];
    for (name, _) in has_all_changes.iter().filter(|(_, has_all)| !has_all) {
        report(Invariant::NothingLost, format!("{name} lacks the state that all accepted changes result in"));
    }
    for name in &evidence.exited_processes {
        report(Invariant::Alive, format!("process {name} exited before the end of the run"));
    }
    violations
}
