//! Troubles: a time line of what goes wrong. A trouble is described in the experiment's file, and laid out before
//! a run as single acts at their times, drawn from the trouble's own stream: it strikes the same hosts at the same
//! moments whatever any gateway decides.
use crate::world::clients::Surge;
use crate::world::draw::{stream, Purpose, Span};
use crate::world::hosts::Life;
use crate::world::spec::{need, World};
use crate::world::{us, Us};
use rand::seq::SliceRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use serde::{Deserialize, Serialize};

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// What it is.
    pub what: What,
}

/// Kinds of troubles.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// More traffic of all tenants.
    Burst {
        /// How many times the usual.
        times: f64,
        /// How long it takes to rise and to fall.
        #[serde(default = "second")]
        rise_s: f64,
    },
    /// More traffic of one tenant.
    TenantFlood {
        /// Its number among the tenants.
        tenant: usize,
        /// How many times its usual.
        times: f64,
        /// How long it takes to rise and to fall.
        #[serde(default = "second")]
        rise_s: f64,
    },
    /// All hosts of a zone are lost, and come back cold.
    ZoneLoss {
        /// Its number.
        zone: u32,
        /// Nothing is said, where true; else their processes end.
        #[serde(default)]
        silent: bool,
        /// Its gateways are lost as well.
        #[serde(default)]
        gateways: bool,
    },
    /// Gateways die, and come back with nothing but their last list.
    GatewayCrash {
        /// The part of them.
        part: f64,
    },
    /// Hosts are replaced, one after the other, by new ones under new ids.
    Replacement {
        /// Time between two.
        every_s: f64,
        /// For how long a host drains before it is gone.
        #[serde(default = "second")]
        drain_s: f64,
        /// It is killed, without a drain.
        #[serde(default)]
        abrupt: bool,
    },
    /// Another program takes a part of some machines, on and off.
    Neighbour {
        /// The part of the hosts.
        part: f64,
        /// The part of the machine.
        takes: Span,
        /// Mean time on, and off.
        on_off_s: f64,
    },
    /// Some hosts turn slow as if crowded.
    Crowding {
        /// The part of the hosts.
        part: f64,
        /// How many times slower.
        times: f64,
    },
    /// Some hosts say nothing any more, until they are back.
    Silent {
        /// The part of the hosts.
        part: f64,
        /// They come back as started anew.
        #[serde(default)]
        cold: bool,
    },
    /// Processes of some hosts end, and start anew.
    HostCrash {
        /// The part of the hosts.
        part: f64,
    },
    /// Discovery answers nothing.
    DiscoveryDown,
    /// Discovery learns nothing new.
    StaleList,
    /// Reports of some hosts stay as they are.
    FrozenReports {
        /// The part of the hosts.
        part: f64,
    },
    /// Some hosts fail a class.
    FailingClass {
        /// The part of the hosts.
        part: f64,
        /// The number of the class.
        class: usize,
        /// The part of its attempts that fail.
        errors: f64,
    },
    /// Clients come back at once, more often, and heed no advice.
    RetryStorm {
        /// Further tries after the first.
        retries: u32,
    },
}

fn second() -> f64 {
    1.0
}

/// One change of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// A host's process ends or its machine goes silent.
    Stop(u32, Life),
    /// A host's process starts anew.
    Start(u32),
    /// A silent host is reached again.
    Resume(u32),
    /// Another program takes this part of a host's machine.
    Neighbour(u32, f64),
    /// A host's reports stay as they are, or go on.
    Freeze(u32, bool),
    /// A host fails this part of a class, or none.
    Fail(u32, Option<(usize, f64)>),
    /// A gateway dies, or starts again.
    Gateway(u32, bool),
    /// Discovery goes down, or comes back.
    DiscoveryDown(bool),
    /// Discovery learns nothing, or catches up.
    Stale(bool),
    /// The oldest host begins to drain for so long, or is killed at once, and a new one comes.
    Replace {
        /// How long it drains.
        drain: Us,
        /// It is killed.
        abrupt: bool,
    },
    /// Clients come back at once, so often; or as usual again.
    Storm(Option<u32>),
}

/// A run's troubles, laid out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Acts in the order of their times.
    pub acts: Vec<(Us, Act)>,
    /// More traffic.
    pub surges: Vec<Surge>,
}

