//! The gateway's clock.

mod common;
use ternstack_gateway::clock::Clock;

#[tokio::test(start_paused = true)]
async fn the_clock_follows_unix_time_and_its_instants_are_never_early() {
    let clock = Clock::start();
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    assert!((clock.now() - unix.as_secs_f64() * 1000.0).abs() < 60_000.0);
    let start = clock.now();
    for n in 0..20_000 {
        let ms = start + f64::from(n) * 0.377;
        assert!(clock.at(clock.instant(ms)) >= ms, "{n}");
    }
    tokio::time::sleep_until(clock.instant(start + 12.3)).await;
    assert!(clock.now() >= start + 12.3 && clock.now() < start + 15.0);
    assert!(clock.instant(f64::INFINITY) > clock.instant(start));
}
