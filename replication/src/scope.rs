//! The replicated state: small entries by key, divided into scopes, and changes to single entries.
//!
//! A gateway follows only the scopes that its requests need, and the cost of a change depends on the change,
//! not on the size of the state. Entries are small and names are hashed to [`Key`]s, so that the size of an
//! entry does not depend on names.
use crate::rules::RetryPolicy;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::net::SocketAddrV4;

/// A position in the total order of changes: 1 for the first revision, 0 for none.
pub type Revision = u64;

/// The number of scopes over which the tenants are sharded by key.
pub const TENANT_SHARDS: u32 = 4096;

/// The unit of replication: a follower has all entries of a scope or is fetching them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The zones, in service or lost, by the [`Key`] of the zone's number. Every member follows this scope.
    Zones,
    /// The rules of the whole fleet: the retry policy of each request class. Every member follows this scope.
    Fleet,
    /// The hosts of the service of this number, by the [`Key`] of the host's uid.
    Hosts(u32),
    /// The routes to the service of this number, by the [`Key`] of the route's name.
    Routes(u32),
    /// The tenants of one of [`TENANT_SHARDS`] shards, by the [`Key`] of the tenant's name.
    Tenants(u32),
}

impl Scope {
    /// Returns the scope that contains the tenant under a key.
    pub fn of_tenant(tenant: Key) -> Scope {
        Scope::Tenants((tenant.0 % u64::from(TENANT_SHARDS)) as u32)
    }

    /// Returns whether every member follows this scope.
    pub fn is_global(self) -> bool {
        matches!(self, Scope::Zones | Scope::Fleet)
    }
}

/// A hashed name: the first 64 bits of the name's SHA-256. Among a million names, two have the same key in one
/// of 37 million installations; the proposer of an entry has to reject a name whose key is already taken by
/// another name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Key {
        let hash = Sha256::digest(name.as_bytes());
        Key(u64::from_le_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]]))
    }

    /// Returns the key of a numbered item, such as a zone.
    pub fn from_number(number: u32) -> Key {
        Key(u64::from(number))
    }
}

/// A server of a service, which gets new requests unless it is draining or its zone is out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// The address on which the host listens.
    pub address: SocketAddrV4,
    /// The number of the host's zone.
    pub zone: u16,
    /// Whether the host is draining and gets no new requests.
    pub draining: bool,
    /// The host's capacity in relation to other hosts, in thousandths.
    pub weight_milli: u32,
    /// The time of the host's last start, as Unix time in s; 0 if the start was long ago.
    pub started_s: u32,
}

/// A route to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// The number that the settings give to the class of the route's requests.
    pub class: u16,
    /// Whether the route's requests may be retried.
    pub retry_policy: RetryPolicy,
}

/// The value under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A host, in [`Scope::Hosts`].
    Host(Host),
    /// A route, in [`Scope::Routes`].
    Route(Route),
    /// A tenant's quota over all gateways, in requests a second, in [`Scope::Tenants`].
    Quota(u32),
    /// The retry policy of a class, in [`Scope::Fleet`].
    RetryPolicy(RetryPolicy),
    /// Whether a zone is in service, in [`Scope::Zones`]; a zone without an entry is in service.
    Zone(bool),
}

impl Entry {
    /// Returns whether entries of this kind may be in a scope.
    pub fn fits(&self, scope: Scope) -> bool {
        matches!(
            (self, scope),
            (Entry::Host(_), Scope::Hosts(_))
                | (Entry::Route(_), Scope::Routes(_))
                | (Entry::Quota(_), Scope::Tenants(_))
                | (Entry::RetryPolicy(_), Scope::Fleet)
                | (Entry::Zone(_), Scope::Zones)
        )
    }
}

/// Returns the stricter of two values of one key, either of which may be absent: acting on the result does
/// nothing that one of the values forbids. A host gets new requests only if both values allow requests at the
/// same address; an absent quota is no limit; an absent retry policy allows no retry; an absent zone is in
/// service.
pub fn stricter(scope: Scope, a: Option<Entry>, b: Option<Entry>) -> Option<Entry> {
    match (scope, a, b) {
        (Scope::Hosts(_), Some(Entry::Host(a)), Some(Entry::Host(b))) => {
            let draining = a.draining || b.draining || a.address != b.address;
            Some(Entry::Host(Host { draining, ..a }))
        }
        (Scope::Routes(_), Some(Entry::Route(a)), Some(Entry::Route(b))) => {
            Some(Entry::Route(Route { retry_policy: a.retry_policy.min(b.retry_policy), ..a }))
        }
        (Scope::Fleet, Some(Entry::RetryPolicy(a)), Some(Entry::RetryPolicy(b))) => {
            Some(Entry::RetryPolicy(a.min(b)))
        }
        (Scope::Tenants(_), Some(Entry::Quota(a)), Some(Entry::Quota(b))) => Some(Entry::Quota(a.min(b))),
        (Scope::Tenants(_), a, b) => a.or(b),
        (Scope::Zones, Some(Entry::Zone(a)), Some(Entry::Zone(b))) => Some(Entry::Zone(a && b)),
        (Scope::Zones, a, b) => a.or(b),
        _ => None,
    }
}

/// A change that sets an entry, or removes the entry if `entry` is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The scope of the entry.
    pub scope: Scope,
    /// The key of the entry.
    pub key: Key,
    /// The new value of the entry; `None` removes the entry.
    pub entry: Option<Entry>,
}

/// The changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The revision that makes the changes.
    pub revision: Revision,
    /// The changes of the revision; in a message to a follower, only the changes in the follower's scopes.
    pub changes: Vec<Change>,
}

/// A digest of a set of entries: the sum of the entries' 128-bit hashes, modulo 2^128. A digest can be updated
/// with each change, in any order of changes, and detects errors but not forgeries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// Adds an entry to the set.
    pub fn add(&mut self, scope: Scope, key: Key, entry: &Entry) {
        self.0 = self.0.wrapping_add(hash(scope, key, entry));
    }

    /// Removes an entry that was added before.
    pub fn remove(&mut self, scope: Scope, key: Key, entry: &Entry) {
        self.0 = self.0.wrapping_sub(hash(scope, key, entry));
    }

    /// Adds all entries of another set, which must not have an entry in common with this set.
    pub fn join(&mut self, other: Digest) {
        self.0 = self.0.wrapping_add(other.0);
    }
}

fn hash(scope: Scope, key: Key, entry: &Entry) -> u128 {
    // Encoding these types into memory cannot fail.
    let bytes = postcard::to_allocvec(&(scope, key, entry)).unwrap_or_default();
    let hash = Sha256::digest(bytes);
    hash.iter().take(16).fold(0, |sum, byte| sum << 8 | u128::from(*byte))
}
