//! The progress of a member through the revisions.
use crate::scope::Revision;

/// The revisions that a member knows and acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The member knows all revisions up to this one.
    pub known: Revision,
    /// The revision that the member acts on.
    pub in_force: Revision,
}

impl Progress {
    /// Returns the lower one of both members' revisions, separately for known and in force.
    pub fn min(self, other: Progress) -> Progress {
        Progress { known: self.known.min(other.known), in_force: self.in_force.min(other.in_force) }
    }

    /// Returns the higher one of both members' revisions, separately for known and in force.
    pub fn max(self, other: Progress) -> Progress {
        Progress { known: self.known.max(other.known), in_force: self.in_force.max(other.in_force) }
    }
}
