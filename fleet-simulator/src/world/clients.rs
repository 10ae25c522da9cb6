//! Clients: an open loop of messages that are drawn in advance, and the retry behaviour of a client.
//!
//! Arrivals do not wait for responses. All random values of a message come from the arrival stream or from
//! the message's own stream, so that a gateway's decision about one message never changes another message.
use super::draw::{stream, Purpose};
use super::spec::{self, BackOff, Class, Effect, World};
use super::{us, Us};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1, Zipf};
use rand_pcg::Pcg64Mcg;

/// A message: a client's first try together with all retries.
#[derive(Clone, Debug)]
pub struct Message {
    /// Number of the message in the run, from 0.
    pub number: u64,
    /// Time of the first try.
    pub at: Us,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Cache key at the hosts.
    pub key: u32,
    /// Zone in which the client enters the platform.
    pub zone: u32,
    /// Worth of a response within the latency objective.
    pub worth: f64,
    /// Whether the tenant was within its quota at the first try.
    pub within_quota: bool,
    /// Work on a standard core, in microseconds.
    pub work: f64,
    /// Time that a host spends waiting on other systems while it serves the message.
    pub wait: Us,
    /// Whether the client honours Retry-After.
    pub honours_retry_after: bool,
    /// Time at which the client disconnects early; `Us::MAX` for never.
    pub disconnects_at: Us,
    /// Random stream for the client's retries and the noise of attempts.
    pub rng: Pcg64Mcg,
}

/// A temporary increase of traffic, of all tenants or of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start.
    pub from: Us,
    /// End.
    pub to: Us,
    /// Duration of the rise after the start, and of the fall before the end.
    pub rise: Us,
    /// Multiple of the usual traffic at the peak.
    pub multiple: f64,
    /// Index of the tenant that the surge is limited to; `None` for all tenants.
    pub tenant: Option<usize>,
}

impl Surge {
    /// Returns the multiple of the usual traffic at a time.
    fn at(&self, now: Us) -> f64 {
        if now < self.from || now >= self.to {
            return 1.0;
        }
        let edge = (now - self.from).min(self.to - now) as f64;
        1.0 + (self.multiple - 1.0) * (edge / self.rise.max(1) as f64).min(1.0)
    }
}

/// Token bucket of a quota; holds the tokens of one second, and at least one.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    at: Us,
}

impl TokenBucket {
    fn take(&mut self, now: Us) -> bool {
        if self.per_s <= 0.0 {
            return true;
        }
        let gained = (now - self.at) as f64 / 1e6 * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s.max(1.0));
        self.at = now;
        let has_token = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(has_token));
        has_token
    }
}

/// Generator of the messages of a run, in the order of their times.
#[derive(Debug)]
pub struct Arrivals {
    world: World,
    rng: ChaCha8Rng,
    now: f64,
    next_number: u64,
    per_us: f64,
    surges: Vec<Surge>,
    tenants: WeightedAliasIndex<f64>,
    tenant_shares: Vec<f64>,
    classes: WeightedAliasIndex<f64>,
    keys: Zipf<f64>,
    buckets: Vec<TokenBucket>,
}

/// Returns the share of the traffic of each tenant, named tenants first.
fn tenant_shares_of(world: &World) -> Vec<f64> {
    let named: f64 = world.tenants.iter().map(|t| t.part).sum();
    let scale = (1.0 - world.crowd_share) / named.max(1e-12);
    let crowd: Vec<f64> = (1..=world.crowd_tenants).map(|n| 1.0 / f64::from(n)).collect();
    let sum: f64 = crowd.iter().sum();
    let named = world.tenants.iter().map(|t| t.part * scale);
    named.chain(crowd.iter().map(|c| c * world.crowd_share / sum.max(1e-12))).collect()
}

