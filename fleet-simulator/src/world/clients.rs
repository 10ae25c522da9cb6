//! Clients: an open loop of messages that are drawn ahead, and what a client does once a try has ended.
//!
//! Arrivals do not wait for answers. Whatever is drawn for a message comes from the arrivals' own stream, or from
//! the message's own: no decision of a gateway changes any other message.
use super::draw::{stream, Purpose};
use super::spec::{self, BackOff, Class, Effect, World};
use super::{us, Us};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp1, Zipf};
use rand_pcg::Pcg64Mcg;

/// A message: a first try and all that follows from it.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its number, from 0.
    pub number: u64,
    /// When its client first sends it.
    pub at: Us,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// What it concerns.
    pub key: u32,
    /// Where its client enters.
    pub zone: u32,
    /// What it is worth in full.
    pub worth: f64,
    /// Its tenant is within its quota.
    pub within_quota: bool,
    /// Work on a standard core, in microseconds.
    pub work: f64,
    /// For how long a host that serves it waits on others.
    pub wait: Us,
    /// Its client heeds advice.
    pub heeds: bool,
    /// Its client leaves by then.
    pub leaves: Us,
    /// For all that is drawn for it later.
    pub rng: Pcg64Mcg,
}

/// More traffic for a while, of all tenants or of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// From when to when.
    pub from: Us,
    /// Its end.
    pub to: Us,
    /// How long it takes to rise, and to fall.
    pub rise: Us,
    /// How many times the usual.
    pub times: f64,
    /// Whose traffic; all where absent.
    pub tenant: Option<usize>,
}

impl Surge {
    /// How many times the usual at a moment.
    fn at(&self, now: Us) -> f64 {
        if now < self.from || now >= self.to {
            return 1.0;
        }
        let edge = (now - self.from).min(self.to - now) as f64;
        1.0 + (self.times - 1.0) * (edge / self.rise.max(1) as f64).min(1.0)
    }
}

/// A quota as a bucket that fills with it and holds a second's worth.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_s: f64,
    level: f64,
    at: Us,
}

impl Bucket {
    fn take(&mut self, now: Us) -> bool {
        if self.per_s <= 0.0 {
            return true;
        }
        let gained = (now - self.at) as f64 / 1e6 * self.per_s;
        self.level = (self.level + gained).min(self.per_s.max(1.0));
        self.at = now;
        let within = self.level >= 1.0;
        self.level -= f64::from(u8::from(within));
        within
    }
}

/// The messages of a run, in the order of their times.
#[derive(Debug)]
pub struct Arrivals {
    world: World,
    rng: ChaCha8Rng,
    now: f64,
    count: u64,
    per_us: f64,
    surges: Vec<Surge>,
    tenants: WeightedAliasIndex<f64>,
    parts: Vec<f64>,
    classes: WeightedAliasIndex<f64>,
    keys: Zipf<f64>,
    buckets: Vec<Bucket>,
}

/// The part of the traffic of each tenant, the named ones first.
fn tenant_parts(world: &World) -> Vec<f64> {
    let named: f64 = world.tenants.iter().map(|t| t.part).sum();
    let scale = (1.0 - world.crowd_share) / named.max(1e-12);
    let crowd: Vec<f64> = (1..=world.crowd_tenants).map(|n| 1.0 / f64::from(n)).collect();
    let sum: f64 = crowd.iter().sum();
    let named = world.tenants.iter().map(|t| t.part * scale);
    named.chain(crowd.iter().map(|c| c * world.crowd_share / sum.max(1e-12))).collect()
}

impl Arrivals {
    /// Messages at `per_s` a second, and what the quotas are, for hosts that can serve `can_per_s`.
    pub fn new(
        world: &World, per_s: f64, can_per_s: f64, surges: Vec<Surge>, seed: u64,
    ) -> Result<Self, String> {
        let parts = tenant_parts(world);
        let alias = |parts: Vec<f64>| WeightedAliasIndex::new(parts).map_err(|e| e.to_string());
        let quota = |n: usize| world.tenants.get(n).map_or(0.0, |t| t.quota * can_per_s);
        let bucket = |n| Bucket { per_s: quota(n), level: quota(n).max(1.0), at: 0 };
        Ok(Arrivals {
            rng: stream(seed, Purpose::Arrivals, 0),
            now: 0.0,
            count: 0,
            per_us: per_s / 1e6,
            surges,
            tenants: alias(parts.clone())?,
            buckets: (0..parts.len()).map(bucket).collect(),
            parts,
            classes: alias(world.classes.iter().map(|c| c.part).collect())?,
            keys: Zipf::new(f64::from(world.keys), world.key_zipf).map_err(|e| e.to_string())?,
            world: world.clone(),
        })
    }

    /// The quota of each tenant, in messages a second; 0 for none.
    pub fn quotas(&self) -> Vec<f64> {
        self.buckets.iter().map(|b| b.per_s).collect()
    }

