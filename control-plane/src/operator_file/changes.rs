//! The parser of the file of changes that `ternstack-control propose` sends to the primary.
use super::error::InvalidFile;
use super::source_text::PathStep::{Index, Key as PathKey};
use super::source_text::SourceText;
use super::OperatorFile;
use serde::Deserialize;
use std::net::SocketAddrV4;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Host, Key, Route, Scope};

/// The smallest weight of a host, which is the resolution of [`Host::weight_milli`].
const MIN_HOST_WEIGHT: f64 = 0.001;
/// The largest weight of a host.
const MAX_HOST_WEIGHT: f64 = 1e6;
/// The weight of a host whose section has no `weight`.
const DEFAULT_HOST_WEIGHT: f64 = 1.0;

/// The proposed state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HostState {
    Serving,
    Draining,
    Removed,
}

/// A `[[host]]` section, which adds, changes or removes a host of a service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostSection {
    service: String,
    uid: String,
    state: HostState,
    /// Required unless the host is removed.
    address: Option<SocketAddrV4>,
    /// Required unless the host is removed.
    zone: Option<String>,
    #[serde(default = "default_host_weight")]
    weight: f64,
    /// The time at which the host started, in s since the Unix epoch.
    #[serde(default)]
    started_s: u32,
}

fn default_host_weight() -> f64 {
    DEFAULT_HOST_WEIGHT
}

/// A `[[zone]]` section, which determines whether the hosts of a zone receive requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneSection {
    name: String,
    serves: bool,
}

/// A `[[quota]]` section, which sets or removes the quota of a tenant.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QuotaSection {
    tenant: String,
    /// The quota in requests per second; `None` removes the quota.
    per_s: Option<u32>,
}

/// A `[[route]]` section, which sets or removes a route of a service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteSection {
    service: String,
    name: String,
    #[serde(default)]
    removed: bool,
    /// The number of a class; required unless the route is removed.
    class: Option<u16>,
    /// The retry policy of the route; `None` stands for [`RetryPolicy::Never`].
    repeat: Option<RetryPolicy>,
}

/// A `[[class]]` section, which sets the retry policy of a class.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSection {
    number: u16,
    repeat: RetryPolicy,
}

/// The sections of a file of changes.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ChangesFile {
    #[serde(rename = "host")]
    hosts: Vec<HostSection>,
    #[serde(rename = "zone")]
    zones: Vec<ZoneSection>,
    #[serde(rename = "quota")]
    quotas: Vec<QuotaSection>,
    #[serde(rename = "route")]
    routes: Vec<RouteSection>,
    #[serde(rename = "class")]
    classes: Vec<ClassSection>,
}

/// Parses the content of a file of changes. `file` is the name of the file in errors; `operator` defines the
/// zones and services that the changes may refer to.
///
/// # Errors
/// The first problem of the file: a syntax error, an invalid value, or a file without changes.
pub fn parse_changes(operator: &OperatorFile, file: &str, text: &str) -> Result<Vec<Change>, InvalidFile> {
    let source = SourceText { file, text };
    let sections: ChangesFile = source.parse()?;
    let parser = ChangeParser { operator, source };
    let mut changes = Vec::new();
    for (index, host) in sections.hosts.iter().enumerate() {
        changes.push(parser.host(index, host)?);
    }
    for (index, zone) in sections.zones.iter().enumerate() {
        changes.push(parser.zone(index, zone)?);
    }
    changes.extend(sections.quotas.iter().map(quota_change));
    for (index, route) in sections.routes.iter().enumerate() {
        changes.push(parser.route(index, route)?);
    }
    changes.extend(sections.classes.iter().map(class_change));
    if changes.is_empty() {
        return Err(parser.source.unexpected(&[], "at least one host, zone, quota, route or class"));
    }
    Ok(changes)
}

fn quota_change(quota: &QuotaSection) -> Change {
    let key = Key::of(&quota.tenant);
    Change { scope: Scope::of_tenant(key), key, entry: quota.per_s.map(Entry::Quota) }
}

fn class_change(class: &ClassSection) -> Change {
    let key = Key::from_number(u32::from(class.number));
    Change { scope: Scope::Fleet, key, entry: Some(Entry::RetryPolicy(class.repeat)) }
}

/// A converter of sections that refer to the operators' file into changes.
struct ChangeParser<'a> {
    operator: &'a OperatorFile,
    source: SourceText<'a>,
}

impl ChangeParser<'_> {
    fn host(&self, index: usize, host: &HostSection) -> Result<Change, InvalidFile> {
        let unexpected = |key: &str, expected: &str| {
            self.source.unexpected(&[PathKey("host"), Index(index), PathKey(key)], expected)
        };
        let service = self.operator.service(&host.service);
        let service = service.ok_or_else(|| unexpected("service", &self.operator.service_names()))?;
        let entry = match host.state {
            HostState::Removed => None,
            HostState::Serving | HostState::Draining => Some(self.host_entry(host, unexpected)?),
        };
        Ok(Change { scope: Scope::Hosts(service.number), key: Key::of(&host.uid), entry })
    }

    fn host_entry(
        &self, host: &HostSection, unexpected: impl Fn(&str, &str) -> InvalidFile,
    ) -> Result<Entry, InvalidFile> {
        let missing_address = || unexpected("address", "an address:port, unless the host is removed");
        let address = host.address.ok_or_else(missing_address)?;
        if !(MIN_HOST_WEIGHT..=MAX_HOST_WEIGHT).contains(&host.weight) {
            return Err(unexpected("weight", "a number from 0.001 to 1000000"));
        }
        let zone = host.zone.as_ref().and_then(|zone| self.operator.zone(zone));
        let zone = zone.ok_or_else(|| unexpected("zone", &self.operator.zone_names()))?;
        Ok(Entry::Host(Host {
            address,
            zone: zone.number,
            draining: host.state == HostState::Draining,
            weight_milli: (host.weight * 1000.0).round() as u32,
            started_s: host.started_s,
        }))
    }

    fn zone(&self, index: usize, zone: &ZoneSection) -> Result<Change, InvalidFile> {
        let found = self.operator.zone(&zone.name);
        let number = found.map(|found| found.number).ok_or_else(|| {
            let path = [PathKey("zone"), Index(index), PathKey("name")];
            self.source.unexpected(&path, &self.operator.zone_names())
        })?;
        let key = Key::from_number(u32::from(number));
        Ok(Change { scope: Scope::Zones, key, entry: Some(Entry::Zone(zone.serves)) })
    }

    fn route(&self, index: usize, route: &RouteSection) -> Result<Change, InvalidFile> {
        let unexpected = |key: &str, expected: &str| {
            self.source.unexpected(&[PathKey("route"), Index(index), PathKey(key)], expected)
        };
        let service = self.operator.service(&route.service);
        let service = service.ok_or_else(|| unexpected("service", &self.operator.service_names()))?;
        let entry = if route.removed {
            None
        } else {
            let missing_class = || unexpected("class", "the number of a class, unless the route is removed");
            let class = route.class.ok_or_else(missing_class)?;
            Some(Entry::Route(Route { class, retry_policy: route.repeat.unwrap_or(RetryPolicy::Never) }))
        };
        Ok(Change { scope: Scope::Routes(service.number), key: Key::of(&route.name), entry })
    }
}
