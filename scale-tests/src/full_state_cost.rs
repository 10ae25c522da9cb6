//! What one change costs when a version is the whole state ([`ternstack_replication::rules`]), at the size of a plan, and
//! what it costs as a change ([`ternstack_replication::scope`]).
use crate::installation::World;
use serde::{Deserialize, Serialize};
use std::time::Instant;
use ternstack_replication::rules::{conflicts, Host, RetryPolicy, Rules};
use ternstack_replication::scope::{Digest, Entry};

/// The cost of one change of one quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Before {
    /// Bytes that each gateway is sent: the rules as JSON.
    pub bytes: u64,
    /// A digest of the rules, in ms.
    pub digest_ms: f64,
    /// A copy of the rules, which a look at what to act by takes, in ms.
    pub look_ms: f64,
    /// What two versions contradict each other in, in ms.
    pub contradictions_ms: f64,
    /// The digest of entries kept up by one change, in us.
    pub kept_up_us: f64,
}

fn ms<T>(what: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let done = what();
    (start.elapsed().as_secs_f64() * 1e3, done)
}

/// Measures it, once each.
pub fn measure(world: &World) -> Before {
    let mut rules = Rules::default();
    for n in 0..world.size.tenants {
        rules.quotas.insert(format!("tenant-{n}"), 5 + (n % 50) as u32);
    }
    for n in 0..world.size.hosts as u32 {
        let address = world.host(n).2.address.to_string();
        rules.hosts.insert(format!("host-{n}"), Host { address, draining: false });
    }
    for n in 0..7 {
        rules.classes.insert(format!("class-{n}"), RetryPolicy::Within(800));
    }
    let bytes = serde_json::to_vec(&rules).map_or(0, |b| b.len() as u64);
    let (digest_ms, _) = ms(|| rules.digest());
    let (look_ms, mut other) = ms(|| rules.clone());
    other.quotas.insert("tenant-0".into(), 1);
    let (contradictions_ms, _) = ms(|| conflicts(&rules, &other));
    let (scope, key) = world.tenant(0);
    let mut digest = Digest::default();
    const TIMES: u32 = 1000;
    let (kept_up_ms, _) = ms(|| {
        for n in 0..TIMES {
            digest.add(scope, key, &Entry::Quota(n + 1));
            digest.remove(scope, key, &Entry::Quota(n));
        }
    });
    Before { bytes, digest_ms, look_ms, contradictions_ms, kept_up_us: kept_up_ms * 1e3 / f64::from(TIMES) }
}
