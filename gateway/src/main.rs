//! The executable of the gateway. The program itself is in [`ternstack_gateway::program`].
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    ternstack_gateway::program::main()
}
