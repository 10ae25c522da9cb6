//! State as a gateway storage it: sorted, small, no versions. All hosts, routes and tenants of a large installation are to
//! fit beside each other in the memory a gateway may spend on them.
use crate::rules::RetryPolicy;
use crate::scope::{Digest, Entry, Host, Key, Revision, Route, Scope};
use crate::store::Storage;
use serde::de::{DeserializeSeed, Error, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A server in 17 bytes: without gaps between its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PackedHost {
    ip: [u8; 4],
    port: [u8; 2],
    zone: [u8; 2],
    weight_milli: [u8; 4],
    started_s: [u8; 4],
    draining: bool,
}

impl From<Host> for PackedHost {
    fn from(host: Host) -> Self {
        PackedHost {
            ip: host.address.ip().octets(),
            port: host.address.port().to_le_bytes(),
            zone: host.zone.to_le_bytes(),
            weight_milli: host.weight_milli.to_le_bytes(),
            started_s: host.started_s.to_le_bytes(),
            draining: host.draining,
        }
    }
}

impl From<PackedHost> for Host {
    fn from(packed: PackedHost) -> Self {
        Host {
            address: SocketAddrV4::new(Ipv4Addr::from(packed.ip), u16::from_le_bytes(packed.port)),
            zone: u16::from_le_bytes(packed.zone),
            draining: packed.draining,
            weight_milli: u32::from_le_bytes(packed.weight_milli),
            started_s: u32::from_le_bytes(packed.started_s),
        }
    }
}

/// Values by key, sorted, with a sixteenth of room to grow at most.
#[derive(Clone, Debug, PartialEq)]
struct Sorted<V> {
    keys: Vec<Key>,
    values: Vec<V>,
}

impl<V> Default for Sorted<V> {
    fn default() -> Self {
        Sorted { keys: Vec::new(), values: Vec::new() }
    }
}

/// Room for entries to come, by how many there are.
fn slack(len: usize) -> usize {
    len / 16 + 1
}

impl<V: Copy> Sorted<V> {
    /// Sets or removes; what was there before comes back.
    fn set(&mut self, key: Key, value: Option<V>) -> Option<V> {
        match (self.keys.binary_search(&key), value) {
            (Ok(at), Some(value)) => self.values.get_mut(at).map(|v| std::mem::replace(v, value)),
            (Ok(at), None) => {
                self.keys.remove(at);
                let old = self.values.remove(at);
                let len = self.keys.len();
                if self.keys.capacity() > len + 2 * slack(len) {
                    self.keys.shrink_to(len + slack(len));
                    self.values.shrink_to(len + slack(len));
                }
                Some(old)
            }
            (Err(at), Some(value)) => {
                let len = self.keys.len();
                if len == self.keys.capacity() {
                    self.keys.reserve_exact(slack(len));
                }
                if len == self.values.capacity() {
                    self.values.reserve_exact(slack(len));
                }
                self.keys.insert(at, key);
                self.values.insert(at, value);
                None
            }
            (Err(_), None) => None,
        }
    }

    fn shrink(&mut self) {
        self.keys.shrink_to_fit();
        self.values.shrink_to_fit();
    }

    fn bytes(&self) -> usize {
        self.keys.capacity() * size_of::<Key>() + self.values.capacity() * size_of::<V>()
    }
}

/// Entries of one kind.
#[derive(Clone, Debug, PartialEq)]
enum Kind {
    Hosts(Sorted<PackedHost>),
    Routes(Sorted<Route>),
    Quotas(Sorted<u32>),
    Repeats(Sorted<RetryPolicy>),
    Zones(Sorted<bool>),
}

/// Does the same with the entries, whatever their kind.
macro_rules! each {
    ($kind:expr, $sorted:ident => $does:expr) => {
        match $kind {
            Kind::Hosts($sorted) => $does,
            Kind::Routes($sorted) => $does,
            Kind::Quotas($sorted) => $does,
            Kind::Repeats($sorted) => $does,
            Kind::Zones($sorted) => $does,
        }
    };
}

impl Kind {
    fn of(scope: Scope) -> Kind {
        match scope {
            Scope::Hosts(_) => Kind::Hosts(Sorted::default()),
            Scope::Routes(_) => Kind::Routes(Sorted::default()),
            Scope::Tenants(_) => Kind::Quotas(Sorted::default()),
            Scope::Fleet => Kind::Repeats(Sorted::default()),
            Scope::Zones => Kind::Zones(Sorted::default()),
        }
    }

    fn get(&self, key: Key) -> Option<Entry> {
        self.at(self.keys().binary_search(&key).ok()?)
    }

    /// Sets an entry of this kind, or removes one; what was there before comes back.
    fn set(&mut self, key: Key, entry: Option<Entry>) -> Option<Entry> {
        match (self, entry) {
            (Kind::Hosts(sorted), Some(Entry::Host(host))) => {
                sorted.set(key, Some(host.into())).map(|host| Entry::Host(host.into()))
            }
            (Kind::Routes(sorted), Some(Entry::Route(route))) => {
                sorted.set(key, Some(route)).map(Entry::Route)
            }
            (Kind::Quotas(sorted), Some(Entry::Quota(quota))) => {
                sorted.set(key, Some(quota)).map(Entry::Quota)
            }
            (Kind::Repeats(sorted), Some(Entry::RetryPolicy(repeat))) => {
                sorted.set(key, Some(repeat)).map(Entry::RetryPolicy)
            }
            (Kind::Zones(sorted), Some(Entry::Zone(serves))) => {
                sorted.set(key, Some(serves)).map(Entry::Zone)
            }
            (kind, _) => {
                let old = kind.get(key);
                each!(kind, sorted => { sorted.set(key, None); });
                old
            }
        }
    }

    fn at(&self, at: usize) -> Option<Entry> {
        match self {
            Kind::Hosts(sorted) => sorted.values.get(at).map(|host| Entry::Host((*host).into())),
            Kind::Routes(sorted) => sorted.values.get(at).copied().map(Entry::Route),
            Kind::Quotas(sorted) => sorted.values.get(at).copied().map(Entry::Quota),
            Kind::Repeats(sorted) => sorted.values.get(at).copied().map(Entry::RetryPolicy),
            Kind::Zones(sorted) => sorted.values.get(at).copied().map(Entry::Zone),
        }
    }

    fn entries(&self) -> impl Iterator<Item = (Key, Entry)> + '_ {
        self.keys().iter().enumerate().filter_map(|(at, key)| Some((*key, self.at(at)?)))
    }

    fn keys(&self) -> &[Key] {
        each!(self, sorted => &sorted.keys)
    }

    fn shrink(&mut self) {
        each!(self, sorted => sorted.shrink());
    }

    fn bytes(&self) -> usize {
        each!(self, sorted => sorted.bytes())
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Table {
    kind: Kind,
    digest: Digest,
}

/// Entries by scope and key. A scope without entries takes no memory.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    scopes: BTreeMap<Scope, Table>,
    heap: usize,
}

impl Tables {
    /// Nothing.
    pub fn new() -> Tables {
        Tables::default()
    }

    /// How many entries a scope has.
    pub fn len(&self, scope: Scope) -> usize {
        self.scopes.get(&scope).map_or(0, |table| table.kind.keys().len())
    }

    /// Whether there is no entry at all.
    pub fn is_empty(&self) -> bool {
        self.scopes.is_empty()
    }

    /// The scopes that have entries.
    pub fn scopes(&self) -> impl Iterator<Item = Scope> + '_ {
        self.scopes.keys().copied()
    }

    /// All entries of a scope, by key.
    pub fn entries(&self, scope: Scope) -> impl Iterator<Item = (Key, Entry)> + '_ {
        self.scopes.get(&scope).into_iter().flat_map(|table| table.kind.entries())
    }

    /// What all entries sum up to.
    pub fn total_digest(&self) -> Digest {
        self.scopes.values().fold(Digest::default(), |mut sum, table| {
            sum.join(table.digest);
            sum
        })
    }
}

