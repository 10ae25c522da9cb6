//! The events and errors that a follower reports to its caller.
use crate::scope::{Key, Revision, Scope};

/// The rules that apply in a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScopeMode {
    /// The entries at this revision apply, which is in force, because there is a lease.
    InForce(Revision),
    /// The stricter of all known values of each entry applies, because there is no lease or the scope is stale.
    Conservative,
    /// No entry is known, because the scope has not been fetched.
    Unknown,
}

/// A change that a response has made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// This revision has come into force.
    InForce(Revision),
    /// All revisions up to this one have become known.
    Known(Revision),
    /// A scope has become complete.
    Complete(Scope),
    /// A complete scope has become stale, and conservative rules apply in the scope until it is fetched.
    Stale(Scope),
    /// The digest of a scope differs from the lessor's, so the scope is dropped and fetched from the start.
    Restarted(Scope),
    /// A revision in force, or a pending one, changes an entry.
    EntryChanged(Scope, Key),
}

/// The reason why a response was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The response does not answer the last poll, because it is a duplicate, late, or for another member.
    #[error("response does not answer the outstanding poll")]
    Unsolicited,
    /// The lessor does not know which scopes are complete at this follower. The next poll carries the complete
    /// subscription.
    #[error("lessor does not know which scopes are complete at this follower")]
    SubscriptionMismatch,
    /// The lessor knows fewer revisions, or has an older revision in force, than the follower.
    #[error("lessor is outdated: revision {in_force} in force, {through} known")]
    Outdated {
        /// The revision in force at the lessor.
        in_force: Revision,
        /// The last revision that the lessor knows.
        through: Revision,
    },
}
