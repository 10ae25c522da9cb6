//! The gateway's executable; see [`ternstack_gateway::program`].
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    ternstack_gateway::program::main()
}
