//! Theory as a test: queues, distributions and the module's rate estimate against what is known of them. Seeds
//! are fixed, so each figure is the same on every run.
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use statrs::distribution::{ChiSquared, ContinuousCDF};
use ternstack_balancer::{
    Action, Arrival, Balancer, DeduplicationScope, EndpointId, EndpointRecord, Event, Idempotency,
    RejectionReason, RequestClass, RequestId, Tenant, UpdateKind,
};
use ternstack_fleet_simulator::policy::alone;
use ternstack_fleet_simulator::world::clients::Arrivals;
use ternstack_fleet_simulator::world::draw::{Shape, Span};
use ternstack_fleet_simulator::world::hosts::{Host, Job, Offer};
use ternstack_fleet_simulator::world::spec::{Kind, Report, World};

/// Mean service of a job, in microseconds.
const SERVICE: f64 = 100_000.0;

/// What a queue showed: mean wait and stay in microseconds, and mean number at hand.
struct Seen {
    wait: f64,
    stay: f64,
    at_hand: f64,
    per_us: f64,
}

/// Feeds a host of so many cores with Poisson arrivals at this part of its capacity.
fn queue(cores: u32, slots: f64, load: f64, shape: Shape, jobs: u64, seed: u64) -> Seen {
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
    let per_us = load * f64::from(cores) / SERVICE;
    let (mut now, mut next, mut done) = (0u64, 0.0f64, Vec::new());
    let mut begun: Vec<(u64, f64)> = Vec::new();
    let (mut waits, mut stays, mut ended) = (0.0, 0.0, 0u64);
    let (mut samples, mut sum, mut sample_at) = (0u64, 0u64, 0u64);
    while ended < jobs {
        let arrives = next as u64;
        let ends = host.next();
        // Samples at fixed times, before what happens then.
        while sample_at <= arrives.min(ends) {
            sum += host.at_hand() as u64;
            samples += 1;
            sample_at += 20_000;
        }
        now = now.max(arrives.min(ends));
        if ends <= arrives {
            host.advance(now, &mut done);
            for end in done.drain(..) {
                let (at, work) = begun[end.id as usize];
                stays += (now - at) as f64;
                waits += (now - at) as f64 - work;
                ended += 1;
            }
        } else {
            let work = SERVICE * shape.draw(&mut rng);
            let id = begun.len() as u64;
            begun.push((now, work));
            let job = Job { id, work, wait: 0, key: 0, class: 0, sender: 0, handshake: false };
            assert_eq!(host.offer(now, job), Offer::Taken);
            let gap: f64 = Exp1.sample(&mut rng);
            next += gap / per_us;
        }
    }
    let count = ended as f64;
    Seen { wait: waits / count, stay: stays / count, at_hand: sum as f64 / samples as f64, per_us }
}

fn near(seen: f64, known: f64, part: f64, what: &str) {
    assert!((seen / known - 1.0).abs() < part, "{what}: {seen} seen, {known} known");
}

/// The chance that all of c servers are busy (Erlang's second formula), for an offered load of a.
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
fn queues_wait_as_theory_says_and_obey_littles_law() {
    let one = queue(1, 1.0, 0.6, Shape::Exponential, 400_000, 11);
    near(one.wait, 0.6 / 0.4 * SERVICE, 0.03, "M/M/1");
    let four = queue(4, 4.0, 0.75, Shape::Exponential, 400_000, 12);
    near(four.wait, erlang_c(4, 3.0) * SERVICE / (4.0 * 0.25), 0.03, "M/M/4");
    // Pollaczek and Khinchine: half of load / (1 - load), times 1 + the squared coefficient of variation.
    let even = queue(1, 1.0, 0.7, Shape::Constant, 200_000, 13);
    near(even.wait, 0.5 * 0.7 / 0.3 * SERVICE, 0.03, "M/D/1");
    let uneven = queue(1, 1.0, 0.5, Shape::Lognormal { cv: 1.0 }, 500_000, 14);
    near(uneven.wait, 0.5 * (1.0 + 1.0) * SERVICE, 0.03, "M/G/1");
    // Shared evenly, the shape of the work does not matter to the mean stay.
    let shared = queue(1, 1e9, 0.6, Shape::Lognormal { cv: 1.5 }, 300_000, 15);
    near(shared.stay, SERVICE / 0.4, 0.03, "M/G/1 shared");
    for (name, seen) in
        [("M/M/1", one), ("M/M/4", four), ("M/D/1", even), ("M/G/1", uneven), ("shared", shared)]
    {
        near(seen.at_hand, seen.per_us * seen.stay, 0.01, name);
    }
}

/// The chance of a sum of squares at least so large under the known chances, where it is no accident.
fn fits(seen: &[f64], known: &[f64]) -> f64 {
    let squares: f64 = seen.iter().zip(known).map(|(s, k)| (s - k) * (s - k) / k).sum();
    1.0 - ChiSquared::new((seen.len() - 1) as f64).expect("more than one cell").cdf(squares)
}

