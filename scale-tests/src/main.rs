//! `ternstack-scale-worker`: a process of a fleet by itself, for the tests, which have no laboratory to start.
fn main() -> std::process::ExitCode {
    ternstack_scale_tests::hollow::be_a_part()
}
