//! Rules as one document: its content, when two documents conflict, and the stricter of two.
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Whether requests of a class may be retried once they may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// They may not.
    Never,
    /// Within so many ms of the first attempt.
    Within(u64),
    /// At any time.
    Always,
}

/// A server, as a gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its address, as host and port.
    pub address: String,
    /// It gets no new requests.
    #[serde(default, rename = "drains")]
    pub draining: bool,
}

/// The rules that may change while gateways run, as one document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Each tenant's quota over all gateways, in requests per second; a tenant without one is not limited.
    pub quotas: BTreeMap<String, u32>,
    /// The retry policy of each class; the default is [`RetryPolicy::Never`].
    pub classes: BTreeMap<String, RetryPolicy>,
    /// The hosts, by uid.
    pub hosts: BTreeMap<String, Host>,
    /// Discovery's revision of the list of hosts.
    pub list_rev: u64,
}

/// Rules with their place in the total order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedRules {
    /// Its place: 1 for the first. No two have the same.
    pub number: u64,
    /// The term of the consensus in which it was agreed.
    pub epoch: u64,
    /// The proposer's name.
    pub proposer: String,
    /// When it was proposed, as Unix time in ms of the proposer's clock. Informative only.
    pub proposed_ms: u64,
    /// The rules.
    pub rules: Rules,
}

impl Rules {
    /// SHA-256 of the JSON text, in hexadecimal: the same for the same rules on every machine.
    pub fn digest(&self) -> String {
        // The maps are sorted, and encoding these types into memory cannot fail.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Whether acting on these rules does nothing that `other` forbids: no quota is higher, no retry is allowed that is not
    /// allowed there, and each serving host serves there at the same address.
    pub fn is_within(&self, other: &Rules) -> bool {
        let quotas =
            other.quotas.iter().all(|(tenant, most)| self.quotas.get(tenant).is_some_and(|q| q <= most));
        let repeats = self.classes.iter().all(|(class, r)| *r <= other.retry_policy(class));
        let hosts = self.serving().all(|(uid, host)| other.hosts.get(uid) == Some(host));
        quotas && repeats && hosts
    }

    /// The retry policy of a class.
    pub fn retry_policy(&self, class: &str) -> RetryPolicy {
        self.classes.get(class).copied().unwrap_or(RetryPolicy::Never)
    }

    /// The hosts that get new requests.
    pub fn serving(&self) -> impl Iterator<Item = (&String, &Host)> {
        self.hosts.iter().filter(|(_, host)| !host.draining)
    }

    /// The stricter of each rule; the result [is within](Rules::is_within) both.
    pub fn stricter(&self, other: &Rules) -> Rules {
        let mut quotas = self.quotas.clone();
        for (tenant, most) in &other.quotas {
            quotas.entry(tenant.clone()).and_modify(|q| *q = (*q).min(*most)).or_insert(*most);
        }
        let classes =
            self.classes.iter().map(|(class, r)| (class.clone(), (*r).min(other.retry_policy(class))));
        let both = self.serving().filter(|(uid, host)| other.hosts.get(*uid) == Some(*host));
        Rules {
            quotas,
            classes: classes.collect(),
            hosts: both.map(|(uid, host)| (uid.clone(), host.clone())).collect(),
            list_rev: self.list_rev.min(other.list_rev),
        }
    }
}

/// A rule on which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// A tenant has different quotas.
    Quota(String),
    /// A class has different retry policies.
    #[serde(rename = "repeat")]
    RetryPolicy(String),
    /// A host gets new requests by one of the two only.
    Host(String),
    /// A host has different addresses.
    Address(String),
}

/// All conflicts between two documents, sorted.
pub fn conflicts(a: &Rules, b: &Rules) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let keys = |x: Vec<&String>, y: Vec<&String>| {
        let mut all: Vec<String> = x.into_iter().chain(y).cloned().collect();
        all.sort();
        all.dedup();
        all
    };
    for tenant in keys(a.quotas.keys().collect(), b.quotas.keys().collect()) {
        if a.quotas.get(&tenant) != b.quotas.get(&tenant) {
            conflicts.push(Conflict::Quota(tenant));
        }
    }
    for class in keys(a.classes.keys().collect(), b.classes.keys().collect()) {
        if a.retry_policy(&class) != b.retry_policy(&class) {
            conflicts.push(Conflict::RetryPolicy(class));
        }
    }
    for uid in keys(a.hosts.keys().collect(), b.hosts.keys().collect()) {
        let serves = |r: &Rules| r.hosts.get(&uid).is_some_and(|h| !h.draining);
        if serves(a) != serves(b) {
            conflicts.push(Conflict::Host(uid));
        } else if serves(a) && a.hosts.get(&uid) != b.hosts.get(&uid) {
            conflicts.push(Conflict::Address(uid));
        }
    }
    conflicts.sort();
    conflicts
}
