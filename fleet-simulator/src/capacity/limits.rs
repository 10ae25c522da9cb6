//! Ways to enforce a tenant's limit over many gateways, each of which rarely sees the tenant: cost in bytes,
//! delay, and error. The chosen way is also simulated with a fixed seed.
use super::Capacity;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution, Poisson};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Parameters of the comparison. Times are in seconds, sizes in bytes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitTerms {
    /// Quota of a tenant as a multiple of its mean rate.
    pub quota_by_mean: f64,
    /// Window over which a tenant's rate is counted.
    pub window_s: f64,
    /// Largest number of samples per window; a tenant that would exceed it at its quota is sampled down.
    pub samples: f64,
    /// Longest delay before each hop (gateway to distributor, distributor to owner, and back).
    pub step_s: f64,
    /// Latency of each hop.
    pub way_s: f64,
    /// Share of the tenants that exceed their quota at a time.
    pub over_part: f64,
    /// Time for which gateways apply the last decision about a tenant over its quota.
    pub hold_s: f64,
    /// Size of a tenant's key.
    pub key_bytes: f64,
    /// Size of a count, or of the share to admit.
    pub count_bytes: f64,
    /// Overhead of a message of its own: frame head and checksum, TCP and IP headers.
    pub message_bytes: f64,
    /// Standard deviations that the bound allows for; one window in 740 exceeds 3.
    pub deviations: f64,
    /// Seed of the simulation.
    pub seed: u64,
}

impl LimitTerms {
    /// Returns the parameters, by the names under which rows refer to them.
    pub fn named_values(&self) -> [(&'static str, f64); 13] {
        [
            ("limits_quota_by_mean", self.quota_by_mean),
            ("limits_window_s", self.window_s),
            ("limits_samples", self.samples),
            ("limits_step_s", self.step_s),
            ("limits_way_s", self.way_s),
            ("limits_over_part", self.over_part),
            ("limits_hold_s", self.hold_s),
            ("limits_key_bytes", self.key_bytes),
            ("limits_count_bytes", self.count_bytes),
            ("limits_message_bytes", self.message_bytes),
            ("limits_deviations", self.deviations),
            ("limits_entry_bytes", self.key_bytes + self.count_bytes),
            ("limits_told_s", self.reaction_s()),
        ]
    }

    /// Checks all values; the error names the first invalid key.
    pub fn check(&self) -> Result<(), String> {
        let unsound = self.named_values().into_iter().find(|(_, v)| !(v.is_finite() && *v > 0.0));
        match unsound {
            Some((key, _)) => {
                Err(format!("{}: expected a number above 0", key.trim_start_matches("limits_")))
            }
            None if self.over_part > 1.0 => Err("over_part: expected at most 1".into()),
            None => Ok(()),
        }
    }

    /// Returns the longest time from a request until the gateways act on it: four hops, up and down through a
    /// distributor.
    pub fn reaction_s(&self) -> f64 {
        4.0 * (self.step_s + self.way_s)
    }

    /// Returns the share of a tenant's requests that is counted, by its quota in requests per second.
    pub fn sampled_share(&self, quota: f64) -> f64 {
        (self.samples / (quota * self.window_s)).min(1.0)
    }

    /// Returns the relative error of the estimated rate: `deviations / root of (samples in a window at the
    /// quota)`.
    pub fn relative_error(&self, quota: f64) -> f64 {
        self.deviations / (self.sampled_share(quota) * quota * self.window_s).sqrt()
    }

    /// Returns the steady throughput, as a multiple of the quota, of a tenant that always requests more: `1 /
    /// (1 - error)`, or `None` if the error is 1 or more.
    pub fn max_steady_throughput(&self, quota: f64) -> Option<f64> {
        let error = self.relative_error(quota);
        (error < 1.0).then(|| 1.0 / (1.0 - error))
    }

    /// Returns the mean throughput in the first window of a tenant that suddenly requests `rate`, as a
    /// multiple of the quota: `1 + ln(rate / quota)` while the count fills, plus `rate x reaction_s` until
    /// the gateways react.
    pub fn first_window_throughput(&self, quota: f64, rate: f64) -> f64 {
        1.0 + (rate / quota).ln().max(0.0) + rate * self.reaction_s() / (quota * self.window_s)
    }
}

/// Sizes of the platform that the comparison uses.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Number of gateways.
    pub gateways: f64,
    /// Number of tenants.
    pub tenants: f64,
    /// Requests per second over all gateways.
    pub requests: f64,
    /// Budget of control traffic of a gateway, in bytes per second.
    pub budget: f64,
}

