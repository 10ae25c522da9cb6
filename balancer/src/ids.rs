//! Identifiers that the gateway assigns to requests and endpoints.

/// The identifier of a request; the gateway uses each one only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The identifier of an endpoint (a server). The identifier stays the same when the server's process
/// restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);
