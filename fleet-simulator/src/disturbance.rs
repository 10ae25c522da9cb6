//! Disturbances of the world, such as faults, traffic surges and rollouts. An experiment file describes them;
//! before a run they are expanded into single changes with fixed times. Each disturbance draws from its own
//! random stream, so that it affects the same hosts at the same times whatever a gateway decides.
use crate::world::clients::Surge;
use crate::world::draw::{stream, Purpose, Span};
use crate::world::hosts::HostStatus;
use crate::world::spec::{ensure, World};
use crate::world::{us, Us};
use rand::seq::SliceRandom;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use serde::{Deserialize, Serialize};

/// A disturbance that lasts for a while.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// Start, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Kind and parameters.
    pub what: DisturbanceKind,
}

/// Kinds of disturbances.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DisturbanceKind {
    /// A traffic surge of all tenants.
    Burst {
        /// Multiple of the usual traffic at the peak.
        times: f64,
        /// Duration of the rise, and of the fall, in seconds.
        #[serde(default = "one_second")]
        rise_s: f64,
    },
    /// A traffic surge of one tenant.
    TenantFlood {
        /// Index of the tenant.
        tenant: usize,
        /// Multiple of the tenant's usual traffic at the peak.
        times: f64,
        /// Duration of the rise, and of the fall, in seconds.
        #[serde(default = "one_second")]
        rise_s: f64,
    },
    /// All hosts of a zone are lost and return cold.
    ZoneLoss {
        /// Index of the zone.
        zone: u32,
        /// Whether the hosts become unreachable; otherwise their processes end.
        #[serde(default)]
        silent: bool,
        /// Whether the gateways of the zone are lost as well.
        #[serde(default)]
        gateways: bool,
    },
    /// Gateways die, and restart with only their cached endpoint list.
    GatewayCrash {
        /// Share of the gateways.
        part: f64,
    },
    /// Hosts are replaced one after another by new hosts with new ids.
    Replacement {
        /// Seconds between two replacements.
        every_s: f64,
        /// Drain period of a host before its removal, in seconds.
        #[serde(default = "one_second")]
        drain_s: f64,
        /// Whether hosts are killed without a drain.
        #[serde(default)]
        abrupt: bool,
    },
    /// Another program takes a share of some machines, on and off.
    Neighbour {
        /// Share of the hosts.
        part: f64,
        /// Share of the machine that the program takes.
        takes: Span,
        /// Mean length of the on and the off periods, in seconds.
        on_off_s: f64,
    },
    /// Some hosts slow down as if overloaded.
    Crowding {
        /// Share of the hosts.
        part: f64,
        /// Factor by which the hosts are slower.
        times: f64,
    },
    /// Some hosts become unreachable for the duration.
    Silent {
        /// Share of the hosts.
        part: f64,
        /// Whether the hosts return with a restarted, cold process.
        #[serde(default)]
        cold: bool,
    },
    /// The processes of some hosts end, and restart after the duration.
    HostCrash {
        /// Share of the hosts.
        part: f64,
    },
    /// Discovery answers no calls.
    DiscoveryDown,
    /// Discovery observes no changes.
    StaleList,
    /// The load reports of some hosts are not updated.
    FrozenReports {
        /// Share of the hosts.
        part: f64,
    },
    /// Some hosts fail a share of the attempts of one class.
    FailingClass {
        /// Share of the hosts.
        part: f64,
        /// Index of the class.
        class: usize,
        /// Share of the attempts that fail.
        errors: f64,
    },
    /// Clients retry without backoff, more often, and ignore Retry-After.
    RetryStorm {
        /// Number of retries after the first try.
        retries: u32,
    },
}

fn one_second() -> f64 {
    1.0
}

/// A single change of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum WorldChange {
    /// A host's process ends or its machine becomes unreachable.
    StopHost(u32, HostStatus),
    /// A host's process restarts.
    StartHost(u32),
    /// An unreachable host becomes reachable again.
    ResumeHost(u32),
    /// Another program takes this share of a host's machine.
    Neighbour(u32, f64),
    /// A host's load reports freeze (`true`) or resume.
    FreezeReports(u32, bool),
    /// A host fails this share of a class; `None` for no failures.
    FailClass(u32, Option<(usize, f64)>),
    /// A gateway starts (`true`) or dies.
    Gateway(u32, bool),
    /// Discovery goes down (`true`) or is restored.
    DiscoveryDown(bool),
    /// Discovery becomes stale (`true`) or catches up.
    DiscoveryStale(bool),
    /// The oldest host is drained or killed, and a new host is added.
    ReplaceHost {
        /// Drain period.
        drain: Us,
        /// Whether the host is killed without a drain.
        abrupt: bool,
    },
    /// Clients retry this often without backoff; `None` restores the usual behaviour.
    RetryStorm(Option<u32>),
}

/// All changes and surges of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Changes, ordered by time.
    pub changes: Vec<(Us, WorldChange)>,
    /// Traffic surges.
    pub surges: Vec<Surge>,
}

impl Disturbance {
    /// Returns the end time.
    pub fn end(&self) -> Us {
        us((self.at_s + self.for_s) * 1000.0)
    }