impl Sizes {
    /// Looks up the sizes in a capacity file.
    ///
    /// # Errors
    ///
    /// Names the size that the file lacks.
    pub fn of(capacity: &Capacity) -> Result<Self, String> {
        let figures = capacity.figures().map_err(|(_, problem)| problem)?;
        let get = |name: &str| {
            let found = figures.get(name).copied();
            found.ok_or_else(|| {
                format!("size: expected an entry named {name}, which the table of limits needs")
            })
        };
        Ok(Sizes {
            gateways: get("gateways")?,
            tenants: get("tenants")?,
            requests: get("requests_per_s")?,
            budget: get("gateway_bytes_per_s")?,
        })
    }

    /// Returns the mean requests per second of a tenant.
    pub fn mean_requests_per_s(&self) -> f64 {
        self.requests / self.tenants
    }
}

/// A way to enforce a limit.
#[derive(Clone, Debug, Serialize)]
pub struct Approach {
    /// Name of the way.
    pub name: &'static str,
    /// Formula of `bytes_per_s`.
    pub formula: String,
    /// Traffic at a gateway in both directions, in bytes per second.
    pub bytes_per_s: f64,
    /// Time until gateways act on a tenant's requests, in seconds.
    pub late_s: f64,
    /// How far a mean tenant may exceed its quota.
    pub error: String,
    /// Decision for or against the way.
    pub verdict: String,
}

/// Returns the compared ways, for tenants of the mean size.
pub fn approaches(t: &LimitTerms, s: &Sizes) -> Vec<Approach> {
    let at_gateway = s.requests / s.gateways;
    let quota = t.quota_by_mean * s.mean_requests_per_s();
    let in_window = quota * t.window_s;
    let entry = t.key_bytes + t.count_bytes;
    let percent = |part: f64| format!("{:.0}%", 100.0 * part);
    let asked_bytes = at_gateway * 2.0 * (entry + t.message_bytes);
    let returned_bytes = s.tenants * t.over_part / t.hold_s * entry;
    let counted_bytes = at_gateway * entry * t.sampled_share(quota);
    let verdict = |bytes: f64| format!("{} of the budget", percent(bytes / s.budget));
    // Sketch whose error does not exceed that of the counts: width e / error, of all requests in a window.
    let error = 1.0 / in_window.sqrt();
    let cells = std::f64::consts::E * s.requests * t.window_s / (error * in_window);
    let depth = 4.0;
    let sketches = at_gateway * depth * (4.0 + t.count_bytes);
    let gossip_bytes = s.tenants * entry / t.window_s;
    let reuse = s.mean_requests_per_s() * t.window_s / s.gateways;
    vec![
        Approach {
            name: "quota divided by the gateways",
            formula: "0".into(),
            bytes_per_s: 0.0,
            late_s: 0.0,
            error: format!(
                "a gateway's part is {:.4} requests a second: a bucket of 1 lets {:.0} windows' worth through at once, a \
                 smaller one nothing",
                quota / s.gateways,
                s.gateways / in_window
            ),
            verdict: "no: no limit at all, or refuses all".into(),
        },
        Approach {
            name: "shares leased from an owner",
            formula: "requests x 2 x (entry + message)".into(),
            bytes_per_s: asked_bytes,
            late_s: t.window_s,
            error: format!("a share of one request is used {reuse:.4} times in a window"),
            verdict: format!("no: each request asks, {}", verdict(asked_bytes)),
        },
        Approach {
            name: "an owner asked at each request",
            formula: "requests x 2 x (entry + message)".into(),
            bytes_per_s: asked_bytes,
            late_s: 2.0 * t.way_s,
            error: "0".into(),
            verdict: format!(
                "no: {}, and {} ms more for a request",
                verdict(asked_bytes),
                (2000.0 * t.way_s).round()
            ),
        },
        Approach {
            name: "one request in ten told to owners, who tell back who is over",
            formula: "requests x entry / 10 + tenants x over / hold x entry".into(),
            bytes_per_s: at_gateway * entry / 10.0 + returned_bytes,
            late_s: t.reaction_s(),
            error: format!(
                "{} of the quota at {} deviations",
                percent(t.deviations / (in_window / 10.0).sqrt()),
                t.deviations
            ),
            verdict: format!(
                "{}, but no bound for small tenants",
                verdict(at_gateway * entry / 10.0 + returned_bytes)
            ),
        },
        Approach {
            name: "counts told to owners, sampled down only for large tenants",
            formula: "requests x min(1, samples / (quota x window)) x entry + tenants x over / hold x entry"
                .into(),
            bytes_per_s: counted_bytes + returned_bytes,
            late_s: t.reaction_s(),
            error: format!(
                "{} of the quota at {} deviations, for the mean and larger alike",
                percent(t.relative_error(quota)),
                t.deviations
            ),
            verdict: format!("**chosen**: {}", verdict(counted_bytes + returned_bytes)),
        },
        Approach {
            name: "count-min sketches, merged",
            formula: "requests x 4 rows x (cell + count) + tenants x over / hold x entry".into(),
            bytes_per_s: sketches + returned_bytes,
            late_s: t.reaction_s(),
            error: format!("{}, with {:.0} million cells a row at the owner", percent(error), cells / 1e6),
            verdict: format!("no: {}, more than the counts themselves", verdict(sketches + returned_bytes)),
        },
        Approach {
            name: "gossip of all counts",
            formula: "tenants x entry / window, at the least".into(),
            bytes_per_s: gossip_bytes,
            late_s: t.window_s,
            error: "0".into(),
            verdict: format!("no: {}", verdict(gossip_bytes)),
        },
    ]
}