impl Arrivals {
    /// Creates the arrivals at a mean rate of `per_s` messages a second. Quotas are shares of
    /// `capacity_per_s`, the messages a second that all hosts can serve.
    ///
    /// # Errors
    ///
    /// Fails if the shares or the key distribution of the world are invalid.
    pub fn new(
        world: &World, per_s: f64, capacity_per_s: f64, surges: Vec<Surge>, seed: u64,
    ) -> Result<Self, String> {
        let tenant_shares = tenant_shares_of(world);
        let weighted = |weights: Vec<f64>| WeightedAliasIndex::new(weights).map_err(|e| e.to_string());
        let quota = |n: usize| world.tenants.get(n).map_or(0.0, |t| t.quota * capacity_per_s);
        let bucket = |n| TokenBucket { per_s: quota(n), tokens: quota(n).max(1.0), at: 0 };
        Ok(Arrivals {
            rng: stream(seed, Purpose::Arrivals, 0),
            now: 0.0,
            next_number: 0,
            per_us: per_s / 1e6,
            surges,
            tenants: weighted(tenant_shares.clone())?,
            buckets: (0..tenant_shares.len()).map(bucket).collect(),
            tenant_shares,
            classes: weighted(world.classes.iter().map(|c| c.part).collect())?,
            keys: Zipf::new(f64::from(world.keys), world.key_zipf).map_err(|e| e.to_string())?,
            world: world.clone(),
        })
    }

    /// Returns the quota of each tenant in messages a second; 0 for none.
    pub fn quotas(&self) -> Vec<f64> {
        self.buckets.iter().map(|b| b.per_s).collect()
    }

    /// Returns two rates at a time, relative to the mean rate: the rate without the surges of single tenants,
    /// and the additional rate of these surges.
    fn rate_multiple(&self, now: Us) -> (f64, f64) {
        let phase = std::f64::consts::TAU * now as f64 / (self.world.swing_s * 1e6);
        let swing = 1.0 + self.world.swing * phase.sin();
        let all = |s: &&Surge| s.tenant.is_none();
        let base: f64 = swing * self.surges.iter().filter(all).map(|s| s.at(now)).product::<f64>();
        let extra = |s: &Surge| s.tenant.map_or(0.0, |t| self.tenant_shares[t] * (s.at(now) - 1.0));
        (base, base * self.surges.iter().map(extra).sum::<f64>())
    }

    fn max_rate_multiple(&self) -> f64 {
        let product: f64 =
            self.surges.iter().filter(|s| s.tenant.is_none()).map(|s| s.multiple.max(1.0)).product();
        let extra = |s: &Surge| s.tenant.map_or(0.0, |t| self.tenant_shares[t] * (s.multiple - 1.0).max(0.0));
        (1.0 + self.world.swing) * product * (1.0 + self.surges.iter().map(extra).sum::<f64>())
    }

