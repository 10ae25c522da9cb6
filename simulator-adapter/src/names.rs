//! Numbers for the names that the protocol gives to endpoints and requests.

use std::collections::HashMap;

/// Names, numbered from 0 in the order in which they were first interned.
#[derive(Default)]
pub struct NameInterner {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameInterner {
    /// Returns the number of a name. A new name gets the next number.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_string(), number);
        self.names.push(name.to_string());
        number
    }

    /// Returns the name that [`NameInterner::intern`] numbered.
    ///
    /// # Panics
    ///
    /// Panics if no name has the number.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }
}
