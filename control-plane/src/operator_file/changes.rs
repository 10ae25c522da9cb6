//! The file of changes that `ternstack-control propose` reads.
use super::error::InvalidFile;
use super::source_text::PathStep::{Index, Key as PathKey};
use super::source_text::SourceText;
use super::OperatorFile;
use serde::Deserialize;
use std::net::SocketAddrV4;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Host, Key, Route, Scope};

/// The least weight of a host.
const MIN_HOST_WEIGHT: f64 = 0.001;
/// The greatest weight of a host.
const MAX_HOST_WEIGHT: f64 = 1e6;
/// The weight of a host whose section has none.
const DEFAULT_HOST_WEIGHT: f64 = 1.0;

/// The state of a host that is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HostState {
    Serving,
    Draining,
    Removed,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostSection {
    service: String,
    uid: String,
    state: HostState,
    address: Option<SocketAddrV4>,
    zone: Option<String>,
    #[serde(default = "default_host_weight")]
    weight: f64,
    #[serde(default)]
    started_s: u32,
}

fn default_host_weight() -> f64 {
    DEFAULT_HOST_WEIGHT
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneSection {
    name: String,
    serves: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QuotaSection {
    tenant: String,
    per_s: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteSection {
    service: String,
    name: String,
    #[serde(default)]
    removed: bool,
    class: Option<u16>,
    repeat: Option<RetryPolicy>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassSection {
    number: u16,
    repeat: RetryPolicy,
}

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

/// Parses a file of changes; `file` names it in errors. Zones and services are those of the operators' file.
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
        return Err(parser.source.unexpected(&[], "host, zone, quota, route or class at least once"));
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

/// Turns sections that refer to the operators' file into changes.
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
        let no_address = || unexpected("address", "an address:port of a host that stays");
        let address = host.address.ok_or_else(no_address)?;
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
            let no_class = || unexpected("class", "a class' number, of a route that stays");
            let class = route.class.ok_or_else(no_class)?;
            Some(Entry::Route(Route { class, retry_policy: route.repeat.unwrap_or(RetryPolicy::Never) }))
        };
        Ok(Change { scope: Scope::Routes(service.number), key: Key::of(&route.name), entry })
    }
}