/// Result of a simulated tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TenantOutcome {
    /// Mean throughput as a multiple of the quota.
    pub mean: f64,
    /// Share of the steps in which the rate was underestimated by more than the bound.
    pub beyond: f64,
    /// Highest throughput over a window as a multiple of the quota.
    pub worst: f64,
    /// Share of the requests that were rejected.
    pub refused: f64,
}

/// Length of a simulation step, in seconds.
const STEP_S: f64 = 0.1;

/// Simulates a tenant with Poisson arrivals at `rate` per second from 0 s on. Its requests are counted or
/// sampled, known to the owner `reaction_s` later, and admitted with probability quota / estimated rate. The
/// result covers `windows` windows from the third on, or from the first if `from_start` is set.
///
/// # Errors
///
/// Fails if the rate is not a number above 0.
pub fn simulate_tenant(
    t: &LimitTerms, quota: f64, rate: f64, windows: usize, from_start: bool, seed: u64,
) -> Result<TenantOutcome, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let arrivals = Poisson::new(rate * STEP_S).map_err(|e| e.to_string())?;
    let draw_binomial = |n: f64, part: f64, rng: &mut ChaCha8Rng| -> Result<f64, String> {
        Ok(Binomial::new(n as u64, part).map_err(|e| e.to_string())?.sample(rng) as f64)
    };
    let part = t.sampled_share(quota);
    let steps = (t.window_s / STEP_S).round() as usize;
    let delay_steps = (t.reaction_s() / STEP_S).ceil() as usize;
    let first = if from_start { 0 } else { 2 * steps + delay_steps };
    // Samples per step, the newest last; the owner does not know the last `delay_steps` of them yet.
    let mut sampled: VecDeque<f64> = VecDeque::new();
    let mut known_samples = 0.0;
    let mut window_admitted: VecDeque<f64> = VecDeque::new();
    let (mut admitted_in_window, mut worst, mut requests, mut admitted_total) = (0.0, 0.0_f64, 0.0, 0.0);
    let (mut counted_steps, mut beyond) = (0.0, 0.0);
    for step in 0..first + windows * steps {
        if sampled.len() > delay_steps {
            known_samples += sampled[sampled.len() - 1 - delay_steps];
        }
        if sampled.len() > delay_steps + steps {
            known_samples -= sampled.pop_front().unwrap_or(0.0);
        }
        let estimated_rate = known_samples / (part * t.window_s);
        let admit_share = if estimated_rate > quota { quota / estimated_rate } else { 1.0 };
        let n: f64 = arrivals.sample(&mut rng);
        let admitted = draw_binomial(n, admit_share, &mut rng)?;
        sampled.push_back(draw_binomial(n, part, &mut rng)?);
        window_admitted.push_back(admitted);
        admitted_in_window += admitted;
        if window_admitted.len() > steps {
            admitted_in_window -= window_admitted.pop_front().unwrap_or(0.0);
        }
        if step < first {
            continue;
        }
        (requests, admitted_total) = (requests + n, admitted_total + admitted);
        if step + 1 >= first + steps {
            worst = worst.max(admitted_in_window / (quota * t.window_s));
        }
        counted_steps += 1.0;
        // The bound applies to the estimated rate of a tenant at or above its quota.
        beyond +=
            f64::from(u8::from(rate >= quota && estimated_rate < rate * (1.0 - t.relative_error(quota))));
    }
    let time = counted_steps * STEP_S;
    Ok(TenantOutcome {
        mean: admitted_total / (quota * time),
        beyond: beyond / counted_steps,
        worst,
        refused: 1.0 - admitted_total / requests,
    })
}
