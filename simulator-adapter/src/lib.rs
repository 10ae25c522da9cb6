//! The balancer on the simulator's line protocol: lines become events, actions become lines.
//!
//! One process plays all gateways of a simulated fleet. The simulator sends batches of lines, in which a
//! time line sets the time of the lines that follow, in this batch and the next ones. [`run`] answers every
//! batch with the lines of the actions that came of it. `protocol` holds the words of the simulator's
//! lines and maps them to the balancer's terms, `events` reads the fields of events, and `reply` writes
//! actions in the protocol's words. No decision is made here.
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

/// Reads batches until the end of the input and writes the reply to each.
///
/// # Errors
///
/// The first line that cannot be read or understood, by its number from 1, or a reply that cannot be written.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut text = String::new();
    let mut line = 0;
    loop {
        text.clear();
        line += 1;
        let length = input.read_line(&mut text).map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            return Ok(());
        }
        let batch_ended = session
            .take_line(text.trim_end_matches(['\n', '\r']))
            .map_err(|source| AdapterError::Line { line, source })?;
        if batch_ended {
            let reply = session.take_reply();
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
        }
    }
}
