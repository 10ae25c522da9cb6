//! Compares queues, distributions and the balancer's rate estimate with known analytical results. Seeds
//! are fixed, so that the results are the same in every run.
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use statrs::distribution::{ChiSquared, ContinuousCDF};
use ternstack_balancer::{
    Action, Arrival, Balancer, DeduplicationScope, EndpointId, EndpointRecord, Event, Idempotency,
    RejectionReason, RequestClass, RequestId, Tenant, UpdateKind,
};
use ternstack_fleet_simulator::policy::single_gateway_settings;
use ternstack_fleet_simulator::world::clients::Arrivals;
use ternstack_fleet_simulator::world::draw::{Shape, Span};
use ternstack_fleet_simulator::world::hosts::{Host, HostAttempt, OfferResult};
use ternstack_fleet_simulator::world::spec::{Kind, Report, World};

/// Mean service time of an attempt, in microseconds.
const MEAN_SERVICE_US: f64 = 100_000.0;

/// Measured means of a queue: waiting time and time in the system in microseconds, number of attempts in the
/// system, and the arrival rate per microsecond.
struct QueueMeans {
    wait: f64,
    stay: f64,
    in_flight_count: f64,
    per_us: f64,
}

/// Simulates a host with Poisson arrivals at `load`, a share of its capacity.
fn simulate_queue(cores: u32, slots: f64, load: f64, shape: Shape, jobs: u64, seed: u64) -> QueueMeans {
    let kind = Kind {
        cores,
        speed: Span::Fixed(1.0),
        slots: Span::Fixed(slots),
        room: Span::Fixed(1e9),
        report: Report { on: false, period_ms: 1e9, ..Report::default() },
        ..Kind::default()
    };
    let mut host = Host::new(0, &kind, seed, 0, (0, 0), 0);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let per_us = load * f64::from(cores) / MEAN_SERVICE_US;
    let (mut now, mut next, mut done) = (0u64, 0.0f64, Vec::new());
    let mut started: Vec<(u64, f64)> = Vec::new();
    let (mut waits, mut stays, mut ended) = (0.0, 0.0, 0u64);
    let (mut samples, mut sum, mut sample_at) = (0u64, 0u64, 0u64);
    while ended < jobs {
        let arrives = next as u64;
        let ends = host.next();
        // Samples the number in the system at fixed times, before the events of the same time.
        while sample_at <= arrives.min(ends) {
            sum += host.in_flight_count() as u64;
            samples += 1;
            sample_at += 20_000;
        }
        now = now.max(arrives.min(ends));
        if ends <= arrives {
            host.advance(now, &mut done);
            for end in done.drain(..) {
                let (at, work) = started[end.id as usize];
                stays += (now - at) as f64;
                waits += (now - at) as f64 - work;
                ended += 1;
            }
        } else {
            let work = MEAN_SERVICE_US * shape.draw(&mut rng);
            let id = started.len() as u64;
            started.push((now, work));
            let attempt = HostAttempt { id, work, wait: 0, key: 0, class: 0, sender: 0, handshake: false };
            assert_eq!(host.offer(now, attempt), OfferResult::Accepted);
            let gap: f64 = Exp1.sample(&mut rng);
            next += gap / per_us;
        }
    }
    let count = ended as f64;
    QueueMeans {
        wait: waits / count,
        stay: stays / count,
        in_flight_count: sum as f64 / samples as f64,
        per_us,
    }
}

fn assert_near(observed: f64, expected: f64, tolerance: f64, name: &str) {
    assert!(
        (observed / expected - 1.0).abs() < tolerance,
        "{name}: observed {observed}, expected {expected}"
    );
}

/// Erlang C formula: the probability that all of `c` cores are busy at an offered load of `a`.
fn erlang_c(c: u32, a: f64) -> f64 {
    let (mut term, mut sum) = (1.0, 1.0);
    for n in 1..c {
        term *= a / f64::from(n);
        sum += term;
    }
    let last = term * a / f64::from(c) * f64::from(c) / (f64::from(c) - a);
    last / (sum + last)
}

