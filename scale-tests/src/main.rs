//! `ternstack-scale-worker`: a worker process of a fleet as a program of its own, so that the tests can start
//! workers without the fleet simulator's binary.
fn main() -> std::process::ExitCode {
    ternstack_scale_tests::worker::run_worker()
}
