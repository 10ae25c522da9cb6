//! Typed access to a JSON object whose errors name the key by its path.

use crate::error::DeploymentError;
use serde_json::Value;

/// An object within the settings. Absent objects and null values count as empty.
#[derive(Clone, Copy)]
pub(crate) struct Section<'a> {
    value: Option<&'a Value>,
    /// The prefix of a key in its path: empty, or a name with a dot.
    prefix: &'static str,
}

impl<'a> Section<'a> {
    /// The whole settings.
    pub fn root(settings: &'a Value) -> Self {
        Section { value: Some(settings), prefix: "" }
    }

    /// The object under `name`; `prefix` is what its keys' paths begin with.
    pub fn section(&self, name: &str, prefix: &'static str) -> Section<'a> {
        Section { value: self.get(name), prefix }
    }

    /// The objects of the list under `name`, none if it is absent.
    pub fn sections(
        &self, name: &str, prefix: &'static str,
    ) -> Result<impl Iterator<Item = Section<'a>>, DeploymentError> {
        Ok(self.list(name)?.iter().map(move |value| Section { value: Some(value), prefix }))
    }

    /// Whether the key is there.
    pub fn has(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// A number.
    pub fn number(&self, name: &str) -> Result<f64, DeploymentError> {
        let value = self.get(name).ok_or_else(|| DeploymentError::Missing { key: self.path(name) })?;
        value.as_f64().ok_or_else(|| self.not_expected(name, "a number"))
    }

    /// A number, or the default where it is absent.
    pub fn number_or(&self, name: &str, default: f64) -> Result<f64, DeploymentError> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }

    /// A boolean, or the default where it is absent.
    pub fn flag_or(&self, name: &str, default: bool) -> Result<bool, DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.as_bool().ok_or_else(|| self.not_expected(name, "true or false"))
    }

    /// A text, or the default where it is absent.
    pub fn text_or(&self, name: &str, default: &'a str) -> Result<&'a str, DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(default) };
        value.as_str().ok_or_else(|| self.not_expected(name, "text"))
    }

    /// A list of texts, empty where it is absent.
    pub fn texts(&self, name: &str) -> Result<Vec<String>, DeploymentError> {
        let text = |value: &Value| value.as_str().map(str::to_string);
        let texts: Option<Vec<String>> = self.list(name)?.iter().map(text).collect();
        texts.ok_or_else(|| self.not_expected(name, "a list of names"))
    }

    /// The error for a value that is not what the key allows.
    pub fn not_expected(&self, name: &str, expected: &'static str) -> DeploymentError {
        DeploymentError::NotExpected { key: self.path(name), expected }
    }

    /// The error for a word that the key does not know.
    pub fn unknown_word(&self, name: &str, word: &str) -> DeploymentError {
        DeploymentError::UnknownWord { key: self.path(name), word: word.to_string() }
    }

    fn list(&self, name: &str) -> Result<&'a [Value], DeploymentError> {
        let Some(value) = self.get(name) else { return Ok(&[]) };
        value.as_array().map(Vec::as_slice).ok_or_else(|| self.not_expected(name, "a list"))
    }

    fn get(&self, name: &str) -> Option<&'a Value> {
        self.value.and_then(|value| value.get(name)).filter(|value| !value.is_null())
    }

    fn path(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}
