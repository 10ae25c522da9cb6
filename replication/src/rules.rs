//! Versions of the rules: what is in one, when two contradict each other, and what is within both.
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// How far a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Never once it may have run.
    Never,
    /// For so many ms.
    Within(u64),
    /// At will.
    Always,
}

/// A south side host, as all gateways are to see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Where it listens.
    pub address: String,
    /// It gets nothing new.
    #[serde(default, rename = "drains")]
    pub draining: bool,
}

/// The rules that may change while gateways run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Each tenant's quota over all gateways, in messages a second; a tenant that is not here has none.
    pub quotas: BTreeMap<String, u32>,
    /// How far each class may be repeated; one that is not here never.
    pub classes: BTreeMap<String, RetryPolicy>,
    /// The list in force, by uid.
    pub hosts: BTreeMap<String, Host>,
    /// Discovery's revision of that list.
    pub list_rev: u64,
}

/// Rules with their place in the order that all agree on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedRules {
    /// Its place: 1 for the first. No two versions have the same.
    pub number: u64,
    /// The term of the consensus in which it was agreed.
    pub epoch: u64,
    /// Who proposed it.
    pub proposer: String,
    /// When, as Unix time in ms by the proposer's clock: for readers, never for decisions.
    pub proposed_ms: u64,
    /// What it says.
    pub rules: Rules,
}

impl Rules {
    /// SHA-256 of the canonical bytes, in hexadecimal: the same for the same rules on every machine.
    pub fn digest(&self) -> String {
        // Maps are sorted, and nothing here can fail to be written.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Whether who acts by these rules does nothing that `other` forbids: no higher quota, no repeat that is not allowed
    /// there, no host that is not in service there, or elsewhere.
    pub fn is_within(&self, other: &Rules) -> bool {
        let quotas =
            other.quotas.iter().all(|(tenant, most)| self.quotas.get(tenant).is_some_and(|q| q <= most));
        let repeats = self.classes.iter().all(|(class, r)| *r <= other.retry_policy(class));
        let hosts = self.serving().all(|(uid, host)| other.hosts.get(uid) == Some(host));
        quotas && repeats && hosts
    }

    /// How far a class may be repeated.
    pub fn retry_policy(&self, class: &str) -> RetryPolicy {
        self.classes.get(class).copied().unwrap_or(RetryPolicy::Never)
    }

    /// The hosts that take new work.
    pub fn serving(&self) -> impl Iterator<Item = (&String, &Host)> {
        self.hosts.iter().filter(|(_, host)| !host.draining)
    }

    /// The stricter of each rule of two: within both.
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

/// A rule on which two versions say what cannot both be kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Conflict {
    /// Two quotas of one tenant.
    Quota(String),
    /// A class that may be repeated further here than there.
    #[serde(rename = "repeat")]
    RetryPolicy(String),
    /// A host that takes work here and not there.
    Host(String),
    /// One host at two addresses.
    Address(String),
}

/// All contradictions between two sets of rules, sorted.
pub fn conflicts(a: &Rules, b: &Rules) -> Vec<Conflict> {
    let mut found = Vec::new();
    let keys = |x: Vec<&String>, y: Vec<&String>| {
        let mut all: Vec<String> = x.into_iter().chain(y).cloned().collect();
        all.sort();
        all.dedup();
        all
    };
    for tenant in keys(a.quotas.keys().collect(), b.quotas.keys().collect()) {
        if a.quotas.get(&tenant) != b.quotas.get(&tenant) {
            found.push(Conflict::Quota(tenant));
        }
    }
    for class in keys(a.classes.keys().collect(), b.classes.keys().collect()) {
        if a.retry_policy(&class) != b.retry_policy(&class) {
            found.push(Conflict::RetryPolicy(class));
        }
    }
    for uid in keys(a.hosts.keys().collect(), b.hosts.keys().collect()) {
        let serves = |r: &Rules| r.hosts.get(&uid).is_some_and(|h| !h.draining);
        if serves(a) != serves(b) {
            found.push(Conflict::Host(uid));
        } else if serves(a) && a.hosts.get(&uid) != b.hosts.get(&uid) {
            found.push(Conflict::Address(uid));
        }
    }
    found.sort();
    found
}
