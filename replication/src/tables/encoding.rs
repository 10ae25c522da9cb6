//! The encoding of tables as a map from scopes to maps from keys to entries, which is part of a snapshot.
use super::{Table, Tables};
use crate::scope::{Entry, Key, Scope};
use serde::de::{DeserializeSeed, Error, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

impl Serialize for Tables {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(&self.scopes)
    }
}

impl Serialize for Table {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // The number of entries comes first in the encoding.
        let mut map = serializer.serialize_map(Some(self.entries.keys().len()))?;
        for (key, entry) in self.entries.entries() {
            map.serialize_entry(&key, &entry)?;
        }
        map.end()
    }
}

/// Computes the digests, and rejects entries that are out of order or do not fit their scope.
impl<'de> Deserialize<'de> for Tables {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(TablesVisitor)
    }
}

struct TablesVisitor;

impl<'de> Visitor<'de> for TablesVisitor {
    type Value = Tables;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("scopes in order, each once, with their entries")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tables, A::Error> {
        let mut tables = Tables::new();
        while let Some(scope) = map.next_key::<Scope>()? {
            let last = tables.scopes.last_key_value();
            if last.is_some_and(|(last, _)| *last >= scope) {
                return Err(A::Error::custom("scopes out of order"));
            }
            let table = map.next_value_seed(TableVisitor(scope))?;
            tables.column_bytes += table.entries.memory_bytes();
            tables.scopes.insert(scope, table);
        }
        Ok(tables)
    }
}

struct TableVisitor(Scope);

impl<'de> DeserializeSeed<'de> for TableVisitor {
    type Value = Table;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Table, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for TableVisitor {
    type Value = Table;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "at least one entry of {:?}, in key order", self.0)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Table, A::Error> {
        let mut table = Table::new(self.0);
        // The capacity grows with the decoded entries, because a length from a file cannot be trusted.
        while let Some((key, entry)) = map.next_entry::<Key, Entry>()? {
            if !entry.fits(self.0) || table.entries.keys().last().is_some_and(|last| *last >= key) {
                return Err(A::Error::invalid_value(serde::de::Unexpected::Other("misplaced entry"), &self));
            }
            table.digest.add(self.0, key, &entry);
            table.entries.set(key, Some(entry));
        }
        if table.entries.keys().is_empty() {
            return Err(A::Error::invalid_length(0, &self));
        }
        table.entries.shrink();
        Ok(table)
    }
}
