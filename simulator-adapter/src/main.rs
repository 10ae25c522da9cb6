//! Speaks the bench's line protocol on standard input and output. It translates and decides nothing.
#![forbid(unsafe_code)]

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match ternstack_simulator_adapter::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("ternstack-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
