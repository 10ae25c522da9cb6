//! The names behind the balancer's numbers.

/// The names of classes, tenants and zones, each numbered by its place in the settings.
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

    /// The index of a class in the settings; `None` if they do not list it.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// The index of a tenant in the settings; `None` if they do not list it.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }

    /// The number of a zone. A zone that has not been seen before gets the next number.
    pub fn zone_number(&mut self, name: &str) -> u32 {
        let index = index_of(&self.zones, name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        index as u32
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