    /// How many times the usual rate, and by how much the flooding tenants go beyond theirs.
    fn rate(&self, now: Us) -> (f64, f64) {
        let phase = std::f64::consts::TAU * now as f64 / (self.world.swing_s * 1e6);
        let swing = 1.0 + self.world.swing * phase.sin();
        let all = |s: &&Surge| s.tenant.is_none();
        let base: f64 = swing * self.surges.iter().filter(all).map(|s| s.at(now)).product::<f64>();
        let extra = |s: &Surge| s.tenant.map_or(0.0, |t| self.parts[t] * (s.at(now) - 1.0));
        (base, base * self.surges.iter().map(extra).sum::<f64>())
    }

    fn most(&self) -> f64 {
        let product: f64 =
            self.surges.iter().filter(|s| s.tenant.is_none()).map(|s| s.times.max(1.0)).product();
        let extra = |s: &Surge| s.tenant.map_or(0.0, |t| self.parts[t] * (s.times - 1.0).max(0.0));
        (1.0 + self.world.swing) * product * (1.0 + self.surges.iter().map(extra).sum::<f64>())
    }

    /// The next message, unless it would come at `end` or later.
    pub fn next(&mut self, end: Us) -> Option<Message> {
        let most = self.most();
        let (at, extra) = loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.now += gap / (self.per_us * most);
            if self.now >= end as f64 {
                return None;
            }
            let (base, extra) = self.rate(self.now as Us);
            // Thinning: of a steady stream at the highest rate, as much stays as the rate of the moment asks.
            if self.rng.random::<f64>() * most < base + extra {
                break (self.now as Us, extra / (base + extra));
            }
        };
        Some(self.message(at, extra))
    }

    fn message(&mut self, at: Us, extra: f64) -> Message {
        let tenant = if extra > 0.0 && self.rng.random::<f64>() < extra {
            self.flooding(at)
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
        let leaves = self.rng.random::<f64>() < clients.leave;
        let leaves_after = self.rng.random::<f64>() * spec.deadline_ms;
        let message = Message {
            number: self.count,
            at,
            class,
            tenant,
            key: self.keys.sample(&mut self.rng) as u32,
            zone: zone.min(zones - 1),
            worth: spec.worth * if within_quota { 1.0 } else { self.world.over_quota_worth },
            within_quota,
            work: spec.work_ms * 1000.0 * spec.work.draw(&mut self.rng),
            wait: us(spec.wait_ms * spec.wait.draw(&mut self.rng)),
            heeds: self.rng.random::<f64>() < clients.heed,
            leaves: if leaves { at + us(leaves_after) } else { Us::MAX },
            rng: Pcg64Mcg::seed_from_u64(self.rng.random()),
        };
        self.count += 1;
        message
    }

    /// One of those that flood now, by how much each goes beyond its usual.
    fn flooding(&mut self, now: Us) -> usize {
        let extra = |s: &Surge| s.tenant.map(|t| (t, self.parts[t] * (s.at(now) - 1.0).max(0.0)));
        let floods: Vec<(usize, f64)> = self.surges.iter().filter_map(extra).collect();
        let mut at = self.rng.random::<f64>() * floods.iter().map(|f| f.1).sum::<f64>();
        let drawn = floods.iter().find(|f| {
            at -= f.1;
            at < 0.0
        });
        drawn.or(floods.last()).map_or(0, |f| f.0)
    }
}

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryEnd {
    /// With a served answer.
    Served,
    /// Refused, perhaps with advice when to come back.
    Refused {
        /// The advice.
        retry_after: Us,
    },
    /// Failed.
    Failed,
    /// No gateway was reached.
    Unreachable,
    /// Nothing came in the time that the client gave the try.
    TimedOut,
}

/// How long a client waits for a try that it begins now: the last one gets all that is left.
pub fn patience(spec: &spec::Clients, class: &Class, message: &Message, now: Us, tries_before: u32) -> Us {
    let left = (message.at + us(class.deadline_ms)).saturating_sub(now);
    if tries_before >= spec.retries {
        left
    } else {
        left.min(us(class.deadline_ms * spec.try_share))
    }
}

/// When the client tries again, if it does.
pub fn again(
    spec: &spec::Clients, class: &Class, message: &mut Message, now: Us, tries: u32, end: TryEnd,
) -> Option<Us> {
    let harmless = matches!(end, TryEnd::Refused { .. } | TryEnd::Unreachable);
    let permitted = match (class.effect, end) {
        (_, TryEnd::Served) => false,
        (Effect::Safe, _) => true,
        (Effect::Keyed, _) => harmless || now < message.at + us(class.window_ms),
        (Effect::Unsafe, _) => harmless,
    };
    if !permitted || tries > spec.retries {
        return None;
    }
    let mut wait = match spec.back_off {
        BackOff::None => 0,
        BackOff::Fixed => us(spec.back_off_ms),
        BackOff::Exponential => {
            let most = spec.back_off_ms * 2f64.powi(tries as i32);
            us(most * message.rng.random::<f64>())
        }
    };
    if let TryEnd::Refused { retry_after } = end {
        if message.heeds {
            wait = wait.max(retry_after.min(us(spec.heed_most_ms)));
        }
    }
    let at = now + wait;
    (at < message.at + us(class.deadline_ms) && at < message.leaves).then_some(at)
}