#[test]
fn arrivals_are_poisson_and_keys_follow_zipfs_law() {
    let world = World { keys: 50, key_zipf: 0.9, ..World::default() };
    let mut arrivals = Arrivals::new(&world, 1000.0, 2000.0, Vec::new(), 21).expect("a sound world");
    let (mut counts, mut keys, mut gaps, mut last) = (vec![0usize; 2000], vec![0.0; 50], Vec::new(), 0);
    while let Some(message) = arrivals.next(200_000_000) {
        counts[(message.at / 100_000) as usize] += 1;
        keys[message.key as usize - 1] += 1.0;
        gaps.push((message.at - last) as f64);
        last = message.at;
    }
    let all: f64 = keys.iter().sum();
    near(all, 200_000.0, 0.01, "arrivals");
    // As many in a tenth of a second as a Poisson variable of mean 100: its variance is its mean.
    let variance = counts.iter().map(|n| (*n as f64 - 100.0).powi(2)).sum::<f64>() / counts.len() as f64;
    near(variance, 100.0, 0.1, "variance of counts");
    // Gaps are exponential: each tenth of them lies between two deciles.
    let mut tenths = [0.0; 10];
    gaps.iter().for_each(|gap| tenths[((1.0 - (-gap / 1000.0).exp()) * 10.0).min(9.0) as usize] += 1.0);
    let chance = fits(&tenths, &[all / 10.0; 10]);
    assert!(chance > 0.001, "gaps: {chance}");
    let sum: f64 = (1..=50).map(|k| f64::from(k).powf(-0.9)).sum();
    let known: Vec<f64> = (1..=50).map(|k| all * f64::from(k).powf(-0.9) / sum).collect();
    let chance = fits(&keys, &known);
    assert!(chance > 0.001, "keys: {chance}");
}

#[test]
fn work_has_the_mean_and_spread_that_its_shape_says() {
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
        // The square of a Pareto variable's coefficient of variation is 1 / (tail (tail - 2)).
        (Shape::Pareto { tail: 5.0 }, (1.0f64 / 15.0).sqrt()),
    ] {
        let (mean, seen) = moments(shape);
        near(mean, 1.0, 0.01, "mean");
        assert!((seen - cv).abs() < 0.05, "{shape:?}: {seen}");
    }
}

#[test]
fn the_modules_rate_estimate_converges_as_the_paper_says() {
    const LAMBDA: f64 = std::f64::consts::LN_2 / 2000.0; // The module's half-life is 2 s.
    const QUOTA: f64 = 20.0;
    let class = RequestClass {
        name: "read".into(),
        latency_objective_ms: 1e6,
        deadline_ms: 1e6,
        late_value_ratio: 0.0,
        idempotency: Idempotency::NonIdempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window_ms: 0.0,
    };
    let settings = alone(vec![class], vec![Tenant { name: "one".into(), quota_per_s: QUOTA }]);
    for gap_ms in [5.0, 20.0] {
        let mut balancer = Balancer::new(settings.clone(), 5).expect("sound settings");
        let (mut now, mut actions) = (1000.0, Vec::new());
        let member = EndpointRecord { endpoint: EndpointId(0), weight: 1.0, ..EndpointRecord::default() };
        balancer.handle(
            now,
            Event::EndpointUpdate { kind: UpdateKind::Cached, endpoints: vec![member] },
            &mut actions,
        );
        // Nothing is ever answered, so the fleet is full and the limit binds. Advice is the time that the estimate
        // takes to fall to the limit, times 1 to 1.5: the least of much advice tells the estimate.
        let (mut advice, mut refused, mut counted) = (f64::INFINITY, 0, 0);
        for n in 0..20_000u64 {
            now += gap_ms;
            actions.clear();
            let arrival =
                Arrival { request: RequestId(n), class: 0, tenant: Some(0), client_timeout_ms: 1e6 };
            balancer.handle(now, Event::Request(arrival), &mut actions);
            if n < 10_000 {
                continue; // A hundred half-lives and more at 20 ms; 25 at 5 ms.
            }
            counted += 1;
            for action in &actions {
                if let Action::Reject { reason: RejectionReason::QuotaExceeded, retry_after_ms, .. } = action
                {
                    refused += 1;
                    advice = advice.min(*retry_after_ms);
                }
            }
        }
        // A steady train converges to N = 1 / (1 - e^(-lambda gap)), a rate of N lambda.
        let known = 1000.0 * LAMBDA / (1.0 - (-LAMBDA * gap_ms).exp());
        let estimate = QUOTA * (LAMBDA * advice).exp();
        near(estimate, known, 0.005, "rate by advice");
        // Of what comes over the limit, the part within it is let in.
        near(f64::from(refused) / f64::from(counted), 1.0 - QUOTA / known, 0.03, "part refused");
    }
}