impl Trouble {
    /// When it is over.
    pub fn end(&self) -> Us {
        us((self.at_s + self.for_s) * 1000.0)
    }

    /// Its kind, in a word or two.
    pub fn name(&self) -> &'static str {
        match self.what {
            What::Burst { .. } => "burst",
            What::TenantFlood { .. } => "tenant flood",
            What::ZoneLoss { .. } => "zone loss",
            What::GatewayCrash { .. } => "gateway crash",
            What::Replacement { .. } => "replacement",
            What::Neighbour { .. } => "neighbour",
            What::Crowding { .. } => "crowding",
            What::Silent { .. } => "silent hosts",
            What::HostCrash { .. } => "host crash",
            What::DiscoveryDown => "discovery down",
            What::StaleList => "stale list",
            What::FrozenReports { .. } => "frozen reports",
            What::FailingClass { .. } => "failing class",
            What::RetryStorm { .. } => "retry storm",
        }
    }

    /// Tells what is wrong with it in a world of this size, by key.
    pub fn check(&self, world: &World) -> Result<(), String> {
        let share = |x: f64| x > 0.0 && x <= 1.0;
        let more = |x: f64| x.is_finite() && x >= 1.0;
        need(self.at_s.is_finite() && self.at_s > 0.0, "at_s", "expected a number above 0")?;
        need(self.for_s.is_finite() && self.for_s > 0.0, "for_s", "expected a number above 0")?;
        match &self.what {
            What::Burst { times, rise_s } => {
                need(more(*times), "what.burst.times", "expected 1 or more")?;
                need(*rise_s >= 0.0, "what.burst.rise_s", "expected 0 or more")
            }
            What::TenantFlood { tenant, times, rise_s } => {
                need(
                    *tenant < world.tenants.len(),
                    "what.tenant_flood.tenant",
                    "expected a tenant's number",
                )?;
                need(more(*times), "what.tenant_flood.times", "expected 1 or more")?;
                need(*rise_s >= 0.0, "what.tenant_flood.rise_s", "expected 0 or more")
            }
            What::ZoneLoss { zone, .. } => {
                need((*zone as usize) < world.zones.len(), "what.zone_loss.zone", "expected a zone's number")
            }
            What::Replacement { every_s, drain_s, .. } => {
                need(*every_s > 0.0, "what.replacement.every_s", "expected a number above 0")?;
                need(*drain_s >= 0.0, "what.replacement.drain_s", "expected 0 or more")
            }
            What::Neighbour { part, takes, on_off_s } => {
                let (low, high) = takes.bounds();
                need(share(*part), "what.neighbour.part", "expected above 0, at most 1")?;
                need(
                    low >= 0.0 && high < 1.0 && low <= high,
                    "what.neighbour.takes",
                    "expected 0 to under 1",
                )?;
                need(*on_off_s > 0.0, "what.neighbour.on_off_s", "expected a number above 0")
            }
            What::Crowding { part, times } => {
                need(share(*part), "what.crowding.part", "expected above 0, at most 1")?;
                need(more(*times), "what.crowding.times", "expected 1 or more")
            }
            What::FailingClass { part, class, errors } => {
                need(share(*part), "what.failing_class.part", "expected above 0, at most 1")?;
                need(*class < world.classes.len(), "what.failing_class.class", "expected a class's number")?;
                need(share(*errors), "what.failing_class.errors", "expected above 0, at most 1")
            }
            What::GatewayCrash { part }
            | What::Silent { part, .. }
            | What::HostCrash { part }
            | What::FrozenReports { part } => {
                need(share(*part), "what.*.part", "expected above 0, at most 1")
            }
            What::RetryStorm { retries } => {
                need(*retries <= 100, "what.retry_storm.retries", "expected 0 to 100")
            }
            What::DiscoveryDown | What::StaleList => Ok(()),
        }
    }

    /// Lays it out. `zones` holds the zone of each host.
    fn lay(&self, rng: &mut ChaCha8Rng, world: &World, zones: &[u32], plan: &mut Plan) {
        let (from, to) = (us(self.at_s * 1000.0), self.end());
        let hosts = zones.len() as u32;
        let mut both = |on: Act, off: Act| plan.acts.extend([(from, on), (to, off)]);
        match self.what {
            What::Burst { times, rise_s } => {
                plan.surges.push(Surge { from, to, rise: us(rise_s * 1000.0), times, tenant: None });
            }
            What::TenantFlood { tenant, times, rise_s } => {
                plan.surges.push(Surge { from, to, rise: us(rise_s * 1000.0), times, tenant: Some(tenant) });
            }
            What::ZoneLoss { zone, silent, gateways } => {
                let life = if silent { Life::Silent } else { Life::Dead };
                for host in (0..hosts).filter(|h| zones[*h as usize] == zone) {
                    both(Act::Stop(host, life), Act::Start(host));
                }
                let there = |g: &u32| g % world.zones.len() as u32 == zone;
                for gateway in (0..world.gateways).filter(|g| gateways && there(g)) {
                    both(Act::Gateway(gateway, false), Act::Gateway(gateway, true));
                }
            }
            What::GatewayCrash { part } => {
                for gateway in some(rng, world.gateways, part) {
                    both(Act::Gateway(gateway, false), Act::Gateway(gateway, true));
                }
            }
            What::Replacement { every_s, drain_s, abrupt } => {
                let mut at = from;
                while at < to {
                    plan.acts.push((at, Act::Replace { drain: us(drain_s * 1000.0), abrupt }));
                    at += us(every_s * 1000.0).max(1);
                }
            }
            What::Neighbour { part, takes, on_off_s } => {
                for host in some(rng, hosts, part) {
                    let takes = takes.draw(rng);
                    let (mut at, mut on) = (from, true);
                    while at < to {
                        plan.acts.push((at, Act::Neighbour(host, if on { takes } else { 0.0 })));
                        let length: f64 = Exp1.sample(rng);
                        (at, on) = (at + us(1000.0 * on_off_s * length).max(1000), !on);
                    }
                    plan.acts.push((to, Act::Neighbour(host, 0.0)));
                }
            }
            What::Crowding { part, times } => {
                for host in some(rng, hosts, part) {
                    both(Act::Neighbour(host, 1.0 - 1.0 / times), Act::Neighbour(host, 0.0));
                }
            }
            What::Silent { part, cold } => {
                for host in some(rng, hosts, part) {
                    let back = if cold { Act::Start(host) } else { Act::Resume(host) };
                    both(Act::Stop(host, Life::Silent), back);
                }
            }
            What::HostCrash { part } => {
                for host in some(rng, hosts, part) {
                    both(Act::Stop(host, Life::Dead), Act::Start(host));
                }
            }
            What::DiscoveryDown => both(Act::DiscoveryDown(true), Act::DiscoveryDown(false)),
            What::StaleList => both(Act::Stale(true), Act::Stale(false)),
            What::FrozenReports { part } => {
                for host in some(rng, hosts, part) {
                    both(Act::Freeze(host, true), Act::Freeze(host, false));
                }
            }
            What::FailingClass { part, class, errors } => {
                for host in some(rng, hosts, part) {
                    both(Act::Fail(host, Some((class, errors))), Act::Fail(host, None));
                }
            }
            What::RetryStorm { retries } => both(Act::Storm(Some(retries)), Act::Storm(None)),
        }
    }
}

/// A part of some things, at least one, drawn without putting back; in the order of their numbers.
fn some(rng: &mut impl RngExt, count: u32, part: f64) -> Vec<u32> {
    let mut all: Vec<u32> = (0..count).collect();
    all.shuffle(rng);
    all.truncate(((f64::from(count) * part).round() as usize).max(1));
    all.sort_unstable();
    all
}

impl Plan {
    /// Lays out the troubles of a run.
    pub fn new(troubles: &[Trouble], world: &World, zones: &[u32], seed: u64) -> Self {
        let mut plan = Plan::default();
        for (n, trouble) in troubles.iter().enumerate() {
            let mut rng = stream(seed, Purpose::Trouble, n as u64);
            trouble.lay(&mut rng, world, zones, &mut plan);
        }
        // A stable sort: acts of one moment stay in the order of the file.
        plan.acts.sort_by_key(|act| act.0);
        plan
    }
}
