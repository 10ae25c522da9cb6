//! The operators' file, from which control servers and gateways read the servers, zones and services of an
//! installation, and the file of changes to propose. Errors name the file, the line, the key and the expected
//! value. Some keys of the files have other names in the code:
//!
//! | key in the files | term in the code |
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

/// The snapshot interval of a gateway whose section has no `snapshot_every_s`.
const DEFAULT_SNAPSHOT_INTERVAL_S: u64 = 60;
/// The fetch priority of the services of a gateway, which are all equally important.
const SERVICE_PRIORITY: f64 = 1.0;

/// The role of a control server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ServerRole {
    /// The server that combines proposals into revisions and brings the revisions into force.
    #[serde(rename = "origin")]
    Primary,
    /// A server that follows the primary and responds to the polls of gateways.
    #[serde(rename = "distributor")]
    Replica,
}

/// A `[[machine]]` section, which describes a control server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSection {
    /// The unique name of the server.
    pub name: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The role of the server.
    pub role: ServerRole,
    /// The name of the server's zone.
    pub zone: String,
}

/// A `[[zone]]` section, which describes a zone.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSection {
    /// The unique name of the zone, which is also the name in the settings of gateways.
    pub name: String,
    /// The unique number of the zone in the replicated state. The number must never change.
    pub number: u16,
    /// The name of the region that contains the zone.
    pub region: String,
}

/// A `[[service]]` section, which describes a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// The unique name of the service.
    pub name: String,
    /// The unique number of the service in the replicated state. The number must never change.
    pub number: u32,
}

/// The `[gateway]` section, which describes the gateway that reads the file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySection {
    /// The name of the gateway, which must differ from that of every other gateway.
    pub name: String,
    /// The name of the gateway's zone.
    pub zone: String,
    /// The names of the services to whose hosts the gateway forwards requests.
    pub services: Vec<String>,
    /// The path of the snapshot file; without a path the gateway starts without state.
    pub snapshot: Option<PathBuf>,
    /// The interval between snapshots, in s.
    #[serde(default = "default_snapshot_interval_s")]
    pub snapshot_every_s: u64,
}

fn default_snapshot_interval_s() -> u64 {
    DEFAULT_SNAPSHOT_INTERVAL_S
}

/// The content of the operators' file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// The lease and traffic settings, which have to be the same at all members.
    #[serde(default, rename = "terms")]
    pub lease: LeaseConfig,
    /// The control servers, at least one of which is a primary.
    #[serde(rename = "machine")]
    pub servers: Vec<ServerSection>,
    /// The zones of the installation.
    #[serde(rename = "zone")]
    pub zones: Vec<ZoneSection>,
    /// The services of the installation.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSection>,
    /// The gateway that reads the file; `None` in the file of a control server.
    pub gateway: Option<GatewaySection>,
}

impl OperatorFile {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// An [`OperatorFileError`] if the file cannot be read, or with the first problem of its content.
    pub fn from_file(path: &Path) -> Result<Self, OperatorFileError> {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| OperatorFileError::Read { path: path.to_path_buf(), source })?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses and checks the content of a file. `file` is the name of the file in errors.
    ///
    /// # Errors
    /// An [`InvalidFile`] with the first problem in the content.
    pub fn parse(file: &str, text: &str) -> Result<Self, InvalidFile> {
        let source = SourceText { file, text };
        let operator: OperatorFile = source.parse()?;
        validation::check(&operator, &source)?;
        Ok(operator)
    }

    /// Returns the zone with that name.
    pub fn zone(&self, name: &str) -> Option<&ZoneSection> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Returns the service with that name.
    pub fn service(&self, name: &str) -> Option<&ServiceSection> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the control server with that name and role.
    ///
    /// # Errors
    /// [`UnknownServer`] if no server of that role has the name.
    pub fn server(&self, name: &str, role: ServerRole) -> Result<&ServerSection, UnknownServer> {
        let found = self.servers_of(role).find(|server| server.name == name);
        found.ok_or_else(|| UnknownServer {
            name: name.to_string(),
            expected: one_of(self.servers_of(role).map(|server| &server.name)),
        })
    }

    /// Returns the addresses of the primaries, in the order of the file.
    pub fn primary_addresses(&self) -> Vec<SocketAddr> {
        self.servers_of(ServerRole::Primary).map(|server| server.address).collect()
    }

    /// Returns the configuration of the gateway's client, or `None` if the file has no `[gateway]` section.
    /// Each call creates a new incarnation of the member.
    pub fn gateway_client_config(&self) -> Option<GatewayClientConfig> {
        let gateway = self.gateway.as_ref()?;
        let snapshot = gateway.snapshot.as_ref().map(|path| SnapshotConfig {
            path: path.clone(),
            write_interval: Duration::from_secs(gateway.snapshot_every_s),
            on_blocking_thread: true,
        });
        let scope_of_service = |name: &String| {
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
            scopes: gateway.services.iter().filter_map(scope_of_service).collect(),
        })
    }

    /// Returns the servers that gateways connect to: the replicas, or the primaries if there are no replicas.
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

/// Returns a member of that name whose incarnation is the current time in us since the Unix epoch.
pub fn new_incarnation(name: &str) -> Member {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member { name: name.to_string(), incarnation: since_epoch.as_micros() as u64 }
}
