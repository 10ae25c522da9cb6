//! The `name=value` fields of a line.

use crate::error::FieldError;
use std::str::FromStr;

/// The number of fields that most lines have at most.
const USUAL_FIELD_COUNT: usize = 8;

/// The fields of one line, in the order given. A line has few, so a linear search finds them fastest.
pub struct Fields<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits what follows the line's word.
    pub fn parse(text: &'a str) -> Result<Self, FieldError> {
        let mut pairs = Vec::with_capacity(USUAL_FIELD_COUNT);
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let pair = part.split_once('=').ok_or_else(|| FieldError::NotAPair { part: part.to_string() })?;
            pairs.push(pair);
        }
        Ok(Fields { pairs })
    }

    /// Whether the field is there.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// A required text.
    pub fn text(&self, name: &'static str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or(FieldError::Missing { name })
    }

    /// A text, or the default where it is absent.
    pub fn text_or(&self, name: &str, default: &'a str) -> &'a str {
        self.get(name).unwrap_or(default)
    }

    /// A required number of any type.
    pub fn parsed<T: FromStr>(&self, name: &'static str) -> Result<T, FieldError> {
        let value = self.text(name)?;
        value.parse().map_err(|_| FieldError::NotANumber { name, value: value.to_string() })
    }

    /// A number of any type, or the default where it is absent.
    pub fn parsed_or<T: FromStr>(&self, name: &'static str, default: T) -> Result<T, FieldError> {
        if self.has(name) {
            self.parsed(name)
        } else {
            Ok(default)
        }
    }

    /// A required finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, FieldError> {
        let number: f64 = self.parsed(name)?;
        if number.is_finite() {
            Ok(number)
        } else {
            Err(FieldError::NotFinite { name, value: number.to_string() })
        }
    }

    /// A finite number, or the default where it is absent.
    pub fn number_or(&self, name: &'static str, default: f64) -> Result<f64, FieldError> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }

    /// A flag, 0 or 1; 0 where it is absent.
    pub fn flag(&self, name: &'static str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(FieldError::NotAFlag { name, value: other.to_string() }),
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }
}
