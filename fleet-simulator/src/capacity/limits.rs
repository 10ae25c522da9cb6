//! A tenant's limit over many gateways, each of which sees the tenant seldom: what each way of holding it costs in bytes, how
//! late it is, and how wrong. The way that is chosen is played through as well, with a fixed seed.
use super::Capacity;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution, Poisson};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What the ways are weighed with. Times are seconds, sizes bytes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// A tenant's quota by what it asks for in the mean.
    pub quota_by_mean: f64,
    /// Over so long a tenant's rate is counted.
    pub window_s: f64,
    /// A tenant that would bring more samples than this in a window at its quota is sampled down to them.
    pub samples: f64,
    /// Every step (gateway to distributor, distributor to owner, and back) waits so long at most.
    pub step_s: f64,
    /// And is under way so long.
    pub way_s: f64,
    /// The part of all tenants that is over its quota at a time.
    pub over_part: f64,
    /// What gateways are told of a tenant that is over stands so long.
    pub hold_s: f64,
    /// A tenant's key.
    pub key_bytes: f64,
    /// A count, or the part to let through.
    pub count_bytes: f64,
    /// What goes with each message that is not one with others: head and checksum, TCP and IP.
    pub message_bytes: f64,
    /// How many deviations the bound allows for: 3 is passed by one window in 740.
    pub deviations: f64,
    /// The seed of the play.
    pub seed: u64,
}

impl Terms {
    /// Its figures, by the names that rows have for them.
    pub fn named(&self) -> [(&'static str, f64); 13] {
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
            ("limits_told_s", self.told_s()),
        ]
    }

    /// Names the first key that cannot be worked with.
    pub fn check(&self) -> Result<(), String> {
        let unsound = self.named().into_iter().find(|(_, v)| !(v.is_finite() && *v > 0.0));
        match unsound {
            Some((key, _)) => {
                Err(format!("{}: expected a number above 0", key.trim_start_matches("limits_")))
            }
            None if self.over_part > 1.0 => Err("over_part: expected a part, at most 1".into()),
            None => Ok(()),
        }
    }

    /// From a request to the gateways' acting on it, at the latest: four steps, up and down through a distributor.
    pub fn told_s(&self) -> f64 {
        4.0 * (self.step_s + self.way_s)
    }

    /// The part of a tenant's requests that is counted, by its quota in requests a second.
    pub fn sampled(&self, quota: f64) -> f64 {
        (self.samples / (quota * self.window_s)).min(1.0)
    }

    /// How far the rate may be misjudged: `deviations / root of (samples in a window at the quota)`.
    pub fn error(&self, quota: f64) -> f64 {
        self.deviations / (self.sampled(quota) * quota * self.window_s).sqrt()
    }

    /// What a tenant that asks steadily for more than its quota may get, by the quota: `1 / (1 - error)`, and none where
    /// the error is 1 or more.
    pub fn most_steadily(&self, quota: f64) -> Option<f64> {
        let error = self.error(quota);
        (error < 1.0).then(|| 1.0 / (1.0 - error))
    }

    /// What a tenant that was silent gets in the first window after it began to ask for `rate`, in windows of its quota, in
    /// the mean: `1 + ln(rate / quota)` while the count fills, and `rate x told_s` before anybody hears.
    pub fn first_window(&self, quota: f64, rate: f64) -> f64 {
        1.0 + (rate / quota).ln().max(0.0) + rate * self.told_s() / (quota * self.window_s)
    }
}

/// The sizes that count here.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Gateways.
    pub gateways: f64,
    /// Tenants.
    pub tenants: f64,
    /// Requests a second, over all gateways.
    pub requests: f64,
    /// A gateway's bytes of control a second.
    pub budget: f64,
}

impl Sizes {
    /// Takes them from the file by their names.
    pub fn of(capacity: &Capacity) -> Result<Self, String> {
        let figures = capacity.figures().map_err(|(_, problem)| problem)?;
        let get = |name: &str| {
            let found = figures.get(name).copied();
            found.ok_or_else(|| format!("size: expected one named {name}, which the limits' table needs"))
        };
        Ok(Sizes {
            gateways: get("gateways")?,
            tenants: get("tenants")?,
            requests: get("requests_per_s")?,
            budget: get("gateway_bytes_per_s")?,
        })
    }

    /// Requests a second of a tenant in the mean.
    pub fn mean(&self) -> f64 {
        self.requests / self.tenants
    }
}

/// One way to hold a limit.
#[derive(Clone, Debug, Serialize)]
pub struct Way {
    /// Its name.
    pub name: &'static str,
    /// The formula of its bytes.
    pub formula: String,
    /// Bytes a second at a gateway, both ways.
    pub bytes_per_s: f64,
    /// How late gateways act on what a tenant does, in seconds.
    pub late_s: f64,
    /// What a tenant of the mean may get beyond its quota, in words.
    pub error: String,
    /// What becomes of it.
    pub verdict: String,
}