impl Storage for Tables {
    fn set(&mut self, scope: Scope, key: Key, _: Revision, entry: Option<Entry>) {
        if entry.is_some_and(|entry| !entry.fits(scope))
            || entry.is_none() && !self.scopes.contains_key(&scope)
        {
            return;
        }
        let new = || Table { kind: Kind::of(scope), digest: Digest::default() };
        let table = self.scopes.entry(scope).or_insert_with(new);
        let before = table.kind.bytes();
        if let Some(old) = table.kind.set(key, entry) {
            table.digest.remove(scope, key, &old);
        }
        if let Some(entry) = entry {
            table.digest.add(scope, key, &entry);
        }
        self.heap = self.heap + table.kind.bytes() - before;
        if table.kind.keys().is_empty() {
            self.clear(scope);
        }
    }

    fn get(&self, scope: Scope, key: Key) -> Option<Entry> {
        self.scopes.get(&scope)?.kind.get(key)
    }

    fn clear(&mut self, scope: Scope) {
        if let Some(table) = self.scopes.remove(&scope) {
            self.heap -= table.kind.bytes();
        }
    }

    fn remove_scope(&mut self, scope: Scope) {
        self.clear(scope);
    }

    fn digest(&self, scope: Scope) -> Digest {
        self.scopes.get(&scope).map_or(Digest::default(), |table| table.digest)
    }

