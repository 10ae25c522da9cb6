//! The installation that a run plays: drawn from a seed, the same in every process that draws it.
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Host, Key, Route, Scope, TENANT_SHARDS};

/// How large an installation is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// What all is drawn from.
    pub seed: u64,
    /// Hollow gateways.
    pub gateways: usize,
    /// Hosts of all services.
    pub hosts: usize,
    /// Services; each has at least one host.
    pub services: usize,
    /// Tenants.
    pub tenants: usize,
    /// Routes of all services; each has at least one.
    pub routes: usize,
    /// Regions.
    pub regions: usize,
    /// Zones of all regions; zone `z` is in region `z % regions`.
    pub zones: usize,
    /// The exponent of Zipf's law: the k-th service has a share in proportion to `k^-zipf`.
    pub zipf: f64,
}

/// An installation.
#[derive(Clone, Debug)]
pub struct World {
    /// Its size.
    pub size: Size,
    hosts: Vec<u32>,      // Of each service.
    first: Vec<u32>,      // The number of each service's first host.
    routes: Vec<u32>,     // Of each service.
    cumulative: Vec<f64>, // Of the services' shares, up to 1.
}

/// Divides `all` in proportion to shares that sum up to 1, at least one each.
fn divide(all: usize, shares: &[f64]) -> Vec<u32> {
    let spare = all.saturating_sub(shares.len()) as f64;
    let mut taken = 0.0;
    let mut given = 0u32;
    shares
        .iter()
        .map(|share| {
            // By rounding the running sum, so that nothing is lost or added.
            taken += share * spare;
            let more = (taken + 1e-6).floor() as u32 - given;
            given += more;
            1 + more
        })
        .collect()
}

impl World {
    /// Draws one; what is wrong with the size is named.
    pub fn draw(size: Size) -> Result<World, String> {
        let at_least = |name: &str, n: usize, least: usize| {
            (n >= least).then_some(()).ok_or_else(|| format!("--{name}: {n}, expected at least {least}"))
        };
        at_least("gateways", size.gateways, 1)?;
        at_least("services", size.services, 1)?;
        at_least("hosts", size.hosts, size.services)?;
        at_least("routes", size.routes, size.services)?;
        at_least("tenants", size.tenants, 1)?;
        at_least("regions", size.regions, 1)?;
        at_least("zones", size.zones, size.regions)?;
        if size.zones > usize::from(u16::MAX) || size.hosts > 10_000_000 || size.tenants > 100_000_000 {
            return Err("--zones, --hosts or --tenants: more than this can play".into());
        }
        if !(0.0..=4.0).contains(&size.zipf) {
            return Err(format!("--zipf: {}, expected 0 to 4", size.zipf));
        }
        let weights: Vec<f64> = (1..=size.services).map(|k| (k as f64).powf(-size.zipf)).collect();
        let sum: f64 = weights.iter().sum();
        let shares: Vec<f64> = weights.iter().map(|w| w / sum).collect();
        let hosts = divide(size.hosts, &shares);
        let first = hosts.iter().scan(0, |next, n| Some(std::mem::replace(next, *next + n))).collect();
        let cumulative = shares.iter().scan(0.0, |sum, s| {
            *sum += s;
            Some(*sum)
        });
        Ok(World {
            size,
            first,
            cumulative: cumulative.collect(),
            routes: divide(size.routes, &shares),
            hosts,
        })
    }

    /// How many hosts a service has at the start.
    pub fn hosts_of(&self, service: u32) -> u32 {
        self.hosts[service as usize]
    }

    /// The service of a host, by the host's number.
    pub fn service_of(&self, host: u32) -> u32 {
        (self.first.partition_point(|first| *first <= host) - 1) as u32
    }

