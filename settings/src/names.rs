//! Maps the names of classes, tenants and zones to the numbers that the balancer uses.

/// The names of classes, tenants and zones, each numbered from 0 by its position in the settings.
#[derive(Clone, Debug)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
}

impl NameTable {
    pub(crate) fn new(classes: Vec<String>, tenants: Vec<String>, zones: Vec<String>) -> Self {
        NameTable { classes, tenants, zones }
    }

    /// Returns the index of a class in the settings, or `None` if the settings do not list the class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// Returns the index of a tenant in the settings, or `None` if the settings do not list the tenant.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }

    /// Returns the number of a zone. A zone that is not in the table yet is added with the next free number,
    /// because discovery may report zones that the settings do not list.
    pub fn zone_number(&mut self, name: &str) -> u32 {
        let index = index_of(&self.zones, name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        index as u32
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}
