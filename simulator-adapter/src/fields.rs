//! The `name=value` fields of a line.

use crate::error::FieldError;
use std::str::FromStr;

/// Initial capacity for the fields of a line; most lines have no more fields.
const FIELD_CAPACITY: usize = 8;

/// The fields of one line in the order given. A line has few fields, so that a linear search is the fastest
/// lookup.
pub struct Fields<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits the text after the keyword of a line into fields.
    ///
    /// # Errors
    ///
    /// Returns an error for the first part without an equals sign.
    pub fn parse(text: &'a str) -> Result<Self, FieldError> {
        let mut pairs = Vec::with_capacity(FIELD_CAPACITY);
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let pair = part.split_once('=').ok_or_else(|| FieldError::NotAPair { part: part.to_string() })?;
            pairs.push(pair);
        }
        Ok(Fields { pairs })
    }

    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Returns the text of a required field.
    pub fn text(&self, name: &'static str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or(FieldError::Missing { name })
    }

    /// Returns the text of the field, or `default` if the field is absent.
    pub fn text_or(&self, name: &str, default: &'a str) -> &'a str {
        self.get(name).unwrap_or(default)
    }

    /// Parses a required field as a number of type `T`, which may be infinite or NaN if `T` is a float.
    pub fn parsed<T: FromStr>(&self, name: &'static str) -> Result<T, FieldError> {
        let value = self.text(name)?;
        value.parse().map_err(|_| FieldError::NotANumber { name, value: value.to_string() })
    }

    /// Parses the field as a number of type `T`, or returns `default` if the field is absent.
    pub fn parsed_or<T: FromStr>(&self, name: &'static str, default: T) -> Result<T, FieldError> {
        if self.has(name) {
            self.parsed(name)
        } else {
            Ok(default)
        }
    }

    /// Parses a required field as a finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, FieldError> {
        let number: f64 = self.parsed(name)?;
        if number.is_finite() {
            Ok(number)
        } else {
            Err(FieldError::NotFinite { name, value: number.to_string() })
        }
    }

    /// Parses the field as a finite number, or returns `default` if the field is absent.
    pub fn number_or(&self, name: &'static str, default: f64) -> Result<f64, FieldError> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }

    /// Parses the field as a flag, 0 or 1. An absent flag is false.
    pub fn flag(&self, name: &'static str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(FieldError::NotAFlag { name, value: other.to_string() }),
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(field, _)| *field == name).map(|(_, value)| *value)
    }
}
