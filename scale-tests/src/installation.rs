//! The installation of a run and its changes, generated from a seed: every process that generates them gets
//! the same ones.
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Host, Key, Route, Scope, TENANT_SHARDS};

/// The size of an installation, and the seed that the installation is generated from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstallationSize {
    /// Seed of the installation and of its changes.
    pub seed: u64,
    /// Number of hollow gateways.
    pub gateways: usize,
    /// Number of hosts of all services together.
    pub hosts: usize,
    /// Number of services; each has at least one host.
    pub services: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Number of routes of all services together; each service has at least one.
    pub routes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones of all regions together; zone `z` is in region `z % regions`.
    pub zones: usize,
    /// Exponent of Zipf's law: the k-th service has a share of hosts and routes in proportion to `k^-zipf`.
    pub zipf: f64,
}

/// An installation: services with their hosts and routes, tenants, and zones.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The size that the installation was generated with.
    pub size: InstallationSize,
    hosts: Vec<u32>,             // Number of hosts, by service.
    first_host: Vec<u32>,        // Number of the first host, by service.
    routes: Vec<u32>,            // Number of routes, by service.
    cumulative_shares: Vec<f64>, // Running sum of the services' shares, up to 1.
}

/// Divides `total` in proportion to shares that sum up to 1; each share gets at least 1.
fn apportion(total: usize, shares: &[f64]) -> Vec<u32> {
    let surplus = total.saturating_sub(shares.len()) as f64;
    let mut running_sum = 0.0;
    let mut assigned = 0u32;
    shares
        .iter()
        .map(|share| {
            // The running sum is rounded instead of each part, so that the parts add up to the total.
            running_sum += share * surplus;
            let extra = (running_sum + 1e-6).floor() as u32 - assigned;
            assigned += extra;
            1 + extra
        })
        .collect()
}

impl Installation {
    /// Generates the installation of a size.
    ///
    /// # Errors
    /// A size out of range; the message names the command-line flag.
    pub fn generate(size: InstallationSize) -> Result<Installation, String> {
        let at_least = |name: &str, n: usize, min: usize| {
            (n >= min).then_some(()).ok_or_else(|| format!("--{name}: {n}, expected at least {min}"))
        };
        at_least("gateways", size.gateways, 1)?;
        at_least("services", size.services, 1)?;
        at_least("hosts", size.hosts, size.services)?;
        at_least("routes", size.routes, size.services)?;
        at_least("tenants", size.tenants, 1)?;
        at_least("regions", size.regions, 1)?;
        at_least("zones", size.zones, size.regions)?;
        if size.zones > usize::from(u16::MAX) || size.hosts > 10_000_000 || size.tenants > 100_000_000 {
            return Err("--zones, --hosts, --tenants: expected at most 65535, 10000000 and 100000000".into());
        }
        if !(0.0..=4.0).contains(&size.zipf) {
            return Err(format!("--zipf: {}, expected 0 to 4", size.zipf));
        }
        let weights: Vec<f64> = (1..=size.services).map(|k| (k as f64).powf(-size.zipf)).collect();
        let sum: f64 = weights.iter().sum();
        let shares: Vec<f64> = weights.iter().map(|w| w / sum).collect();
        let hosts = apportion(size.hosts, &shares);
        let first_host = hosts.iter().scan(0, |next, n| Some(std::mem::replace(next, *next + n))).collect();
        let cumulative_shares = shares.iter().scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        });
        Ok(Installation {
            size,
            first_host,
            cumulative_shares: cumulative_shares.collect(),
            routes: apportion(size.routes, &shares),
            hosts,
        })
    }

    /// Returns the initial number of hosts of a service.
    pub fn hosts_of(&self, service: u32) -> u32 {
        self.hosts[service as usize]
    }

    /// Returns the service that a host, given by its number, belongs to.
    pub fn service_of(&self, host: u32) -> u32 {
        (self.first_host.partition_point(|first| *first <= host) - 1) as u32
    }

    /// Returns the scope, key and initial entry of a host. Hosts are assigned to zones round-robin.
    pub fn host(&self, host: u32) -> (Scope, Key, Host) {
        let scope = Scope::Hosts(self.service_of(host));
        let [a, b, c, d] = host.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10 + a, b, c, d), 8080);
        let zone = (host as usize % self.size.zones) as u16;
        let entry = Host { address, zone, draining: false, weight_milli: 1000, started_s: 0 };
        (scope, Key::of(&format!("host-{host}")), entry)
    }

    /// Returns the number of reserved hosts, which are the first ones by number. [`ChangeStream`] doesn't
    /// change them, so that a run can drain one and observe the effect of the drain alone.
    pub fn reserved_hosts(&self) -> u32 {
        MAX_RESERVED_HOSTS.min(self.size.hosts as u32 / 2).max(1)
    }

    /// Returns the scope and key of a tenant's quota.
    pub fn tenant(&self, tenant: usize) -> (Scope, Key) {
        let key = Key::of(&format!("tenant-{tenant}"));
        (Scope::of_tenant(key), key)
    }

    /// Returns all entries of the installation before any change.
    pub fn initial_entries(&self) -> impl Iterator<Item = (Scope, Key, Entry)> + '_ {
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

    /// Returns the zone of a gateway or a distributor, given by its number. Members of each role are assigned
    /// to zones round-robin.
    pub fn zone_of(&self, member: usize) -> usize {
        member % self.size.zones
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: usize) -> usize {
        zone % self.size.regions
    }

    /// Returns the scopes that a gateway follows, highest priority first: hosts and routes of `services`
    /// services, chosen at random in proportion to their shares, and `shards` shards of tenants. If fewer
    /// services or shards exist, the gateway follows all of them.
    pub fn followed_scopes(&self, gateway: usize, services: usize, shards: usize) -> Vec<Scope> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.size.seed ^ (gateway as u64 + 1) << 20);
        let mut scopes = Vec::new();
        let mut chosen = std::collections::BTreeSet::new();
        while chosen.len() < services.min(self.size.services) {
            let service = self.random_service(&mut rng);
            if chosen.insert(service) {
                scopes.extend([Scope::Hosts(service), Scope::Routes(service)]);
            }
        }
        chosen.clear();
        while chosen.len() < shards.min(TENANT_SHARDS as usize) {
            let shard = rng.random_range(0..TENANT_SHARDS);
            if chosen.insert(shard) {
                scopes.push(Scope::Tenants(shard));
            }
        }
        scopes
    }

    /// Chooses a service at random, in proportion to the services' shares.
    fn random_service(&self, rng: &mut impl Rng) -> u32 {
        let point: f64 = rng.random();
        self.cumulative_shares.partition_point(|sum| *sum <= point).min(self.size.services - 1) as u32
    }
}