#[test]
fn queues_match_theoretical_waiting_times_and_littles_law() {
    let one = simulate_queue(1, 1.0, 0.6, Shape::Exponential, 400_000, 11);
    assert_near(one.wait, 0.6 / 0.4 * MEAN_SERVICE_US, 0.03, "M/M/1");
    let four = simulate_queue(4, 4.0, 0.75, Shape::Exponential, 400_000, 12);
    assert_near(four.wait, erlang_c(4, 3.0) * MEAN_SERVICE_US / (4.0 * 0.25), 0.03, "M/M/4");
    // Pollaczek-Khinchine: half of load / (1 - load), times 1 + the squared coefficient of variation.
    let constant = simulate_queue(1, 1.0, 0.7, Shape::Constant, 200_000, 13);
    assert_near(constant.wait, 0.5 * 0.7 / 0.3 * MEAN_SERVICE_US, 0.03, "M/D/1");
    let lognormal = simulate_queue(1, 1.0, 0.5, Shape::Lognormal { cv: 1.0 }, 500_000, 14);
    assert_near(lognormal.wait, 0.5 * (1.0 + 1.0) * MEAN_SERVICE_US, 0.03, "M/G/1");
    // Under processor sharing, the mean time in the system does not depend on the distribution of the work.
    let shared = simulate_queue(1, 1e9, 0.6, Shape::Lognormal { cv: 1.5 }, 300_000, 15);
    assert_near(shared.stay, MEAN_SERVICE_US / 0.4, 0.03, "M/G/1 shared");
    for (name, observed) in
        [("M/M/1", one), ("M/M/4", four), ("M/D/1", constant), ("M/G/1", lognormal), ("shared", shared)]
    {
        assert_near(observed.in_flight_count, observed.per_us * observed.stay, 0.01, name);
    }
}

/// Returns the p-value of a chi-squared test of observed against expected counts.
fn chi_squared_p_value(observed: &[f64], expected: &[f64]) -> f64 {
    let squares: f64 = observed.iter().zip(expected).map(|(s, k)| (s - k) * (s - k) / k).sum();
    1.0 - ChiSquared::new((observed.len() - 1) as f64).expect("the test has more than one cell").cdf(squares)
}

#[test]
fn arrivals_are_poisson_and_keys_follow_zipfs_law() {
    let world = World { keys: 50, key_zipf: 0.9, ..World::default() };
    let mut arrivals = Arrivals::new(&world, 1000.0, 2000.0, Vec::new(), 21).expect("the world is valid");
    let (mut counts, mut keys, mut gaps, mut last) = (vec![0usize; 2000], vec![0.0; 50], Vec::new(), 0);
    while let Some(message) = arrivals.next(200_000_000) {
        counts[(message.at / 100_000) as usize] += 1;
        keys[message.key as usize - 1] += 1.0;
        gaps.push((message.at - last) as f64);
        last = message.at;
    }
    let all: f64 = keys.iter().sum();
    assert_near(all, 200_000.0, 0.01, "arrivals");
    // Counts per tenth of a second are Poisson with mean 100; the variance equals the mean.
    let variance = counts.iter().map(|n| (*n as f64 - 100.0).powi(2)).sum::<f64>() / counts.len() as f64;
    assert_near(variance, 100.0, 0.1, "variance of counts");
    // Gaps are exponential: a tenth of them lies between any two deciles.
    let mut tenths = [0.0; 10];
    gaps.iter().for_each(|gap| tenths[((1.0 - (-gap / 1000.0).exp()) * 10.0).min(9.0) as usize] += 1.0);
    let p_value = chi_squared_p_value(&tenths, &[all / 10.0; 10]);
    assert!(p_value > 0.001, "gaps: {p_value}");
    let sum: f64 = (1..=50).map(|k| f64::from(k).powf(-0.9)).sum();
    let expected: Vec<f64> = (1..=50).map(|k| all * f64::from(k).powf(-0.9) / sum).collect();
    let p_value = chi_squared_p_value(&keys, &expected);
    assert!(p_value > 0.001, "keys: {p_value}");
}

