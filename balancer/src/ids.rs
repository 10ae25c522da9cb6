//! Identifiers that the gateway assigns.

/// A request, as numbered by the gateway. An id is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An endpoint (a server), as numbered by the gateway. It stays the same when the server's process
/// restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);