/// The largest number of hosts that [`ChangeStream`] leaves unchanged.
const MAX_RESERVED_HOSTS: u32 = 32;

/// The next change of a host. The changes of a host cycle through these in order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostTransition {
    StartDraining,
    Remove,
    AddAgain,
}

/// An endless stream of changes to an installation, the same for the same seed.
#[derive(Debug)]
pub struct ChangeStream<'a> {
    installation: &'a Installation,
    rng: ChaCha8Rng,
    /// Hosts that are draining or removed, each with its next transition, oldest first.
    in_transition: VecDeque<(u32, HostTransition)>,
    host_starts: u32,
}

/// With this many draining and removed hosts, the oldest of them changes next instead of a random host.
const MAX_HOSTS_IN_TRANSITION: usize = 12;

impl<'a> ChangeStream<'a> {
    /// Creates the stream of changes to an installation.
    pub fn new(installation: &'a Installation, seed: u64) -> Self {
        ChangeStream {
            installation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_transition: VecDeque::new(),
            host_starts: 0,
        }
    }

    /// Returns the next change of configuration: 60 % change a tenant's quota, 30 % a route, and 10 % the
    /// retry policy of a class in the whole fleet.
    pub fn next_configuration_change(&mut self) -> Change {
        let retry_policy = RetryPolicy::Within(self.rng.random_range(100..10_000));
        match self.rng.random_range(0..10) {
            0..6 => {
                let (scope, key) =
                    self.installation.tenant(self.rng.random_range(0..self.installation.size.tenants));
                Change { scope, key, entry: Some(Entry::Quota(self.rng.random_range(1..1000))) }
            }
            6..9 => {
                let service = self.installation.random_service(&mut self.rng);
                let n = self.rng.random_range(0..self.installation.routes[service as usize]);
                let entry = Some(Entry::Route(Route { class: (n % 7) as u16, retry_policy }));
                Change { scope: Scope::Routes(service), key: Key::of(&format!("route-{service}-{n}")), entry }
            }
            _ => {
                let key = Key::of(&format!("class-{}", self.rng.random_range(0..7)));
                Change { scope: Scope::Fleet, key, entry: Some(Entry::RetryPolicy(retry_policy)) }
            }
        }
    }

    /// Returns the next change of a host: the host starts draining, is removed, or is added again.
    pub fn next_host_change(&mut self) -> Change {
        let (host, transition) = match self.in_transition.front() {
            Some(oldest) if self.in_transition.len() >= MAX_HOSTS_IN_TRANSITION => *oldest,
            _ => {
                let hosts = self.installation.size.hosts as u32;
                (
                    self.rng.random_range(self.installation.reserved_hosts().min(hosts - 1)..hosts),
                    HostTransition::StartDraining,
                )
            }
        };
        // A random host that is already in transition makes its own next transition instead of draining.
        let (host, transition) = match self.in_transition.iter().position(|(h, _)| *h == host) {
            Some(index) => self.in_transition.remove(index).unwrap_or((host, transition)),
            None => (host, transition),
        };
        let (scope, key, mut entry) = self.installation.host(host);
        let entry = match transition {
            HostTransition::StartDraining => {
                entry.draining = true;
                self.in_transition.push_back((host, HostTransition::Remove));
                Some(entry)
            }
            HostTransition::Remove => {
                self.in_transition.push_back((host, HostTransition::AddAgain));
                None
            }
            HostTransition::AddAgain => {
                self.host_starts += 1;
                entry.started_s = self.host_starts;
                Some(entry)
            }
        };
        Change { scope, key, entry: entry.map(Entry::Host) }
    }
}
