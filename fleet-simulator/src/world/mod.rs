//! The world outside the gateways: hosts, clients, the front, the network and discovery.
//!
//! Nothing here does I/O or knows a wall clock. Each part is a state machine that is told what happens and when,
//! and tells what follows; [`drive`](crate::drive) owns the clock. Times are whole microseconds.
pub mod clients;
pub mod cores;
pub mod discovery;
pub mod draw;
pub mod front;
pub mod hosts;
pub mod network;
pub mod spec;

/// A point in a run's time, or a length of it, in microseconds.
pub type Us = u64;

/// Milliseconds as microseconds; what is negative or no number counts as 0.
pub fn us(ms: f64) -> Us {
    (ms * 1000.0).round().max(0.0) as Us
}

/// Microseconds as milliseconds.
pub fn ms(us: Us) -> f64 {
    us as f64 / 1000.0
}
