//! State cut into scopes: what gateways agree on, as small entries by key, and changes that name the entries they touch.
//!
//! A gateway follows the scopes that its requests need, and a change costs what it changes, not what there is. All that is
//! in one entry is of a fixed, small size; names are not kept, only [`Key`]s made of them.
use crate::rules::RetryPolicy;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::net::SocketAddrV4;

/// A version's place in the one order that all agree on: 1 for the first, 0 for none.
pub type Revision = u64;

/// How many scopes the tenants are spread over: about 160 of 670,000 in each.
pub const TENANT_SCOPE_COUNT: u32 = 4096;

/// A part of the state that is followed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// Zones that are in service or lost; [`Key`] is the zone's number. Every member follows it.
    Zones,
    /// What holds for the whole fleet, among it how far classes may be repeated. Every member follows it.
    Fleet,
    /// The servers of a service, by the [`Key`] of their uid.
    Hosts(u32),
    /// The routes that lead to a service, by the [`Key`] of their name.
    Routes(u32),
    /// The tenants of one of [`TENANT_SCOPE_COUNT`] shards, by the [`Key`] of their name.
    Tenants(u32),
}

impl Scope {
    /// The scope that holds a tenant.
    pub fn of_tenant(tenant: Key) -> Scope {
        Scope::Tenants((tenant.0 % u64::from(TENANT_SCOPE_COUNT)) as u32)
    }

    /// Whether every member follows it, asked or not.
    pub fn is_global(self) -> bool {
        matches!(self, Scope::Zones | Scope::Fleet)
    }
}

/// A name as it is kept and sent: the first 64 bits of its SHA-256. Among a million names two are alike once in 37 million
/// installations; whoever proposes an entry has to refuse a name whose key is another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        let hash = Sha256::digest(name.as_bytes());
        Key(u64::from_le_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]]))
    }

    /// The key of a number, as zones have.
    pub fn from_number(number: u32) -> Key {
        Key(u64::from(number))
    }
}

/// A server, as all gateways are to see it. It takes new work while it serves and its zone does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The number of its zone.
    pub zone: u16,
    /// It gets nothing new.
    pub draining: bool,
    /// Its size in relation to others, in thousandths.
    pub weight_milli: u32,
    /// Its last start, as Unix time in seconds; 0 for long ago.
    pub started_s: u32,
}

/// A route to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// The number of the class that its requests have in the settings.
    pub class: u16,
    /// How far these may be repeated.
    pub retry_policy: RetryPolicy,
}

/// What is agreed under one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A server, in [`Scope::Hosts`].
    Host(Host),
    /// A route, in [`Scope::Routes`].
    Route(Route),
    /// A tenant's quota over all gateways, in requests a second, in [`Scope::Tenants`].
    Quota(u32),
    /// How far a class may be repeated, in [`Scope::Fleet`].
    RetryPolicy(RetryPolicy),
    /// Whether a zone is in service, in [`Scope::Zones`]. A zone without an entry is.
    Zone(bool),
}

impl Entry {
    /// Whether it may stand in that scope.
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

/// The stricter of two things that may be agreed under one key, either of which may be absent: who acts by it does nothing
/// that one of the two forbids. A server takes work only where both say the same of it; an absent quota is no limit; an
/// absent repeat is none; an absent zone is in service.
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
        (Scope::Tenants(_), one, other) => one.or(other),
        (Scope::Zones, Some(Entry::Zone(a)), Some(Entry::Zone(b))) => Some(Entry::Zone(a && b)),
        (Scope::Zones, one, other) => one.or(other),
        _ => None,
    }
}

/// One entry that is set or, where `entry` is `None`, removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Where.
    pub scope: Scope,
    /// Under which key.
    pub key: Key,
    /// What is there from then on.
    pub entry: Option<Entry>,
}

/// Changes with their place in the order that all agree on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// Its place.
    pub revision: Revision,
    /// What it changes; to a follower, only in the scopes that it has.
    pub changes: Vec<Change>,
}

/// What a set of entries sums up to: the sum, without carry over 128 bits, of a hash of each. It is kept up by change; the
/// order of changes does not matter. It tells mistakes, not forgeries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// Takes an entry in.
    pub fn add(&mut self, scope: Scope, key: Key, entry: &Entry) {
        self.0 = self.0.wrapping_add(hash(scope, key, entry));
    }

    /// Takes an entry out that was taken in.
    pub fn remove(&mut self, scope: Scope, key: Key, entry: &Entry) {
        self.0 = self.0.wrapping_sub(hash(scope, key, entry));
    }

    /// Takes another set in that shares nothing with this one.
    pub fn join(&mut self, other: Digest) {
        self.0 = self.0.wrapping_add(other.0);
    }
}

fn hash(scope: Scope, key: Key, entry: &Entry) -> u128 {
    // Nothing of these types can fail to be written.
    let bytes = postcard::to_allocvec(&(scope, key, entry)).unwrap_or_default();
    let hash = Sha256::digest(bytes);
    hash.iter().take(16).fold(0, |sum, byte| sum << 8 | u128::from(*byte))
}
