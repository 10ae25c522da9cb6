//! Compares the cost of one change for two designs: each version of the configuration holds the full state
//! ([`ternstack_replication::rules`]), or a revision holds only its changes
//! ([`ternstack_replication::scope`]).
use crate::installation::Installation;
use serde::{Deserialize, Serialize};
use std::time::Instant;
use ternstack_replication::rules::{conflicts, Host, RetryPolicy, Rules};
use ternstack_replication::scope::{Digest, Entry};

/// The cost of changing one tenant's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FullStateCost {
    /// Bytes sent to each gateway when a version is the full state: the rules as JSON.
    pub bytes: u64,
    /// Time to compute the digest of the full rules, in ms.
    pub digest_ms: f64,
    /// Time to copy the full rules, in ms; a gateway copies them when it looks up which rules are in force.
    #[serde(rename = "look_ms")]
    pub copy_ms: f64,
    /// Time to find the conflicts between two versions of the full rules, in ms.
    #[serde(rename = "contradictions_ms")]
    pub conflicts_ms: f64,
    /// Time to update a scope's digest for one changed entry, in us.
    #[serde(rename = "kept_up_us")]
    pub digest_update_us: f64,
}

fn time_ms<T>(operation: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = operation();
    (start.elapsed().as_secs_f64() * 1e3, result)
}

/// Measures each cost once; only the digest update is the mean of many repetitions.
pub fn measure(installation: &Installation) -> FullStateCost {
    let mut rules = Rules::default();
    for n in 0..installation.size.tenants {
        rules.quotas.insert(format!("tenant-{n}"), 5 + (n % 50) as u32);
    }
    for n in 0..installation.size.hosts as u32 {
        let address = installation.host(n).2.address.to_string();
        rules.hosts.insert(format!("host-{n}"), Host { address, draining: false });
    }
    for n in 0..7 {
        rules.classes.insert(format!("class-{n}"), RetryPolicy::Within(800));
    }
    let bytes = serde_json::to_vec(&rules).map_or(0, |b| b.len() as u64);
    let (digest_ms, _) = time_ms(|| rules.digest());
    let (copy_ms, mut changed_rules) = time_ms(|| rules.clone());
    changed_rules.quotas.insert("tenant-0".into(), 1);
    let (conflicts_ms, _) = time_ms(|| conflicts(&rules, &changed_rules));
    let (scope, key) = installation.tenant(0);
    let mut digest = Digest::default();
    const DIGEST_UPDATES: u32 = 1000;
    let (digest_updates_ms, _) = time_ms(|| {
        for n in 0..DIGEST_UPDATES {
            digest.add(scope, key, &Entry::Quota(n + 1));
            digest.remove(scope, key, &Entry::Quota(n));
        }
    });
    FullStateCost {
        bytes,
        digest_ms,
        copy_ms,
        conflicts_ms,
        digest_update_us: digest_updates_ms * 1e3 / f64::from(DIGEST_UPDATES),
    }
}
