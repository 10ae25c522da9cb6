//! The operators' file, which tells control servers and gateways alike which servers, zones and services there are, and the
//! file of changes to propose. Errors name the file, the line, the key and what was expected. The keys of the files are
//! the operators' words; fields have the code's terms:
//!
//! | in the files | in the code |
//! |---|---|
//! | `machine` | control server, [`ServerSection`] |
//! | `origin` | primary, [`ServerRole::Primary`] |
//! | `distributor` | replica, [`ServerRole::Replica`] |
//! | `terms` | lease settings, [`LeaseConfig`] |
use crate::gateway_client::{GatewayClientConfig, ScopePriority, ServerEndpoint, SnapshotConfig};
use serde::Deserialize;
use source_text::{one_of, SourceText};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::scope::Scope;
use ternstack_replication::wire::Member;

mod changes;
mod error;
mod source_text;
mod validation;

pub use changes::parse_changes;
pub use error::{InvalidContent, InvalidFile, OperatorFileError, UnknownServer};

/// The snapshot interval of a gateway whose section has none.
const DEFAULT_SNAPSHOT_INTERVAL_S: u64 = 60;
/// The fetch priority of each of a gateway's services.
const SERVICE_PRIORITY: f64 = 1.0;

/// What a control server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ServerRole {
    /// Puts proposals together into revisions and brings these into force.
    #[serde(rename = "origin")]
    Primary,
    /// Stands between the primary and the gateways.
    #[serde(rename = "distributor")]
    Replica,
}

/// A `[[machine]]` section: a control server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSection {
    /// Its name, which no other server has.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// What it does.
    pub role: ServerRole,
    /// The name of its zone.
    pub zone: String,
}

/// A `[[zone]]` section.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSection {
    /// Its name, as in the gateways' settings.
    pub name: String,
    /// Its number, which it keeps for good.
    pub number: u16,
    /// The region that it is in.
    pub region: String,
}

/// A `[[service]]` section.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// Its name.
    pub name: String,
    /// Its number, which it keeps for good.
    pub number: u32,
}

/// The `[gateway]` section: the gateway that reads the file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySection {
    /// Its name, which no other gateway has.
    pub name: String,
    /// The name of its zone.
    pub zone: String,
    /// The names of the services whose hosts it forwards to.
    pub services: Vec<String>,
    /// The file of its snapshot; without one it starts with no state.
    pub snapshot: Option<PathBuf>,
    /// The interval of snapshots, in s.
    #[serde(default = "default_snapshot_interval_s")]
    pub snapshot_every_s: u64,
}

fn default_snapshot_interval_s() -> u64 {
    DEFAULT_SNAPSHOT_INTERVAL_S
}

/// The operators' file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// The lease and traffic settings, the same at all members.
    #[serde(default, rename = "terms")]
    pub lease: LeaseConfig,
    /// The control servers.
    #[serde(rename = "machine")]
    pub servers: Vec<ServerSection>,
    /// The zones.
    #[serde(rename = "zone")]
    pub zones: Vec<ZoneSection>,
    /// The services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSection>,
    /// The gateway that reads the file.
    pub gateway: Option<GatewaySection>,
}

impl OperatorFile {
    /// Reads and checks a file.
    pub fn from_file(path: &Path) -> Result<Self, OperatorFileError> {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| OperatorFileError::Read { path: path.to_path_buf(), source })?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses and checks the content of a file; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, InvalidFile> {
        let source = SourceText { file, text };
        let operator: OperatorFile = source.parse()?;
        validation::check(&operator, &source)?;
        Ok(operator)
    }

    /// The zone of that name.
    pub fn zone(&self, name: &str) -> Option<&ZoneSection> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&ServiceSection> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The control server of that name and role.
    pub fn server(&self, name: &str, role: ServerRole) -> Result<&ServerSection, UnknownServer> {
        let found = self.servers_of(role).find(|server| server.name == name);
        found.ok_or_else(|| UnknownServer {
            name: name.to_string(),
            expected: one_of(self.servers_of(role).map(|server| &server.name)),
        })
    }

    /// The addresses of the primaries, in the file's order.
    pub fn primary_addresses(&self) -> Vec<SocketAddr> {
        self.servers_of(ServerRole::Primary).map(|server| server.address).collect()
    }

    /// The configuration of the gateway's client; `None` if the file has no `[gateway]`. Each call makes another
    /// incarnation.
    pub fn gateway_client_config(&self) -> Option<GatewayClientConfig> {
        let gateway = self.gateway.as_ref()?;
        let snapshot = gateway.snapshot.as_ref().map(|path| SnapshotConfig {
            path: path.clone(),
            write_interval: Duration::from_secs(gateway.snapshot_every_s),
            on_blocking_thread: true,
        });
        let scope_of = |name: &String| {
            let scope = Scope::Hosts(self.service(name)?.number);
            Some(ScopePriority { scope, priority: SERVICE_PRIORITY })
        };
        Some(GatewayClientConfig {
            member: new_incarnation(&gateway.name),
            zone: gateway.zone.clone(),
            region: self.region_of(&gateway.zone),
            servers: self.gateway_servers(),
            lease: self.lease,
            snapshot,
            scopes: gateway.services.iter().filter_map(scope_of).collect(),
        })
    }

    /// The servers that gateways connect to: the replicas, or the primaries of an installation without replicas.
    fn gateway_servers(&self) -> Vec<ServerEndpoint> {
        let endpoint = |server: &ServerSection| ServerEndpoint {
            name: server.name.clone(),
            address: server.address,
            region: self.region_of(&server.zone),
            zone: server.zone.clone(),
        };
        let replicas: Vec<ServerEndpoint> = self.servers_of(ServerRole::Replica).map(endpoint).collect();
        if replicas.is_empty() {
            return self.servers.iter().map(endpoint).collect();
        }
        replicas
    }

    fn servers_of(&self, role: ServerRole) -> impl Iterator<Item = &ServerSection> {
        self.servers.iter().filter(move |server| server.role == role)
    }

    fn region_of(&self, zone: &str) -> String {
        self.zone(zone).map_or(String::new(), |zone| zone.region.clone())
    }

    fn zone_names(&self) -> String {
        one_of(self.zones.iter().map(|zone| &zone.name))
    }

    fn service_names(&self) -> String {
        one_of(self.services.iter().map(|service| &service.name))
    }
}

/// A member that starts now: its incarnation is the time in us since the Unix epoch.
pub fn new_incarnation(name: &str) -> Member {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member { name: name.to_string(), incarnation: since_epoch.as_micros() as u64 }
}
