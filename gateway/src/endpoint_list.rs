//! The endpoint list in discovery's JSON format, and the validation of lists.
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// The state of an endpoint, which says whether the endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EndpointState {
    /// The endpoint takes requests.
    Serving,
    /// The endpoint finishes the requests in flight and takes no new ones.
    Draining,
    /// The endpoint has been removed. Only deltas carry this state.
    Deleted,
}

/// An entry of the endpoint list. Unknown JSON keys are ignored.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name, which is the same at every gateway and after a restart of the endpoint.
    pub uid: String,
    /// The address at which this gateway reaches the endpoint; may be `None` only for a deleted endpoint.
    #[serde(rename = "endpoint")]
    pub address: Option<SocketAddr>,
    /// The name of the endpoint's zone; empty if the list gives none.
    #[serde(rename = "az", default)]
    pub zone: String,
    /// The number of the endpoint's cell. The endpoints of a cell share the deduplication of idempotency
    /// keys.
    #[serde(rename = "pod_group", default)]
    pub cell: u32,
    /// The endpoint's state at the list's revision.
    pub state: EndpointState,
    /// The endpoint's capacity relative to that of other endpoints, 1 by default.
    #[serde(rename = "capacity_hint", default = "default_capacity_weight")]
    pub capacity_weight: f64,
    /// The time of the endpoint's last start, in milliseconds of Unix time; 0 if the endpoint started long
    /// ago.
    #[serde(rename = "boot_ms", default)]
    pub started_at_ms: f64,
}

fn default_capacity_weight() -> f64 {
    1.0
}

/// A complete endpoint list, or a delta that changes the preceding list.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct EndpointList {
    /// The revision of the endpoint list once this list has been applied.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete; false for a delta.
    #[serde(rename = "all")]
    pub is_complete: bool,
    /// All endpoints in a complete list; the added, changed and deleted ones in a delta.
    #[serde(rename = "targets")]
    pub endpoints: Vec<Endpoint>,
}

/// The reason why an endpoint list is rejected.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not valid JSON, or a key is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An endpoint that is not deleted has no address.
    #[error("targets: {uid}: endpoint is missing")]
    MissingAddress {
        /// The name of the endpoint without an address.
        uid: String,
    },
}

impl EndpointList {
    /// Parses and validates a list from JSON text.
    ///
    /// # Errors
    /// Fails on malformed JSON, on a missing or mistyped key, and on an endpoint without an address that is
    /// not deleted.
    pub fn from_slice(text: &[u8]) -> Result<Self, EndpointListError> {
        Self::validated(serde_json::from_slice(text)?)
    }

    /// Parses and validates a list from a JSON value.
    ///
    /// # Errors
    /// Fails on a missing or mistyped key, and on an endpoint without an address that is not deleted.
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
