//! Runs the simulator adapter: reads the simulator's lines on standard input and replies on standard output.
#![forbid(unsafe_code)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Size of the input buffer and of the output buffer: enough for a typical batch of lines or its reply.
const BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match ternstack_simulator_adapter::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ternstack-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