    /// Returns the next message, or `None` if its time would be `end` or later.
    pub fn next(&mut self, end: Us) -> Option<Message> {
        let max_multiple = self.max_rate_multiple();
        let (at, extra) = loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.now += gap / (self.per_us * max_multiple);
            if self.now >= end as f64 {
                return None;
            }
            let (base, extra) = self.rate_multiple(self.now as Us);
            // Thinning: candidates arrive at the highest possible rate, and each is kept with the probability
            // that gives the current rate.
            if self.rng.random::<f64>() * max_multiple < base + extra {
                break (self.now as Us, extra / (base + extra));
            }
        };
        Some(self.message(at, extra))
    }

    fn message(&mut self, at: Us, extra: f64) -> Message {
        let tenant = if extra > 0.0 && self.rng.random::<f64>() < extra {
            self.surging_tenant(at)
        } else {
            self.tenants.sample(&mut self.rng)
        };
        let class = self.classes.sample(&mut self.rng);
        let spec = &self.world.classes[class];
        let clients = &self.world.clients;
        let zones = self.world.zones.len() as u32;
        let first = self.world.first_zone_share.unwrap_or(1.0 / f64::from(zones));
        let draw: f64 = self.rng.random();
        let zone = if draw < first || zones == 1 {
            0
        } else {
            1 + (((draw - first) / (1.0 - first)) * f64::from(zones - 1)) as u32
        };
        let within_quota = self.buckets[tenant].take(at);
        let disconnects_early = self.rng.random::<f64>() < clients.leave;
        let disconnects_after_ms = self.rng.random::<f64>() * spec.deadline_ms;
        let message = Message {
            number: self.next_number,
            at,
            class,
            tenant,
            key: self.keys.sample(&mut self.rng) as u32,
            zone: zone.min(zones - 1),
            worth: spec.worth * if within_quota { 1.0 } else { self.world.over_quota_worth },
            within_quota,
            work: spec.work_ms * 1000.0 * spec.work.draw(&mut self.rng),
            wait: us(spec.wait_ms * spec.wait.draw(&mut self.rng)),
            honours_retry_after: self.rng.random::<f64>() < clients.heed,
            disconnects_at: if disconnects_early { at + us(disconnects_after_ms) } else { Us::MAX },
            rng: Pcg64Mcg::seed_from_u64(self.rng.random()),
        };
        self.next_number += 1;
        message
    }

    /// Draws one of the tenants that have a surge, weighted by the extra traffic of each.
    fn surging_tenant(&mut self, now: Us) -> usize {
        let extra = |s: &Surge| s.tenant.map(|t| (t, self.tenant_shares[t] * (s.at(now) - 1.0).max(0.0)));
        let surges: Vec<(usize, f64)> = self.surges.iter().filter_map(extra).collect();
        let mut at = self.rng.random::<f64>() * surges.iter().map(|f| f.1).sum::<f64>();
        let drawn = surges.iter().find(|f| {
            at -= f.1;
            at < 0.0
        });
        drawn.or(surges.last()).map_or(0, |f| f.0)
    }
}

/// End of a try, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryOutcome {
    /// The client received a served response.
    Served,
    /// A gateway rejected the try.
    Rejected {
        /// Value of Retry-After; 0 for none.
        retry_after: Us,
    },
    /// A gateway failed the try.
    Failed,
    /// No gateway could be reached.
    Unreachable,
    /// The client's timeout for the try expired.
    TimedOut,
}

/// Returns the client timeout of a try that begins at `now`; the last try gets the rest of the deadline.
pub fn try_timeout(spec: &spec::Clients, class: &Class, message: &Message, now: Us, tries_before: u32) -> Us {
    let left = (message.at + us(class.deadline_ms)).saturating_sub(now);
    if tries_before >= spec.retries {
        left
    } else {
        left.min(us(class.deadline_ms * spec.try_share))
    }
}

/// Returns the time of the client's next try, or `None` if the client does not retry.
pub fn next_try_at(
    spec: &spec::Clients, class: &Class, message: &mut Message, now: Us, tries: u32, outcome: TryOutcome,
) -> Option<Us> {
    let never_ran = matches!(outcome, TryOutcome::Rejected { .. } | TryOutcome::Unreachable);
    let permitted = match (class.effect, outcome) {
        (_, TryOutcome::Served) => false,
        (Effect::Safe, _) => true,
        (Effect::Keyed, _) => never_ran || now < message.at + us(class.window_ms),
        (Effect::Unsafe, _) => never_ran,
    };
    if !permitted || tries > spec.retries {
        return None;
    }
    let mut wait = match spec.back_off {
        BackOff::None => 0,
        BackOff::Fixed => us(spec.back_off_ms),
        BackOff::Exponential => {
            let max_backoff_ms = spec.back_off_ms * 2f64.powi(tries as i32);
            us(max_backoff_ms * message.rng.random::<f64>())
        }
    };
    if let TryOutcome::Rejected { retry_after } = outcome {
        if message.honours_retry_after {
            wait = wait.max(retry_after.min(us(spec.heed_most_ms)));
        }
    }
    let at = now + wait;
    (at < message.at + us(class.deadline_ms) && at < message.disconnects_at).then_some(at)
}
