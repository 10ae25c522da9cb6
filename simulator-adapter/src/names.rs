//! Numbers for the names of the protocol.

use std::collections::HashMap;

/// Names numbered from 0 in the order in which they were met.
#[derive(Default)]
pub struct NameInterner {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameInterner {
    /// The number of a name; a new name gets the next one.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_string(), number);
        self.names.push(name.to_string());
        number
    }

    /// The name behind a number that [`NameInterner::number`] gave.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
