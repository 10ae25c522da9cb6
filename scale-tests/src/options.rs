//! What a run is told on the command line, its defaults, and what is wrong with it.
use crate::faults::Fault;
use crate::installation::Size;
use std::path::PathBuf;
use ternstack_replication::lease::LeaseConfig;

/// A run: a fleet of hollow gateways before an installation that is drawn from a seed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// A small run of under 40 s: 200 gateways, 2,000 hosts, 100 services, 5,000 tenants, 4 control machines.
    #[arg(long)]
    pub quick: bool,
    /// Hollow gateways [default: 8900].
    #[arg(long)]
    pub gateways: Option<usize>,
    /// Hosts of all services [default: 200000].
    #[arg(long)]
    pub hosts: Option<usize>,
    /// Services [default: 3700].
    #[arg(long)]
    pub services: Option<usize>,
    /// Tenants [default: 670000].
    #[arg(long)]
    pub tenants: Option<usize>,
    /// Routes of all services [default: 11 a service].
    #[arg(long)]
    pub routes: Option<usize>,
    /// Distributors [default: one for 300 gateways, at least two].
    #[arg(long)]
    pub distributors: Option<usize>,
    /// Regions [default: 6].
    #[arg(long)]
    pub regions: Option<usize>,
    /// Zones of all regions [default: 15].
    #[arg(long)]
    pub zones: Option<usize>,
    /// Changes of configuration a second [default: 0.7].
    #[arg(long)]
    pub changes_per_s: Option<f64>,
    /// Changes of hosts a second [default: 62,100 machines a day of 200,000, three states each].
    #[arg(long)]
    pub host_changes_per_s: Option<f64>,
    /// How long changes come before the first fault, in seconds [default: 20].
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Faults, in the order given; `all` for every one.
    #[arg(long = "fault", num_args = 1.., value_name = "NAME")]
    pub faults: Vec<String>,
    /// How unequal services are: the k-th has a share in proportion to k to the power of minus this.
    #[arg(long, default_value_t = 0.8)]
    pub zipf: f64,
    /// Services that a gateway follows, drawn by the law of their sizes.
    #[arg(long, default_value_t = 8)]
    pub follow_services: usize,
    /// Shards of tenants, of 4096, that a gateway follows.
    #[arg(long, default_value_t = 16)]
    pub follow_shards: usize,
    /// Followers of everything, in a process of their own.
    #[arg(long, default_value_t = 1)]
    pub everything: usize,
    /// Most hollow gateways in a process.
    #[arg(long, default_value_t = 900)]
    pub per_process: usize,
    /// Most bytes a second to a gateway.
    #[arg(long, default_value_t = 12_000)]
    pub bytes_per_s: u32,
    /// How long a lease lasts, in ms.
    #[arg(long, default_value_t = 1900.0)]
    pub lease_ms: f64,
    /// What the installation and its changes are drawn from.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One run for each of these numbers of gateways; hosts, services, routes and tenants in proportion, changes as they are.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub steps: Vec<usize>,
    /// One run for each of these numbers of hosts, all else fixed.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub host_steps: Vec<usize>,
    /// Two real gateways with servers and load as well: one follows control, the other runs without.
    #[arg(long)]
    pub real: bool,
    /// Leave out the cost of a change when a version is the whole state.
    #[arg(long)]
    pub no_before: bool,
    /// Print the results as JSON in place of tables.
    #[arg(long)]
    pub json: bool,
    /// The folder for scale.json and scale.html.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// One run, with all figures settled.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Plan {
    /// The installation.
    pub size: Size,
    /// Distributors.
    pub distributors: usize,
    /// Changes of configuration a second.
    pub changes_per_s: f64,
    /// Changes of hosts a second.
    pub host_changes_per_s: f64,
    /// How long changes come before the first fault.
    pub seconds: u64,
    /// How long nothing changes before, in s.
    pub quiet_s: u64,
    /// Whether ten times the changes come for as long after them.
    pub tenfold: bool,
    /// Then these, one after another.
    pub faults: Vec<Fault>,
    /// Services a gateway follows.
    pub follow_services: usize,
    /// Shards a gateway follows.
    pub follow_shards: usize,
    /// Followers of everything.
    pub everything: usize,
    /// Most hollow gateways in a process.
    pub per_process: usize,
    /// Whether two real gateways run beside the fleet.
    pub real: bool,
    /// The leases' terms, with the bytes that a gateway may be sent.
    pub terms: LeaseConfig,
}

/// 62,100 machines a day fail or are restarted, of 200,000, with three states each.
const HOST_CHANGES_PER_S: f64 = 62_100.0 * 3.0 / 86_400.0 / 200_000.0;
/// More than this is no run on one machine.
const MOST_PROCESSES: usize = 200;

