//! Entries of one kind, sorted by key and packed.
use crate::rules::RetryPolicy;
use crate::scope::{Entry, Host, Key, Route, Scope};
use std::net::{Ipv4Addr, SocketAddrV4};

/// A column has spare capacity for one entry per this number of entries, and for one more entry.
const ENTRIES_PER_SPARE_ENTRY: usize = 16;

/// A host in 17 bytes, without padding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PackedHost {
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

/// Keys and their values in two vectors, sorted by key, with little spare capacity.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Column<V> {
    keys: Vec<Key>,
    values: Vec<V>,
}

impl<V> Default for Column<V> {
    fn default() -> Self {
        Column { keys: Vec::new(), values: Vec::new() }
    }
}

/// Returns the spare capacity, in entries, of a column of `len` entries.
fn spare_capacity(len: usize) -> usize {
    len / ENTRIES_PER_SPARE_ENTRY + 1
}

impl<V: Copy> Column<V> {
    /// Sets a value, or removes the value if `value` is `None`. Returns the previous value.
    fn set(&mut self, key: Key, value: Option<V>) -> Option<V> {
        match (self.keys.binary_search(&key), value) {
            (Ok(index), Some(value)) => self.values.get_mut(index).map(|old| std::mem::replace(old, value)),
            (Ok(index), None) => {
                self.keys.remove(index);
                let previous = self.values.remove(index);
                let len = self.keys.len();
                if self.keys.capacity() > len + 2 * spare_capacity(len) {
                    self.keys.shrink_to(len + spare_capacity(len));
                    self.values.shrink_to(len + spare_capacity(len));
                }
                Some(previous)
            }
            (Err(index), Some(value)) => {
                let len = self.keys.len();
                if len == self.keys.capacity() {
                    self.keys.reserve_exact(spare_capacity(len));
                }
                if len == self.values.capacity() {
                    self.values.reserve_exact(spare_capacity(len));
                }
                self.keys.insert(index, key);
                self.values.insert(index, value);
                None
            }
            (Err(_), None) => None,
        }
    }

    fn shrink(&mut self) {
        self.keys.shrink_to_fit();
        self.values.shrink_to_fit();
    }

    fn memory_bytes(&self) -> usize {
        self.keys.capacity() * size_of::<Key>() + self.values.capacity() * size_of::<V>()
    }
}

/// The entries of one scope, which are all of one kind.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum EntryColumn {
    Hosts(Column<PackedHost>),
    Routes(Column<Route>),
    Quotas(Column<u32>),
    RetryPolicies(Column<RetryPolicy>),
    Zones(Column<bool>),
}

/// Evaluates an expression on the [`Column`] of an [`EntryColumn`], whatever the type of its values.
macro_rules! with_column {
    ($entries:expr, $column:ident => $body:expr) => {
        match $entries {
            EntryColumn::Hosts($column) => $body,
            EntryColumn::Routes($column) => $body,
            EntryColumn::Quotas($column) => $body,
            EntryColumn::RetryPolicies($column) => $body,
            EntryColumn::Zones($column) => $body,
        }
    };
}

impl EntryColumn {
    pub fn of(scope: Scope) -> EntryColumn {
        match scope {
            Scope::Hosts(_) => EntryColumn::Hosts(Column::default()),
            Scope::Routes(_) => EntryColumn::Routes(Column::default()),
            Scope::Tenants(_) => EntryColumn::Quotas(Column::default()),
            Scope::Fleet => EntryColumn::RetryPolicies(Column::default()),
            Scope::Zones => EntryColumn::Zones(Column::default()),
        }
    }

    pub fn get(&self, key: Key) -> Option<Entry> {
        self.at(self.keys().binary_search(&key).ok()?)
    }

    /// Sets an entry of the column's kind, or removes the entry if `entry` is `None`. Returns the previous
    /// entry.
    pub fn set(&mut self, key: Key, entry: Option<Entry>) -> Option<Entry> {
        match (self, entry) {
            (EntryColumn::Hosts(column), Some(Entry::Host(host))) => {
                column.set(key, Some(host.into())).map(|host| Entry::Host(host.into()))
            }
            (EntryColumn::Routes(column), Some(Entry::Route(route))) => {
                column.set(key, Some(route)).map(Entry::Route)
            }
            (EntryColumn::Quotas(column), Some(Entry::Quota(quota))) => {
                column.set(key, Some(quota)).map(Entry::Quota)
            }
            (EntryColumn::RetryPolicies(column), Some(Entry::RetryPolicy(policy))) => {
                column.set(key, Some(policy)).map(Entry::RetryPolicy)
            }
            (EntryColumn::Zones(column), Some(Entry::Zone(in_service))) => {
                column.set(key, Some(in_service)).map(Entry::Zone)
            }
            (column, _) => {
                let previous = column.get(key);
                with_column!(column, column => { column.set(key, None); });
                previous
            }
        }
    }

    fn at(&self, index: usize) -> Option<Entry> {
        match self {
            EntryColumn::Hosts(column) => column.values.get(index).map(|host| Entry::Host((*host).into())),
            EntryColumn::Routes(column) => column.values.get(index).copied().map(Entry::Route),
            EntryColumn::Quotas(column) => column.values.get(index).copied().map(Entry::Quota),
            EntryColumn::RetryPolicies(column) => column.values.get(index).copied().map(Entry::RetryPolicy),
            EntryColumn::Zones(column) => column.values.get(index).copied().map(Entry::Zone),
        }
    }

    pub fn entries(&self) -> impl Iterator<Item = (Key, Entry)> + '_ {
        self.keys().iter().enumerate().filter_map(|(index, key)| Some((*key, self.at(index)?)))
    }

    pub fn keys(&self) -> &[Key] {
        with_column!(self, column => &column.keys)
    }

    pub fn shrink(&mut self) {
        with_column!(self, column => column.shrink());
    }

    pub fn memory_bytes(&self) -> usize {
        with_column!(self, column => column.memory_bytes())
    }
}
