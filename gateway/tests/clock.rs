//! The gateway's clock.

mod common;
use ternstack_gateway::clock::Clock;

#[tokio::test(start_paused = true)]
async fn clock_times_are_close_to_unix_time_and_instants_are_never_early() {
    let clock = Clock::start();
    let unix_time = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the system time is after 1970");
    assert!((clock.now() - unix_time.as_secs_f64() * 1000.0).abs() < 60_000.0);
    let start_ms = clock.now();
    for step in 0..20_000 {
        let ms = start_ms + f64::from(step) * 0.377;
        assert!(clock.at(clock.instant(ms)) >= ms, "step {step}");
    }
    tokio::time::sleep_until(clock.instant(start_ms + 12.3)).await;
    assert!(clock.now() >= start_ms + 12.3 && clock.now() < start_ms + 15.0);
    assert!(clock.instant(f64::INFINITY) > clock.instant(start_ms));
}
