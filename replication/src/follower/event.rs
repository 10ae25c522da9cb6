//! What a follower reports to its caller.
use crate::scope::{Key, Revision, Scope};

/// The rules that apply in a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeMode {
    /// The entries at this revision, which is in force; the lease lasts.
    InForce(Revision),
    /// The stricter of all known values of each entry: there is no lease, or the scope is stale.
    Conservative,
    /// The scope has not been fetched.
    Unknown,
}

/// What a response has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A revision is in force.
    InForce(Revision),
    /// All revisions up to this one are known.
    Known(Revision),
    /// A scope is complete.
    Complete(Scope),
    /// A scope that was complete is stale; conservative rules apply in it until it is fetched.
    Stale(Scope),
    /// The digest of a scope differs from the lessor's. It is dropped and fetched from the start.
    Restarted(Scope),
    /// A revision in force, or a pending one, changes an entry.
    EntryChanged(Scope, Key),
}

/// Why a response was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// It does not answer the last poll: it is a duplicate, late, or another member's.
    #[error("response to no outstanding poll")]
    Unsolicited,
    /// The lessor does not know which scopes are complete here. The next poll tells it.
    #[error("lessor does not know which scopes are complete here")]
    SubscriptionMismatch,
    /// The lessor knows less, or has an older revision in force, than the follower.
    #[error("lessor is outdated: revision {in_force} in force there, {through} known")]
    Outdated {
        /// The revision in force there.
        in_force: Revision,
        /// The last revision known there.
        through: Revision,
    },
}
