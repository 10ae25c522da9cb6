//! The `name=value` parts of a line.

use std::str::FromStr;

/// The parts of one line, in the order given. A line has few, so they are looked up by a walk.
pub struct Fields<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    pub fn new(rest: &'a str) -> Result<Self, String> {
        let mut pairs = Vec::with_capacity(8);
        for part in rest.split(' ').filter(|part| !part.is_empty()) {
            pairs.push(part.split_once('=').ok_or_else(|| format!("{part} is no name=value part"))?);
        }
        Ok(Fields { pairs })
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.get(name).ok_or_else(|| format!("{name} is missing"))
    }

    pub fn text_or(&self, name: &str, default: &'a str) -> &'a str {
        self.get(name).unwrap_or(default)
    }

    pub fn parsed<T: FromStr>(&self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name}={text} cannot be read as a number"))
    }

    pub fn number(&self, name: &str) -> Result<f64, String> {
        let value: f64 = self.parsed(name)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{name}={value} is no finite number"))
        }
    }

    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, String> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }

    pub fn flag(&self, name: &str) -> Result<bool, String> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{name}={other} is neither 0 nor 1")),
        }
    }
}
