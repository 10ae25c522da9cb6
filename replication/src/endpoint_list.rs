//! Which of discovery's lists may be proposed. Discovery at any gateway may be behind, ahead, back in revision, or empty by
//! mistake.
use crate::rules::{Host, Rules};
use std::collections::BTreeMap;

/// A list, or changes in one, as a gateway has read it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Its revision.
    pub revision: u64,
    /// The whole list: who is not in it is gone.
    pub complete: bool,
    /// Hosts by uid; `None` for one that is said to be gone.
    pub hosts: BTreeMap<String, Option<Host>>,
}

/// What becomes of a list that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It says nothing new.
    Outdated,
    /// These rules are to be proposed.
    Propose(Rules),
    /// More than half of the hosts would go without a word about each: a second gateway has to have read the same, or
    /// staff to confirm it. Explicit drains and removals in it are to be proposed meanwhile.
    NeedsConfirmation {
        /// The rules with the explicit changes only.
        meanwhile: Rules,
        /// The rules with all of it.
        all: Rules,
    },
}

/// Looks at a list against the rules in force. `confirmed` once somebody else has read the same.
pub fn validate(in_force: &Rules, list: &EndpointList, confirmed: bool) -> Verdict {
    // An older list never takes the place of a newer one.
    if list.revision <= in_force.list_rev {
        return Verdict::Outdated;
    }
    let mut meanwhile = in_force.clone();
    for (uid, host) in &list.hosts {
        match host {
            Some(host) => drop(meanwhile.hosts.insert(uid.clone(), host.clone())),
            None => drop(meanwhile.hosts.remove(uid)),
        }
    }
    let mut all = meanwhile.clone();
    if list.complete {
        all.hosts.retain(|uid, _| list.hosts.contains_key(uid));
    }
    all.list_rev = list.revision;
    let unsaid = meanwhile.hosts.len() - all.hosts.len();
    if 2 * unsaid > in_force.hosts.len() && !confirmed {
        return Verdict::NeedsConfirmation { meanwhile, all };
    }
    Verdict::Propose(all)
}