    /// A host's place and its entry at the start. Hosts are spread over the zones in turn.
    pub fn host(&self, host: u32) -> (Scope, Key, Host) {
        let scope = Scope::Hosts(self.service_of(host));
        let [a, b, c, d] = host.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10 + a, b, c, d), 8080);
        let zone = (host as usize % self.size.zones) as u16;
        let entry = Host { address, zone, draining: false, weight_milli: 1000, started_s: 0 };
        (scope, Key::of(&format!("host-{host}")), entry)
    }

    /// So many of the first hosts are left alone by [`Stream`], for who wants to see what becomes of theirs.
    pub fn spared(&self) -> u32 {
        SPARED.min(self.size.hosts as u32 / 2).max(1)
    }

    /// A tenant's place.
    pub fn tenant(&self, tenant: usize) -> (Scope, Key) {
        let key = Key::of(&format!("tenant-{tenant}"));
        (Scope::of_tenant(key), key)
    }

    /// All that is agreed at the start.
    pub fn entries(&self) -> impl Iterator<Item = (Scope, Key, Entry)> + '_ {
        let hosts = (0..self.size.hosts as u32).map(|n| {
            let (scope, key, host) = self.host(n);
            (scope, key, Entry::Host(host))
        });
        let routes = self.routes.iter().enumerate().flat_map(|(service, count)| {
            (0..*count).map(move |n| {
                let route = Route { class: (n % 7) as u16, retry_policy: RetryPolicy::Never };
                (Scope::Routes(service as u32), Key::of(&format!("route-{service}-{n}")), Entry::Route(route))
            })
        });
        let tenants = (0..self.size.tenants).map(|n| {
            let (scope, key) = self.tenant(n);
            (scope, key, Entry::Quota(5 + (n % 50) as u32))
        });
        let zones =
            (0..self.size.zones as u32).map(|z| (Scope::Zones, Key::from_number(z), Entry::Zone(true)));
        let fleet = (0..7).map(|n| {
            (Scope::Fleet, Key::of(&format!("class-{n}")), Entry::RetryPolicy(RetryPolicy::Within(800)))
        });
        hosts.chain(routes).chain(tenants).chain(zones).chain(fleet)
    }

    /// The zone of a gateway or a control machine, by its number among its like.
    pub fn zone_of(&self, member: usize) -> usize {
        member % self.size.zones
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.size.regions
    }

    /// The scopes that a gateway follows, hottest first: `services` services drawn by the law of their sizes, each with
    /// its hosts and routes, and `shards` shards of tenants. Of fewer there are, all.
    pub fn followed(&self, gateway: usize, services: usize, shards: usize) -> Vec<Scope> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.size.seed ^ (gateway as u64 + 1) << 20);
        let mut scopes = Vec::new();
        let mut drawn = std::collections::BTreeSet::new();
        while drawn.len() < services.min(self.size.services) {
            let service = self.drawn_service(&mut rng);
            if drawn.insert(service) {
                scopes.extend([Scope::Hosts(service), Scope::Routes(service)]);
            }
        }
        drawn.clear();
        while drawn.len() < shards.min(TENANT_SHARDS as usize) {
            let shard = rng.random_range(0..TENANT_SHARDS);
            if drawn.insert(shard) {
                scopes.push(Scope::Tenants(shard));
            }
        }
        scopes
    }

    fn drawn_service(&self, rng: &mut impl Rng) -> u32 {
        let at: f64 = rng.random();
        self.cumulative.partition_point(|sum| *sum <= at).min(self.size.services - 1) as u32
    }
}

/// At most so many hosts are left alone.
const SPARED: u32 = 32;

/// What befalls a host, in turn: it drains, it is gone, it is back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Drains,
    Gone,
    Back,
}

/// A stream of changes, the same for the same seed.
#[derive(Debug)]
pub struct Stream<'a> {
    world: &'a World,
    rng: ChaCha8Rng,
    underway: VecDeque<(u32, Stage)>,
    starts: u32,
}

/// So many hosts are somewhere between their drain and their return at once.
const UNDERWAY: usize = 12;

impl<'a> Stream<'a> {
    /// One over this installation.
    pub fn new(world: &'a World, seed: u64) -> Self {
        Stream { world, rng: ChaCha8Rng::seed_from_u64(seed), underway: VecDeque::new(), starts: 0 }
    }

    /// A change of configuration: six in ten of a tenant's quota, three of a route, one of the whole fleet.
    pub fn configuration(&mut self) -> Change {
        let repeat = RetryPolicy::Within(self.rng.random_range(100..10_000));
        match self.rng.random_range(0..10) {
            0..6 => {
                let (scope, key) = self.world.tenant(self.rng.random_range(0..self.world.size.tenants));
                Change { scope, key, entry: Some(Entry::Quota(self.rng.random_range(1..1000))) }
            }
            6..9 => {
                let service = self.world.drawn_service(&mut self.rng);
                let n = self.rng.random_range(0..self.world.routes[service as usize]);
                let entry = Some(Entry::Route(Route { class: (n % 7) as u16, retry_policy: repeat }));
                Change { scope: Scope::Routes(service), key: Key::of(&format!("route-{service}-{n}")), entry }
            }
            _ => {
                let key = Key::of(&format!("class-{}", self.rng.random_range(0..7)));
                Change { scope: Scope::Fleet, key, entry: Some(Entry::RetryPolicy(repeat)) }
            }
        }
    }

    /// The next state of some host.
    pub fn host(&mut self) -> Change {
        let (host, stage) = match self.underway.front() {
            Some(next) if self.underway.len() >= UNDERWAY => *next,
            _ => {
                let all = self.world.size.hosts as u32;
                (self.rng.random_range(self.world.spared().min(all - 1)..all), Stage::Drains)
            }
        };
        // A host that is underway already takes its own next step.
        let (host, stage) = match self.underway.iter().position(|(h, _)| *h == host) {
            Some(at) => self.underway.remove(at).unwrap_or((host, stage)),
            None => (host, stage),
        };
        let (scope, key, mut entry) = self.world.host(host);
        let entry = match stage {
            Stage::Drains => {
                entry.draining = true;
                self.underway.push_back((host, Stage::Gone));
                Some(entry)
            }
            Stage::Gone => {
                self.underway.push_back((host, Stage::Back));
                None
            }
            Stage::Back => {
                self.starts += 1;
                entry.started_s = self.starts;
                Some(entry)
            }
        };
        Change { scope, key, entry: entry.map(Entry::Host) }
    }
}