#[test]
fn drawn_work_has_the_mean_and_variation_of_its_shape() {
    let mut rng = ChaCha8Rng::seed_from_u64(31);
    let mut moments = |shape: Shape| {
        let draws: Vec<f64> = (0..400_000).map(|_| shape.draw(&mut rng)).collect();
        let mean = draws.iter().sum::<f64>() / draws.len() as f64;
        let variance = draws.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / draws.len() as f64;
        (mean, variance.sqrt() / mean)
    };
    for (shape, cv) in [
        (Shape::Constant, 0.0),
        (Shape::Exponential, 1.0),
        (Shape::Lognormal { cv: 1.5 }, 1.5),
        // The squared coefficient of variation of a Pareto distribution is 1 / (tail (tail - 2)).
        (Shape::Pareto { tail: 5.0 }, (1.0f64 / 15.0).sqrt()),
    ] {
        let (mean, observed) = moments(shape);
        assert_near(mean, 1.0, 0.01, "mean");
        assert!((observed - cv).abs() < 0.05, "{shape:?}: {observed}");
    }
}

#[test]
fn balancer_rate_estimate_converges_to_its_analytical_value() {
    const DECAY_PER_MS: f64 = std::f64::consts::LN_2 / 2000.0; // Half-life of the estimate: 2 s.
    const QUOTA_PER_S: f64 = 20.0;
    let class = RequestClass {
        name: "read".into(),
        latency_objective_ms: 1e6,
        deadline_ms: 1e6,
        late_value_ratio: 0.0,
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: 0.0,
    };
    let settings =
        single_gateway_settings(vec![class], vec![Tenant { name: "one".into(), quota_per_s: QUOTA_PER_S }]);
    for gap_ms in [5.0, 20.0] {
        let mut balancer = Balancer::new(settings.clone(), 5).expect("the settings are valid");
        let (mut now, mut actions) = (1000.0, Vec::new());
        let record = EndpointRecord { endpoint: EndpointId(0), weight: 1.0, ..EndpointRecord::default() };
        balancer.handle(
            now,
            Event::EndpointUpdate { kind: UpdateKind::Cached, endpoints: vec![record] },
            &mut actions,
        );
        // No request is ever answered, so that the fleet is full and the quota applies. Retry-After is the
        // time in which the estimate falls to the quota, times 1 to 1.5, so that the smallest of many values
        // gives the estimate.
        let (mut min_retry_after_ms, mut rejected, mut counted) = (f64::INFINITY, 0, 0);
        for n in 0..20_000u64 {
            now += gap_ms;
            actions.clear();
            let arrival =
                Arrival { request: RequestId(n), class: 0, tenant: Some(0), client_timeout_ms: 1e6 };
            balancer.handle(now, Event::Request(arrival), &mut actions);
            if n < 10_000 {
                continue; // Warm-up: 100 half-lives with gaps of 20 ms, 25 with 5 ms.
            }
            counted += 1;
            for action in &actions {
                if let Action::Reject { reason: RejectionReason::QuotaExceeded, retry_after_ms, .. } = action
                {
                    rejected += 1;
                    min_retry_after_ms = min_retry_after_ms.min(*retry_after_ms);
                }
            }
        }
        // Regular arrivals converge to N = 1 / (1 - e^(-lambda gap)), a rate of N lambda.
        let expected = 1000.0 * DECAY_PER_MS / (1.0 - (-DECAY_PER_MS * gap_ms).exp());
        let estimate = QUOTA_PER_S * (DECAY_PER_MS * min_retry_after_ms).exp();
        assert_near(estimate, expected, 0.005, "rate from Retry-After");
        // Above the quota, the share within the quota is admitted.
        assert_near(
            f64::from(rejected) / f64::from(counted),
            1.0 - QUOTA_PER_S / expected,
            0.03,
            "share of rejections",
        );
    }
}
