//! Decides which endpoint lists from discovery may be proposed, because discovery may lag, restart at an older
//! revision, or report an empty list by mistake.
use crate::rules::{Host, Rules};
use std::collections::BTreeMap;

/// A complete list of hosts, or the changes to one, as read from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The revision that discovery gives to the list.
    pub revision: u64,
    /// Whether the list is complete, so that a host that is not in the list has been removed.
    pub complete: bool,
    /// Hosts by uid; `None` for a host that was removed explicitly.
    pub hosts: BTreeMap<String, Option<Host>>,
}

/// The decision about an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The list is ignored, because it is no newer than the rules in force.
    Outdated,
    /// The list may be proposed as these rules.
    Propose(Rules),
    /// More than half of the hosts are missing without an explicit removal, so a second gateway has to read the
    /// same list, or an operator has to confirm the list. Until then only the explicit changes may be proposed.
    NeedsConfirmation {
        /// The rules in force with only the explicit changes of the list: hosts that the list adds, replaces
        /// or explicitly removes.
        explicit_changes: Rules,
        /// The rules in force with all changes of the list, so that hosts missing from the list are removed
        /// too.
        all_changes: Rules,
    },
}

/// Compares an endpoint list with the rules in force. `confirmed` is true if another gateway has read the same
/// list, or if an operator has confirmed the list.
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
    let missing = explicit_changes.hosts.len() - all_changes.hosts.len();
    if 2 * missing > in_force.hosts.len() && !confirmed {
        return Verdict::NeedsConfirmation { explicit_changes, all_changes };
    }
    Verdict::Propose(all_changes)
}