impl Options {
    /// The runs that are asked for; what is wrong is named by its flag.
    pub fn plans(&self) -> Result<Vec<Plan>, String> {
        if !self.steps.is_empty() && !self.host_steps.is_empty() {
            return Err("--steps and --host-steps: one of them at a time".into());
        }
        let base = self.plan()?;
        let scaled = |n: usize, by: f64, least: usize| ((n as f64 * by).round() as usize).max(least);
        let mut plans = Vec::new();
        for gateways in &self.steps {
            let by = *gateways as f64 / base.size.gateways as f64;
            let services = scaled(base.size.services, by, 1);
            let size = Size {
                gateways: *gateways,
                hosts: scaled(base.size.hosts, by, services),
                services,
                routes: scaled(base.size.routes, by, services),
                tenants: scaled(base.size.tenants, by, 1),
                ..base.size
            };
            let distributors = self.distributors.unwrap_or(default_distributors(*gateways));
            plans.push(Plan { size, distributors, ..base.clone() });
        }
        for hosts in &self.host_steps {
            plans.push(Plan { size: Size { hosts: *hosts, ..base.size }, ..base.clone() });
        }
        if plans.is_empty() {
            plans.push(base);
        }
        plans.iter().try_for_each(Plan::check)?;
        Ok(plans)
    }

    fn plan(&self) -> Result<Plan, String> {
        let or = |told: Option<usize>, full: usize, quick: usize| {
            told.unwrap_or(if self.quick { quick } else { full })
        };
        let gateways = or(self.gateways, 8900, 200);
        let services = or(self.services, 3700, 100);
        let hosts = or(self.hosts, 200_000, 2000);
        let size = Size {
            seed: self.seed,
            gateways,
            hosts,
            services,
            tenants: or(self.tenants, 670_000, 5000),
            routes: self.routes.unwrap_or(if services == 3700 { 41_000 } else { services * 11 }),
            regions: or(self.regions, 6, 2),
            zones: or(self.zones, 15, 4),
            zipf: self.zipf,
        };
        let (rate, seconds) = if self.quick { (5.0, 6) } else { (0.7, 20) };
        let mut faults = Vec::new();
        for name in &self.faults {
            match name.as_str() {
                "all" => faults.extend(Fault::ALL),
                _ => faults.push(Fault::named(name)?),
            }
        }
        if self.quick && self.faults.is_empty() {
            faults = vec![Fault::Kill, Fault::ZoneLost];
        }
        Ok(Plan {
            size,
            distributors: self.distributors.unwrap_or(if self.quick {
                4
            } else {
                default_distributors(gateways)
            }),
            changes_per_s: self.changes_per_s.unwrap_or(rate),
            host_changes_per_s: self.host_changes_per_s.unwrap_or(if self.quick {
                5.0
            } else {
                HOST_CHANGES_PER_S * hosts as f64
            }),
            seconds: self.seconds.unwrap_or(seconds),
            quiet_s: if self.quick { 2 } else { 5 },
            tenfold: !self.quick,
            faults,
            follow_services: self.follow_services,
            follow_shards: self.follow_shards,
            everything: self.everything,
            real: self.real,
            per_process: self.per_process,
            terms: LeaseConfig {
                lease_ms: self.lease_ms,
                bytes_per_s: f64::from(self.bytes_per_s),
                ..LeaseConfig::default()
            },
        })
    }
}

fn default_distributors(gateways: usize) -> usize {
    gateways.div_ceil(300).max(2)
}

impl Plan {
    /// Processes of hollow gateways.
    pub fn hollow_processes(&self) -> usize {
        self.size.gateways.div_ceil(self.per_process.max(1))
    }

    /// Whether it can be played; the flag at fault is named.
    pub fn check(&self) -> Result<(), String> {
        crate::installation::World::draw(self.size)?;
        for (name, rate) in
            [("changes-per-s", self.changes_per_s), ("host-changes-per-s", self.host_changes_per_s)]
        {
            if !(0.0..=1000.0).contains(&rate) {
                return Err(format!("--{name}: {rate}, expected 0 to 1000"));
            }
        }
        if !(200.0..=60_000.0).contains(&self.terms.lease_ms) {
            return Err(format!("--lease-ms: {}, expected 200 to 60000", self.terms.lease_ms));
        }
        if !(1..=3600).contains(&self.seconds) {
            return Err(format!("--seconds: {}, expected 1 to 3600", self.seconds));
        }
        if self.per_process == 0 || self.distributors == 0 || self.terms.bytes_per_s <= 0.0 {
            return Err("--per-process, --distributors, --bytes-per-s: expected at least 1".into());
        }
        let processes = self.hollow_processes() + self.distributors + 3;
        if processes > MOST_PROCESSES {
            let most = format!("{processes} processes, expected at most {MOST_PROCESSES}");
            return Err(format!("--gateways, --per-process, --distributors: {most}"));
        }
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
        let most = self.per_process.max(self.size.gateways.div_ceil(self.distributors) * 3) * 2 + 100;
        if most as u64 > limit {
            return Err(format!(
                "--per-process, --distributors: {most} descriptors in a process, of {limit}"
            ));
        }
        Ok(())
    }
}
