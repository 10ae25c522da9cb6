//! How far a member has come.
use crate::scope::Revision;

/// The revisions that a member knows and acts on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// All revisions up to this one are known.
    pub known: Revision,
    /// The revision that is acted on.
    pub in_force: Revision,
}

impl Progress {
    /// The lower of both revisions.
    pub fn min(self, other: Progress) -> Progress {
        Progress { known: self.known.min(other.known), in_force: self.in_force.min(other.in_force) }
    }

    /// The higher of both revisions.
    pub fn max(self, other: Progress) -> Progress {
        Progress { known: self.known.max(other.known), in_force: self.in_force.max(other.in_force) }
    }
}
