//! The rules as one document: their content, the conflicts between two documents, and the stricter of two
//! documents.
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Whether requests of a class may be retried when an earlier attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// No retry is allowed.
    Never,
    /// Retries are allowed within this many ms of the first attempt.
    Within(u64),
    /// Retries are allowed at any time.
    Always,
}

/// A host as a gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's address as `host:port`.
    pub address: String,
    /// Whether the host is draining and gets no new requests.
    #[serde(default, rename = "drains")]
    pub draining: bool,
}

/// The rules that may change while gateways run, as one document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Each tenant's quota over all gateways, in requests per second; a tenant without an entry has no limit.
    pub quotas: BTreeMap<String, u32>,
    /// The retry policy of each class; a class without an entry has [`RetryPolicy::Never`].
    pub classes: BTreeMap<String, RetryPolicy>,
    /// The hosts, by uid.
    pub hosts: BTreeMap<String, Host>,
    /// The revision of the endpoint list in discovery that the hosts were taken from.
    pub list_rev: u64,
}

/// Rules with their position in the total order of documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedRules {
    /// The document's position in the total order: 1 for the first. No two documents have the same number.
    pub number: u64,
    /// The term of the consensus in which the document was agreed.
    pub epoch: u64,
    /// The name of the proposer.
    pub proposer: String,
    /// When the document was proposed, as Unix time in ms of the proposer's clock. Informative only.
    pub proposed_ms: u64,
    /// The content of the document.
    pub rules: Rules,
}

impl Rules {
    /// Returns the SHA-256 of the JSON text, in hexadecimal: equal rules have equal digests on every machine.
    pub fn digest(&self) -> String {
        // The maps are sorted, so equal rules have equal JSON, and encoding these types into memory cannot
        // fail.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether acting on these rules does nothing that `other` forbids: no quota is higher, no retry is
    /// allowed that `other` does not allow, and each serving host serves at the same address in `other`.
    pub fn is_within(&self, other: &Rules) -> bool {
        let quotas = other
            .quotas
            .iter()
            .all(|(tenant, limit)| self.quotas.get(tenant).is_some_and(|quota| quota <= limit));
        let retries = self.classes.iter().all(|(class, policy)| *policy <= other.retry_policy(class));
        let hosts = self.serving().all(|(uid, host)| other.hosts.get(uid) == Some(host));
        quotas && retries && hosts
    }

    /// Returns the retry policy of a class.
    pub fn retry_policy(&self, class: &str) -> RetryPolicy {
        self.classes.get(class).copied().unwrap_or(RetryPolicy::Never)
    }

    /// Returns the hosts that get new requests, by uid.
    pub fn serving(&self) -> impl Iterator<Item = (&String, &Host)> {
        self.hosts.iter().filter(|(_, host)| !host.draining)
    }

    /// Returns the stricter of each rule. The result [is within](Rules::is_within) both documents.
    pub fn stricter(&self, other: &Rules) -> Rules {
        let mut quotas = self.quotas.clone();
        for (tenant, limit) in &other.quotas {
            quotas.entry(tenant.clone()).and_modify(|quota| *quota = (*quota).min(*limit)).or_insert(*limit);
        }
        let classes = self
            .classes
            .iter()
            .map(|(class, policy)| (class.clone(), (*policy).min(other.retry_policy(class))));
        let serving_in_both = self.serving().filter(|(uid, host)| other.hosts.get(*uid) == Some(*host));
        Rules {
            quotas,
            classes: classes.collect(),
            hosts: serving_in_both.map(|(uid, host)| (uid.clone(), host.clone())).collect(),
            list_rev: self.list_rev.min(other.list_rev),
        }
    }
}

/// A rule on which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// The tenant of this name has different quotas.
    Quota(String),
    /// The class of this name has different retry policies.
    #[serde(rename = "repeat")]
    RetryPolicy(String),
    /// The host of this uid gets new requests according to only one of the two documents.
    Host(String),
    /// The host of this uid gets new requests at different addresses.
    Address(String),
}

/// Returns all conflicts between two documents, sorted.
pub fn conflicts(a: &Rules, b: &Rules) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let keys = |a: Vec<&String>, b: Vec<&String>| {
        let mut all: Vec<String> = a.into_iter().chain(b).cloned().collect();
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
        let serves = |rules: &Rules| rules.hosts.get(&uid).is_some_and(|host| !host.draining);
        if serves(a) != serves(b) {
            conflicts.push(Conflict::Host(uid));
        } else if serves(a) && a.hosts.get(&uid) != b.hosts.get(&uid) {
            conflicts.push(Conflict::Address(uid));
        }
    }
    conflicts.sort();
    conflicts
}
