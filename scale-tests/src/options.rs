//! Command-line options of the scale tests, their defaults, and their validation.
use crate::faults::Fault;
use crate::installation::InstallationSize;
use std::path::PathBuf;
use ternstack_replication::lease::LeaseConfig;

/// The options of one invocation: the size of the fleet, the load of changes, the faults, and the output.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// A small run of under 40 s: 200 gateways, 2,000 hosts, 100 services, 5,000 tenants, 4 distributors.
    #[arg(long)]
    pub quick: bool,
    /// Number of hollow gateways [default: 8900].
    #[arg(long)]
    pub gateways: Option<usize>,
    /// Number of hosts of all services together [default: 200000].
    #[arg(long)]
    pub hosts: Option<usize>,
    /// Number of services [default: 3700].
    #[arg(long)]
    pub services: Option<usize>,
    /// Number of tenants [default: 670000].
    #[arg(long)]
    pub tenants: Option<usize>,
    /// Number of routes of all services together [default: 11 a service].
    #[arg(long)]
    pub routes: Option<usize>,
    /// Number of distributors [default: one for 300 gateways, at least two].
    #[arg(long)]
    pub distributors: Option<usize>,
    /// Number of regions [default: 6].
    #[arg(long)]
    pub regions: Option<usize>,
    /// Number of zones of all regions together [default: 15].
    #[arg(long)]
    pub zones: Option<usize>,
    /// Changes of configuration a second [default: 0.7].
    #[arg(long)]
    pub changes_per_s: Option<f64>,
    /// Changes of hosts a second [default: 62,100 of 200,000 hosts restart a day, with three changes each].
    #[arg(long)]
    pub host_changes_per_s: Option<f64>,
    /// Length of each phase of changes before the first fault, in seconds [default: 20].
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Faults to inject, in the given order; `all` stands for every fault.
    #[arg(long = "fault", num_args = 1.., value_name = "NAME")]
    pub faults: Vec<String>,
    /// Exponent of Zipf's law: the k-th service has a share of hosts and routes in proportion to k^-zipf.
    #[arg(long, default_value_t = 0.8)]
    pub zipf: f64,
    /// Number of services that a gateway follows, chosen at random in proportion to the services' shares.
    #[arg(long, default_value_t = 8)]
    pub follow_services: usize,
    /// Number of tenant shards, of 4096, that a gateway follows.
    #[arg(long, default_value_t = 16)]
    pub follow_shards: usize,
    /// Number of followers of everything, which run in a process of their own.
    #[arg(long, default_value_t = 1)]
    pub everything: usize,
    /// Largest number of hollow gateways in a process.
    #[arg(long, default_value_t = 900)]
    pub per_process: usize,
    /// Largest number of bytes a second that a gateway is sent.
    #[arg(long, default_value_t = 12_000)]
    pub bytes_per_s: u32,
    /// Duration of a lease, in ms.
    #[arg(long, default_value_t = 1900.0)]
    pub lease_ms: f64,
    /// Seed of the installation and of its changes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// One run for each of these numbers of gateways, with hosts, services, routes and tenants in proportion
    /// and the same rates of changes.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub steps: Vec<usize>,
    /// One run for each of these numbers of hosts; all other options stay the same.
    #[arg(long, value_delimiter = ',', value_name = "N,N,...")]
    pub host_steps: Vec<usize>,
    /// Also run two real gateways with upstream servers and load: one follows the control servers, the other
    /// doesn't.
    #[arg(long)]
    pub real: bool,
    /// Don't measure the cost of a change when a version is the full state.
    #[arg(long)]
    pub no_before: bool,
    /// Print the results as JSON instead of tables.
    #[arg(long)]
    pub json: bool,
    /// Folder to write scale.json and scale.html to.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// The plan of one run, with all defaults resolved.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Plan {
    /// The size of the installation.
    pub size: InstallationSize,
    /// Number of distributors.
    pub distributors: usize,
    /// Changes of configuration a second.
    pub changes_per_s: f64,
    /// Changes of hosts a second.
    pub host_changes_per_s: f64,
    /// Length of each phase of changes before the first fault, in s.
    pub seconds: u64,
    /// Length of the phase without changes at the beginning, in s.
    pub quiet_s: u64,
    /// Whether a phase with ten times the changes of configuration follows the phase of changes.
    pub tenfold: bool,
    /// The faults to inject after the phases of changes, in order.
    pub faults: Vec<Fault>,
    /// Number of services that a gateway follows.
    pub follow_services: usize,
    /// Number of tenant shards that a gateway follows.
    pub follow_shards: usize,
    /// Number of followers of everything.
    pub everything: usize,
    /// Largest number of hollow gateways in a process.
    pub per_process: usize,
    /// Whether two real gateways run beside the fleet.
    pub real: bool,
    /// The lease configuration, with the bytes a second that a gateway may be sent.
    #[serde(rename = "terms")]
    pub lease: LeaseConfig,
}

