//! Typed access to the settings' JSON object, with errors that name the key by its path.

use crate::error::DeploymentError;
use serde_json::Value;

/// An object within the settings. An absent object, a null or a value of another type reads as an empty
/// object.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a> {
    value: Option<&'a Value>,
    /// Precedes the name of a key in its path: empty at the root, otherwise ends in a dot, as in `limits.`.
    path_prefix: &'static str,
}

impl<'a> Section<'a> {
    /// Returns the section of the root object, whose keys have paths without a prefix.
    pub fn root(settings: &'a Value) -> Self {
        Section { value: Some(settings), path_prefix: "" }
    }

    /// Returns the object under the key `name`; the paths of the object's keys begin with `path_prefix`.
    pub fn section(&self, name: &str, path_prefix: &'static str) -> Section<'a> {
        Section { value: self.get(name), path_prefix }
    }

    /// Returns the objects of the list under the key `name`; an absent list has no objects. The paths of the
    /// objects' keys begin with `path_prefix`.
    pub fn sections(
        &self, name: &str, path_prefix: &'static str,
    ) -> Result<impl Iterator<Item = Section<'a>>, DeploymentError> {
        Ok(self.list(name)?.iter().map(move |value| Section { value: Some(value), path_prefix }))
    }

    /// Returns whether the key has a value other than null.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Returns the number under a required key.
    pub fn number(&self, name: &str) -> Result<f64, DeploymentError> {
        let value = self.get(name).ok_or_else(|| DeploymentError::Missing { key: self.path(name) })?;
        value.as_f64().ok_or_else(|| self.invalid_value(name, "a number"))
    }

    /// Returns the number under the key, or `default` if the key is absent.
    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, DeploymentError> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }

    /// Returns the boolean under the key, or `default` if the key is absent.
    pub fn bool_or(&self, name: &str, default: bool) -> Result<bool, DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.as_bool().ok_or_else(|| self.invalid_value(name, "true or false"))
    }

    /// Returns the string under the key, or `default` if the key is absent.
    pub fn string_or(&self, name: &str, default: &'a str) -> Result<&'a str, DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.as_str().ok_or_else(|| self.invalid_value(name, "a string"))
    }

    /// Returns the list of strings under the key; an absent list is empty.
    pub fn strings(&self, name: &str) -> Result<Vec<String>, DeploymentError> {
        let to_string = |value: &Value| value.as_str().map(str::to_string);
        let strings: Option<Vec<String>> = self.list(name)?.iter().map(to_string).collect();
        strings.ok_or_else(|| self.invalid_value(name, "a list of strings"))
    }

    /// Returns the error for a value that is not the `expected` type or one of the `expected` values.
    pub fn invalid_value(&self, name: &str, expected: &'static str) -> DeploymentError {
        DeploymentError::InvalidValue { key: self.path(name), expected }
    }

    /// Returns the error for a string that is not one of the values that the key allows.
    pub fn unknown_value(&self, name: &str, value: &str) -> DeploymentError {
        DeploymentError::UnknownValue { key: self.path(name), value: value.to_string() }
    }

    fn list(&self, name: &str) -> Result<&'a [Value], DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(&[]) };
        value.as_array().map(Vec::as_slice).ok_or_else(|| self.invalid_value(name, "a list"))
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        self.value.and_then(|value| value.get(name)).filter(|value| !value.is_null())
    }

    fn path(&self, name: &str) -> String {
        format!("{}{name}", self.path_prefix)
    }
}
