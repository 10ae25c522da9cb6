//! Speaks the simulator's line protocol on standard input and output.
#![forbid(unsafe_code)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Buffer for each direction: large enough for a typical batch.
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
