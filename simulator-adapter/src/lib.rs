//! Connects the balancer to the simulator's line protocol: lines become events, actions become lines.
//!
//! One process runs all gateways of a simulated fleet. The simulator sends batches of lines. A time line sets
//! the time of all lines up to the next time line, which may be in a later batch. [`run`] replies to every
//! batch with the lines of the balancers' actions. `protocol` defines the words of the simulator's lines and
//! maps them to the balancer's terms, `events` reads the fields of events, and `reply` writes the lines of
//! actions. The adapter itself makes no load balancing decisions.
#![forbid(unsafe_code)]
#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

mod error;
mod events;
mod fields;
mod gateway;
mod names;
mod protocol;
mod reply;
mod session;

pub use error::{AdapterError, FieldError, LineError};

use session::Session;
use std::io::{BufRead, Write};

/// Reads batches of lines until the end of the input and writes a reply to each batch.
///
/// # Errors
///
/// Returns an error for the first line that cannot be read or is invalid, with the number of the line from 1,
/// and for the first reply that cannot be written.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut text = String::new();
    let mut line_number = 0;
    loop {
        text.clear();
        line_number += 1;
        let bytes_read =
            input.read_line(&mut text).map_err(|source| AdapterError::Read { line_number, source })?;
        if bytes_read == 0 {
            return Ok(());
        }
        let batch_ended = session
            .handle_line(text.trim_end_matches(['\n', '\r']))
            .map_err(|source| AdapterError::Line { line_number, source })?;
        if batch_ended {
            let reply = session.take_reply();
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
        }
    }
}