    /// Returns the name of the kind, as reports show it.
    pub fn name(&self) -> &'static str {
        match self.what {
            DisturbanceKind::Burst { .. } => "burst",
            DisturbanceKind::TenantFlood { .. } => "tenant flood",
            DisturbanceKind::ZoneLoss { .. } => "zone loss",
            DisturbanceKind::GatewayCrash { .. } => "gateway crash",
            DisturbanceKind::Replacement { .. } => "replacement",
            DisturbanceKind::Neighbour { .. } => "neighbour",
            DisturbanceKind::Crowding { .. } => "crowding",
            DisturbanceKind::Silent { .. } => "silent hosts",
            DisturbanceKind::HostCrash { .. } => "host crash",
            DisturbanceKind::DiscoveryDown => "discovery down",
            DisturbanceKind::StaleList => "stale list",
            DisturbanceKind::FrozenReports { .. } => "frozen reports",
            DisturbanceKind::FailingClass { .. } => "failing class",
            DisturbanceKind::RetryStorm { .. } => "retry storm",
        }
    }

    /// Checks the values against the size of a world.
    ///
    /// # Errors
    ///
    /// Names the first invalid key, and what was expected.
    pub fn check(&self, world: &World) -> Result<(), String> {
        let is_share = |x: f64| x > 0.0 && x <= 1.0;
        let at_least_1 = |x: f64| x.is_finite() && x >= 1.0;
        ensure(self.at_s.is_finite() && self.at_s > 0.0, "at_s", "expected a number above 0")?;
        ensure(self.for_s.is_finite() && self.for_s > 0.0, "for_s", "expected a number above 0")?;
        match &self.what {
            DisturbanceKind::Burst { times, rise_s } => {
                ensure(at_least_1(*times), "what.burst.times", "expected 1 or more")?;
                ensure(*rise_s >= 0.0, "what.burst.rise_s", "expected 0 or more")
            }
            DisturbanceKind::TenantFlood { tenant, times, rise_s } => {
                ensure(
                    *tenant < world.tenants.len(),
                    "what.tenant_flood.tenant",
                    "expected the index of a tenant",
                )?;
                ensure(at_least_1(*times), "what.tenant_flood.times", "expected 1 or more")?;
                ensure(*rise_s >= 0.0, "what.tenant_flood.rise_s", "expected 0 or more")
            }
            DisturbanceKind::ZoneLoss { zone, .. } => ensure(
                (*zone as usize) < world.zones.len(),
                "what.zone_loss.zone",
                "expected the index of a zone",
            ),
            DisturbanceKind::Replacement { every_s, drain_s, .. } => {
                ensure(*every_s > 0.0, "what.replacement.every_s", "expected a number above 0")?;
                ensure(*drain_s >= 0.0, "what.replacement.drain_s", "expected 0 or more")
            }
            DisturbanceKind::Neighbour { part, takes, on_off_s } => {
                let (low, high) = takes.bounds();
                ensure(is_share(*part), "what.neighbour.part", "expected above 0, at most 1")?;
                ensure(
                    low >= 0.0 && high < 1.0 && low <= high,
                    "what.neighbour.takes",
                    "expected 0 to under 1",
                )?;
                ensure(*on_off_s > 0.0, "what.neighbour.on_off_s", "expected a number above 0")
            }
            DisturbanceKind::Crowding { part, times } => {
                ensure(is_share(*part), "what.crowding.part", "expected above 0, at most 1")?;
                ensure(at_least_1(*times), "what.crowding.times", "expected 1 or more")
            }
            DisturbanceKind::FailingClass { part, class, errors } => {
                ensure(is_share(*part), "what.failing_class.part", "expected above 0, at most 1")?;
                ensure(
                    *class < world.classes.len(),
                    "what.failing_class.class",
                    "expected the index of a class",
                )?;
                ensure(is_share(*errors), "what.failing_class.errors", "expected above 0, at most 1")
            }
            DisturbanceKind::GatewayCrash { part }
            | DisturbanceKind::Silent { part, .. }
            | DisturbanceKind::HostCrash { part }
            | DisturbanceKind::FrozenReports { part } => {
                ensure(is_share(*part), "what.*.part", "expected above 0, at most 1")
            }
            DisturbanceKind::RetryStorm { retries } => {
                ensure(*retries <= 100, "what.retry_storm.retries", "expected 0 to 100")
            }
            DisturbanceKind::DiscoveryDown | DisturbanceKind::StaleList => Ok(()),
        }
    }

    /// Adds the changes and surges of the disturbance to a plan. `zones` holds the zone of each host.
    fn add_to_plan(&self, rng: &mut ChaCha8Rng, world: &World, zones: &[u32], plan: &mut Plan) {
        let (from, to) = (us(self.at_s * 1000.0), self.end());
        let hosts = zones.len() as u32;
        let mut start_and_end =
            |on: WorldChange, off: WorldChange| plan.changes.extend([(from, on), (to, off)]);
        match self.what {
            DisturbanceKind::Burst { times, rise_s } => {
                plan.surges.push(Surge {
                    from,
                    to,
                    rise: us(rise_s * 1000.0),
                    multiple: times,
                    tenant: None,
                });
            }
            DisturbanceKind::TenantFlood { tenant, times, rise_s } => {
                plan.surges.push(Surge {
                    from,
                    to,
                    rise: us(rise_s * 1000.0),
                    multiple: times,
                    tenant: Some(tenant),
                });
            }
            DisturbanceKind::ZoneLoss { zone, silent, gateways } => {
                let status = if silent { HostStatus::Silent } else { HostStatus::Dead };
                for host in (0..hosts).filter(|h| zones[*h as usize] == zone) {
                    start_and_end(WorldChange::StopHost(host, status), WorldChange::StartHost(host));
                }
                let in_zone = |g: &u32| g % world.zones.len() as u32 == zone;
                for gateway in (0..world.gateways).filter(|g| gateways && in_zone(g)) {
                    start_and_end(WorldChange::Gateway(gateway, false), WorldChange::Gateway(gateway, true));
                }
            }
            DisturbanceKind::GatewayCrash { part } => {
                for gateway in sample_indexes(rng, world.gateways, part) {
                    start_and_end(WorldChange::Gateway(gateway, false), WorldChange::Gateway(gateway, true));
                }
            }
            DisturbanceKind::Replacement { every_s, drain_s, abrupt } => {
                let mut at = from;
                while at < to {
                    plan.changes.push((at, WorldChange::ReplaceHost { drain: us(drain_s * 1000.0), abrupt }));
                    at += us(every_s * 1000.0).max(1);
                }
            }
            DisturbanceKind::Neighbour { part, takes, on_off_s } => {
                for host in sample_indexes(rng, hosts, part) {
                    let takes = takes.draw(rng);
                    let (mut at, mut on) = (from, true);
                    while at < to {
                        plan.changes.push((at, WorldChange::Neighbour(host, if on { takes } else { 0.0 })));
                        let length: f64 = Exp1.sample(rng);
                        (at, on) = (at + us(1000.0 * on_off_s * length).max(1000), !on);
                    }
                    plan.changes.push((to, WorldChange::Neighbour(host, 0.0)));
                }
            }
            DisturbanceKind::Crowding { part, times } => {
                for host in sample_indexes(rng, hosts, part) {
                    start_and_end(
                        WorldChange::Neighbour(host, 1.0 - 1.0 / times),
                        WorldChange::Neighbour(host, 0.0),
                    );
                }
            }
            DisturbanceKind::Silent { part, cold } => {
                for host in sample_indexes(rng, hosts, part) {
                    let back =
                        if cold { WorldChange::StartHost(host) } else { WorldChange::ResumeHost(host) };
                    start_and_end(WorldChange::StopHost(host, HostStatus::Silent), back);
                }
            }
            DisturbanceKind::HostCrash { part } => {
                for host in sample_indexes(rng, hosts, part) {
                    start_and_end(
                        WorldChange::StopHost(host, HostStatus::Dead),
                        WorldChange::StartHost(host),
                    );
                }
            }
            DisturbanceKind::DiscoveryDown => {
                start_and_end(WorldChange::DiscoveryDown(true), WorldChange::DiscoveryDown(false))
            }
            DisturbanceKind::StaleList => {
                start_and_end(WorldChange::DiscoveryStale(true), WorldChange::DiscoveryStale(false))
            }
            DisturbanceKind::FrozenReports { part } => {
                for host in sample_indexes(rng, hosts, part) {
                    start_and_end(
                        WorldChange::FreezeReports(host, true),
                        WorldChange::FreezeReports(host, false),
                    );
                }
            }
            DisturbanceKind::FailingClass { part, class, errors } => {
                for host in sample_indexes(rng, hosts, part) {
                    start_and_end(
                        WorldChange::FailClass(host, Some((class, errors))),
                        WorldChange::FailClass(host, None),
                    );
                }
            }
            DisturbanceKind::RetryStorm { retries } => {
                start_and_end(WorldChange::RetryStorm(Some(retries)), WorldChange::RetryStorm(None))
            }
        }
    }
}

/// Draws a share of `count` indexes, at least one, without replacement; returns them in ascending order.
fn sample_indexes(rng: &mut impl RngExt, count: u32, part: f64) -> Vec<u32> {
    let mut all: Vec<u32> = (0..count).collect();
    all.shuffle(rng);
    all.truncate(((f64::from(count) * part).round() as usize).max(1));
    all.sort_unstable();
    all
}

impl Plan {
    /// Expands the disturbances of a run. `zones` holds the zone of each host.
    pub fn new(disturbances: &[Disturbance], world: &World, zones: &[u32], seed: u64) -> Self {
        let mut plan = Plan::default();
        for (n, disturbance) in disturbances.iter().enumerate() {
            let mut rng = stream(seed, Purpose::Disturbance, n as u64);
            disturbance.add_to_plan(&mut rng, world, zones, &mut plan);
        }
        // The sort is stable, so that changes of the same time stay in the order of the file.
        plan.changes.sort_by_key(|change| change.0);
        plan
    }
}
