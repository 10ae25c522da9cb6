//! Decides which endpoint lists from discovery may be proposed. Discovery may lag, restart at an older revision, or report an
//! empty list by mistake.
use crate::rules::{Host, Rules};
use std::collections::BTreeMap;

/// A list of hosts, or changes in one, as read from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Discovery's revision.
    pub revision: u64,
    /// Whether the list is complete: a host that is not in it is gone.
    pub complete: bool,
    /// Hosts by uid; `None` for one that was removed explicitly.
    pub hosts: BTreeMap<String, Option<Host>>,
}

/// What is to be done with a list.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing: it is no newer than the rules in force.
    Outdated,
    /// Propose these rules.
    Propose(Rules),
    /// More than half of the hosts are missing without an explicit removal: a second gateway has to read the same list, or
    /// an operator has to confirm it. Until then only the explicit changes are proposed.
    NeedsConfirmation {
        /// The rules with the explicit changes only.
        explicit_changes: Rules,
        /// The rules with all changes.
        all_changes: Rules,
    },
}

/// Compares a list with the rules in force. `confirmed` says that another gateway has read the same list, or an operator has
/// confirmed it.
pub fn validate(in_force: &Rules, list: &EndpointList, confirmed: bool) -> Verdict {
    if list.revision <= in_force.list_rev {
        return Verdict::Outdated;
    }
    let mut explicit_changes = in_force.clone();
    for (uid, host) in &list.hosts {
        match host {
            Some(host) => drop(explicit_changes.hosts.insert(uid.clone(), host.clone())),
            None => drop(explicit_changes.hosts.remove(uid)),
        }
    }
    let mut all_changes = explicit_changes.clone();
    if list.complete {
        all_changes.hosts.retain(|uid, _| list.hosts.contains_key(uid));
    }
    all_changes.list_rev = list.revision;
    let missing_count = explicit_changes.hosts.len() - all_changes.hosts.len();
    if 2 * missing_count > in_force.hosts.len() && !confirmed {
        return Verdict::NeedsConfirmation { explicit_changes, all_changes };
    }
    Verdict::Propose(all_changes)
}