/// Changes a second of one host: 62,100 of 200,000 hosts fail or restart a day, with three changes each.
const CHANGES_PER_S_OF_HOST: f64 = 62_100.0 * 3.0 / 86_400.0 / 200_000.0;
/// The largest number of processes of a run, because all of them run on one machine.
const MAX_PROCESSES: usize = 200;

impl Options {
    /// Returns the plans of all runs: one for each step, or a single one without steps.
    ///
    /// # Errors
    /// A value that is out of range; the message names the flag.
    pub fn plans(&self) -> Result<Vec<Plan>, String> {
        if !self.steps.is_empty() && !self.host_steps.is_empty() {
            return Err("--steps and --host-steps: expected at most one of them".into());
        }
        let base = self.base_plan()?;
        let scaled = |n: usize, factor: f64, min: usize| ((n as f64 * factor).round() as usize).max(min);
        let mut plans = Vec::new();
        for gateways in &self.steps {
            let factor = *gateways as f64 / base.size.gateways as f64;
            let services = scaled(base.size.services, factor, 1);
            let size = InstallationSize {
                gateways: *gateways,
                hosts: scaled(base.size.hosts, factor, services),
                services,
                routes: scaled(base.size.routes, factor, services),
                tenants: scaled(base.size.tenants, factor, 1),
                ..base.size
            };
            let distributors = self.distributors.unwrap_or(default_distributors(*gateways));
            plans.push(Plan { size, distributors, ..base.clone() });
        }
        for hosts in &self.host_steps {
            plans.push(Plan { size: InstallationSize { hosts: *hosts, ..base.size }, ..base.clone() });
        }
        if plans.is_empty() {
            plans.push(base);
        }
        plans.iter().try_for_each(Plan::validate)?;
        Ok(plans)
    }

    /// Returns the plan without steps.
    fn base_plan(&self) -> Result<Plan, String> {
        let or_default = |option: Option<usize>, full: usize, quick: usize| {
            option.unwrap_or(if self.quick { quick } else { full })
        };
        let gateways = or_default(self.gateways, 8900, 200);
        let services = or_default(self.services, 3700, 100);
        let hosts = or_default(self.hosts, 200_000, 2000);
        let size = InstallationSize {
            seed: self.seed,
            gateways,
            hosts,
            services,
            tenants: or_default(self.tenants, 670_000, 5000),
            routes: self.routes.unwrap_or(if services == 3700 { 41_000 } else { services * 11 }),
            regions: or_default(self.regions, 6, 2),
            zones: or_default(self.zones, 15, 4),
            zipf: self.zipf,
        };
        let (changes_per_s, seconds) = if self.quick { (5.0, 6) } else { (0.7, 20) };
        let mut faults = Vec::new();
        for name in &self.faults {
            match name.as_str() {
                "all" => faults.extend(Fault::ALL),
                _ => faults.push(Fault::from_name(name)?),
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
            changes_per_s: self.changes_per_s.unwrap_or(changes_per_s),
            host_changes_per_s: self.host_changes_per_s.unwrap_or(if self.quick {
                5.0
            } else {
                CHANGES_PER_S_OF_HOST * hosts as f64
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
            lease: LeaseConfig {
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
    /// Returns the number of worker processes of hollow gateways, without the followers of everything.
    pub fn hollow_workers(&self) -> usize {
        self.size.gateways.div_ceil(self.per_process.max(1))
    }

    /// Checks that the plan can be executed.
    ///
    /// # Errors
    /// A value that is out of range, or a plan that needs more processes or file descriptors than allowed;
    /// the message names the flag.
    pub fn validate(&self) -> Result<(), String> {
        crate::installation::Installation::generate(self.size)?;
        for (name, rate) in
            [("changes-per-s", self.changes_per_s), ("host-changes-per-s", self.host_changes_per_s)]
        {
            if !(0.0..=1000.0).contains(&rate) {
                return Err(format!("--{name}: {rate}, expected 0 to 1000"));
            }
        }
        if !(200.0..=60_000.0).contains(&self.lease.lease_ms) {
            return Err(format!("--lease-ms: {}, expected 200 to 60000", self.lease.lease_ms));
        }
        if !(1..=3600).contains(&self.seconds) {
            return Err(format!("--seconds: {}, expected 1 to 3600", self.seconds));
        }
        if self.per_process == 0 || self.distributors == 0 || self.lease.bytes_per_s <= 0.0 {
            return Err("--per-process, --distributors, --bytes-per-s: expected at least 1".into());
        }
        let processes = self.hollow_workers() + self.distributors + 3;
        if processes > MAX_PROCESSES {
            let problem = format!("{processes} processes, expected at most {MAX_PROCESSES}");
            return Err(format!("--gateways, --per-process, --distributors: {problem}"));
        }
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = self.per_process.max(self.size.gateways.div_ceil(self.distributors) * 3) * 2 + 100;
        if descriptors as u64 > limit {
            return Err(format!(
                "--per-process, --distributors: {descriptors} file descriptors in a process, \
                 expected at most {limit}"
            ));
        }
        Ok(())
    }
}
