//! The world outside the gateways: hosts, clients, the front end, the network and discovery.
//!
//! The modules do no I/O and read no wall clock. Each part is a state machine that receives events with their
//! times and returns the consequences; [`simulation`](crate::simulation) owns the clock. Times are whole
//! microseconds.
pub mod clients;
pub mod cores;
pub mod discovery;
pub mod draw;
pub mod front;
pub mod hosts;
pub mod network;
pub mod spec;

/// A time within a run, or a duration, in microseconds.
pub type Us = u64;

/// Converts milliseconds to microseconds; negative numbers and NaN give 0.
pub fn us(ms: f64) -> Us {
    (ms * 1000.0).round().max(0.0) as Us
}

/// Converts microseconds to milliseconds.
pub fn ms(us: Us) -> f64 {
    us as f64 / 1000.0
}
