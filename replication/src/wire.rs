//! The protocol between followers and lessors: messages, their frames, and counters of both.
//!
//! A follower polls and a lessor responds; a lessor never pushes. A poll carries everything that its response
//! depends on, so responses may be lost, duplicated or late: a follower accepts only the response to its *last*
//! poll.
mod frame;
mod message;
mod traffic;

pub use frame::{decode, encode, FrameError, FORMAT_VERSION, HEADER_BYTES, MAX_FRAME_BYTES};
pub use message::{
    ChunkEntry, Cursor, Member, Message, PollRequest, PollResponse, ScopeChunk, Status, Subscription,
};
pub use traffic::{Traffic, TrafficByCause, TrafficCount};