    /// Entries by the capacity held for them, exactly; the tree of scopes, which is about three quarters full, as reckoned.
    fn memory_bytes(&self) -> usize {
        self.heap + self.scopes.len() * size_of::<(Scope, Table)>() * 4 / 3
    }
}

/// Equal entries; how much room there is beside them does not count.
impl PartialEq for Tables {
    fn eq(&self, other: &Self) -> bool {
        self.scopes == other.scopes
    }
}

/// A map from scopes to maps from keys to entries.
impl Serialize for Tables {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(&self.scopes)
    }
}

impl Serialize for Table {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        // Counted beforehand, as the encoding needs it.
        use serde::ser::SerializeMap;
        let mut map = to.serialize_map(Some(self.kind.keys().len()))?;
        for (key, entry) in self.kind.entries() {
            map.serialize_entry(&key, &entry)?;
        }
        map.end()
    }
}

/// Digests are computed anew, and entries must be in order and fit their scope.
impl<'de> Deserialize<'de> for Tables {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_map(AllScopes)
    }
}

struct AllScopes;

impl<'de> Visitor<'de> for AllScopes {
    type Value = Tables;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("scopes in order, each once, with their entries")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tables, A::Error> {
        let mut tables = Tables::new();
        while let Some(scope) = map.next_key::<Scope>()? {
            let last = tables.scopes.last_key_value();
            if last.is_some_and(|(last, _)| *last >= scope) {
                return Err(A::Error::custom("scopes that are not in order"));
            }
            let table = map.next_value_seed(OneScope(scope))?;
            tables.heap += table.kind.bytes();
            tables.scopes.insert(scope, table);
        }
        Ok(tables)
    }
}

struct OneScope(Scope);

impl<'de> DeserializeSeed<'de> for OneScope {
    type Value = Table;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Table, D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for OneScope {
    type Value = Table;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "entries of {:?}, one at least, in the order of their keys", self.0)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Table, A::Error> {
        let mut table = Table { kind: Kind::of(self.0), digest: Digest::default() };
        // Room is made as entries come: a length that was read is no reason to trust it.
        while let Some((key, entry)) = map.next_entry::<Key, Entry>()? {
            if !entry.fits(self.0) || table.kind.keys().last().is_some_and(|last| *last >= key) {
                return Err(A::Error::invalid_value(serde::de::Unexpected::Other("another entry"), &self));
            }
            table.digest.add(self.0, key, &entry);
            table.kind.set(key, Some(entry));
        }
        if table.kind.keys().is_empty() {
            return Err(A::Error::invalid_length(0, &self));
        }
        table.kind.shrink();
        Ok(table)
    }
}
