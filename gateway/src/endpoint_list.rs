//! The endpoint list as discovery serves it, and its validation.
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointState {
    /// Takes work.
    Serving,
    /// Draining: finishes what is in flight and takes nothing new.
    Draining,
    /// Removed; only deltas carry this state.
    Deleted,
}

/// One endpoint of the list. Unknown JSON keys are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Its name, the same at every gateway and after a restart.
    pub uid: String,
    /// Its address for this gateway; a deleted endpoint may have none.
    #[serde(rename = "endpoint")]
    pub address: Option<SocketAddr>,
    /// Its zone's name.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// Its cell: endpoints that share deduplication of idempotency keys.
    #[serde(rename = "pod_group", default)]
    pub cell: u32,
    /// Whether it takes work.
    pub state: EndpointState,
    /// Its capacity in relation to the other endpoints'.
    #[serde(rename = "capacity_hint", default = "default_capacity_weight")]
    pub capacity_weight: f64,
    /// Its last start in milliseconds of Unix time; 0 for long ago.
    #[serde(rename = "boot_ms", default)]
    pub started_at_ms: f64,
}

fn default_capacity_weight() -> f64 {
    1.0
}

/// The complete endpoint list or a delta.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EndpointList {
    /// The revision that this list brings its reader to.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// True for a complete list, false for a delta.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// The endpoints listed.
    #[serde(rename = "targets")]
    pub endpoints: Vec<Endpoint>,
}

/// Why an endpoint list cannot be used.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not JSON, or a key is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An endpoint that is not deleted has no address.
    #[error("targets: {uid}: endpoint is missing")]
    MissingAddress {
        /// The endpoint's name.
        uid: String,
    },
}

impl EndpointList {
    /// Parses and validates a list from JSON text.
    ///
    /// # Errors
    /// Fails on malformed JSON and on a list that [`EndpointListError`] describes.
    pub fn from_slice(text: &[u8]) -> Result<Self, EndpointListError> {
        Self::validated(serde_json::from_slice(text)?)
    }

    /// Parses and validates a list from a JSON value.
    ///
    /// # Errors
    /// As [`EndpointList::from_slice`].
    pub fn from_value(value: &Value) -> Result<Self, EndpointListError> {
        Self::validated(Self::deserialize(value)?)
    }

    fn validated(self) -> Result<Self, EndpointListError> {
        let has_no_address =
            |endpoint: &&Endpoint| endpoint.state != EndpointState::Deleted && endpoint.address.is_none();
        match self.endpoints.iter().find(has_no_address) {
            Some(endpoint) => Err(EndpointListError::MissingAddress { uid: endpoint.uid.clone() }),
            None => Ok(self),
        }
    }
}