/// The ways, each for tenants of the mean size.
pub fn ways(t: &Terms, s: &Sizes) -> Vec<Way> {
    let at_gateway = s.requests / s.gateways;
    let quota = t.quota_by_mean * s.mean();
    let in_window = quota * t.window_s;
    let entry = t.key_bytes + t.count_bytes;
    let percent = |part: f64| format!("{:.0}%", 100.0 * part);
    let asked = at_gateway * 2.0 * (entry + t.message_bytes);
    let back = s.tenants * t.over_part / t.hold_s * entry;
    let counted = at_gateway * entry * t.sampled(quota);
    let verdict = |bytes: f64| format!("{} of the budget", percent(bytes / s.budget));
    // A count-min sketch that errs by no more than the counts do: width e / error, of all requests in a window.
    let error = 1.0 / in_window.sqrt();
    let cells = std::f64::consts::E * s.requests * t.window_s / (error * in_window);
    let depth = 4.0;
    let sparse = at_gateway * depth * (4.0 + t.count_bytes);
    let gossip = s.tenants * entry / t.window_s;
    let reuse = s.mean() * t.window_s / s.gateways;
    vec![
        Way {
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
        Way {
            name: "shares leased from an owner",
            formula: "requests x 2 x (entry + message)".into(),
            bytes_per_s: asked,
            late_s: t.window_s,
            error: format!("a share of one request is used {reuse:.4} times in a window"),
            verdict: format!("no: each request asks, {}", verdict(asked)),
        },
        Way {
            name: "an owner asked at each request",
            formula: "requests x 2 x (entry + message)".into(),
            bytes_per_s: asked,
            late_s: 2.0 * t.way_s,
            error: "0".into(),
            verdict: format!(
                "no: {}, and {} ms more for a request",
                verdict(asked),
                (2000.0 * t.way_s).round()
            ),
        },
        Way {
            name: "one request in ten told to owners, who tell back who is over",
            formula: "requests x entry / 10 + tenants x over / hold x entry".into(),
            bytes_per_s: at_gateway * entry / 10.0 + back,
            late_s: t.told_s(),
            error: format!(
                "{} of the quota at {} deviations",
                percent(t.deviations / (in_window / 10.0).sqrt()),
                t.deviations
            ),
            verdict: format!(
                "{}, but no bound for small tenants",
                verdict(at_gateway * entry / 10.0 + back)
            ),
        },
        Way {
            name: "counts told to owners, sampled down only for large tenants",
            formula: "requests x min(1, samples / (quota x window)) x entry + tenants x over / hold x entry"
                .into(),
            bytes_per_s: counted + back,
            late_s: t.told_s(),
            error: format!(
                "{} of the quota at {} deviations, for the mean and larger alike",
                percent(t.error(quota)),
                t.deviations
            ),
            verdict: format!("**chosen**: {}", verdict(counted + back)),
        },
        Way {
            name: "count-min sketches, merged",
            formula: "requests x 4 rows x (cell + count) + tenants x over / hold x entry".into(),
            bytes_per_s: sparse + back,
            late_s: t.told_s(),
            error: format!("{}, with {:.0} million cells a row at the owner", percent(error), cells / 1e6),
            verdict: format!("no: {}, more than the counts themselves", verdict(sparse + back)),
        },
        Way {
            name: "gossip of all counts",
            formula: "tenants x entry / window, at the least".into(),
            bytes_per_s: gossip,
            late_s: t.window_s,
            error: "0".into(),
            verdict: format!("no: {}", verdict(gossip)),
        },
    ]
}

/// What came of a tenant in the play.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Played {
    /// What it got in the mean, by its quota.
    pub mean: f64,
    /// The part of windows in which the rate was misjudged by more than the bound.
    pub beyond: f64,
    /// What it got at most over a window, by its quota.
    pub worst: f64,
    /// The part of its requests that was refused.
    pub refused: f64,
}

/// A step of the play, in seconds.
const STEP_S: f64 = 0.1;

/// Plays a tenant that asks for `rate` a second, by chance, from 0 s on. Its requests are counted or sampled, told
/// `told_s` later, and let through by quota over what the owner thinks; figures are of `windows` windows from the
/// third on, or of the first where `from_start`. Errs where the rate is no number above 0.
pub fn play(
    t: &Terms, quota: f64, rate: f64, windows: usize, from_start: bool, seed: u64,
) -> Result<Played, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let arrivals = Poisson::new(rate * STEP_S).map_err(|e| e.to_string())?;
    let some = |n: f64, part: f64, rng: &mut ChaCha8Rng| -> Result<f64, String> {
        Ok(Binomial::new(n as u64, part).map_err(|e| e.to_string())?.sample(rng) as f64)
    };
    let part = t.sampled(quota);
    let steps = (t.window_s / STEP_S).round() as usize;
    let late = (t.told_s() / STEP_S).ceil() as usize;
    let first = if from_start { 0 } else { 2 * steps + late };
    let mut sampled: VecDeque<f64> = VecDeque::new(); // The newest last; `late` of them nobody has heard of.
    let mut heard = 0.0;
    let mut passed: VecDeque<f64> = VecDeque::new();
    let (mut got, mut worst, mut asked, mut let_through) = (0.0, 0.0_f64, 0.0, 0.0);
    let (mut looks, mut beyond) = (0.0, 0.0);
    for step in 0..first + windows * steps {
        if sampled.len() > late {
            heard += sampled[sampled.len() - 1 - late];
        }
        if sampled.len() > late + steps {
            heard -= sampled.pop_front().unwrap_or(0.0);
        }
        let thought = heard / (part * t.window_s);
        let through = if thought > quota { quota / thought } else { 1.0 };
        let n: f64 = arrivals.sample(&mut rng);
        let pass = some(n, through, &mut rng)?;
        sampled.push_back(some(n, part, &mut rng)?);
        passed.push_back(pass);
        got += pass;
        if passed.len() > steps {
            got -= passed.pop_front().unwrap_or(0.0);
        }
        if step < first {
            continue;
        }
        (asked, let_through) = (asked + n, let_through + pass);
        if step + 1 >= first + steps {
            worst = worst.max(got / (quota * t.window_s));
        }
        looks += 1.0;
        // The bound is on the rate as it is thought to be, of a tenant at its quota or over it.
        beyond += f64::from(u8::from(rate >= quota && thought < rate * (1.0 - t.error(quota))));
    }
    let time = looks * STEP_S;
    Ok(Played {
        mean: let_through / (quota * time),
        beyond: beyond / looks,
        worst,
        refused: 1.0 - let_through / asked,
    })
}
