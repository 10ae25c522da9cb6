//! The operators' file, which tells control machines and gateways alike who there is, and the staff's file of changes. What is
//! wrong in either is told by file, line, key and what was expected.
use crate::follow::{Beside, Follow, Machine};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Host, Key, Route, Scope};
use ternstack_replication::wire::Member;
use toml::de::{DeTable, DeValue};

/// What a control machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It puts proposals together into versions and brings them into force.
    Origin,
    /// It stands between an origin and the gateways.
    Distributor,
}

/// A control machine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its name; no two have the same.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
    /// The name of its zone.
    pub zone: String,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name, as the gateways' settings have it.
    pub name: String,
    /// Its number, the same for good.
    pub number: u16,
    /// The region that it is in.
    pub region: String,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its number, the same for good.
    pub number: u32,
}

/// What concerns the gateway that reads the file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its name; no two have the same.
    pub name: String,
    /// The name of its zone.
    pub zone: String,
    /// The names of the services whose hosts it sends to.
    pub services: Vec<String>,
    /// Its snapshot's file; without one it starts with nothing.
    pub snapshot: Option<PathBuf>,
    /// The snapshot is written at most this often, in s.
    #[serde(default = "a_minute")]
    pub snapshot_every_s: u64,
}

fn a_minute() -> u64 {
    60
}

/// The operators' file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The figures of the agreement, the same at all members.
    #[serde(default)]
    pub terms: LeaseConfig,
    /// The control machines.
    pub machine: Vec<Control>,
    /// The zones.
    pub zone: Vec<Zone>,
    /// The services.
    #[serde(default)]
    pub service: Vec<Service>,
    /// What concerns the gateway that reads it.
    pub gateway: Option<Gateway>,
}

/// Where a key is, by its path; numbers count in lists.
enum Step<'a> {
    Key(&'a str),
    At(usize),
}
use Step::{At, Key as K};

/// A file's text, for telling where in it something is.
struct Text<'a> {
    file: &'a str,
    text: &'a str,
}

impl Text<'_> {
    fn at(&self, span: Option<Range<usize>>, what: &str) -> String {
        let before = self.text.get(..span.map_or(0, |s| s.start)).unwrap_or_default();
        format!("{}:{}: {what}", self.file, before.matches('\n').count() + 1)
    }

    /// What toml says, with the key of the line, which it leaves out where a value is wrong.
    fn told(&self, e: &toml::de::Error) -> String {
        let start = e.span().map_or(0, |s| s.start);
        let line_start = self.text.get(..start).and_then(|t| t.rfind('\n')).map_or(0, |n| n + 1);
        let line = self.text.get(line_start..).and_then(|t| t.lines().next()).unwrap_or_default();
        let key = line.split_once('=').map(|(key, _)| key.trim()).unwrap_or_default();
        let message = e.message().replace('\n', ", ");
        let named = key.is_empty() || message.contains(&format!("`{key}`"));
        self.at(e.span(), &if named { message } else { format!("{key}: {message}") })
    }

    fn read<T: DeserializeOwned>(&self) -> Result<T, String> {
        toml::from_str(self.text).map_err(|e| self.told(&e))
    }

    /// The error that the value at a path is not what was expected.
    fn not(&self, path: &[Step], expected: &str) -> String {
        let mut name = String::new();
        let mut span = None;
        if let Ok(table) = DeTable::parse(self.text) {
            let mut value = DeValue::Table(table.into_inner());
            for step in path {
                let next = match (step, value) {
                    (K(key), DeValue::Table(mut table)) => table.remove(*key),
                    (At(n), DeValue::Array(array)) => array.into_iter().nth(*n),
                    _ => None,
                };
                let Some(next) = next else { break };
                span = Some(next.span());
                value = next.into_inner();
            }
        }
        for step in path {
            if let K(key) = step {
                name = if name.is_empty() { key.to_string() } else { format!("{name}.{key}") };
            }
        }
        let name = if name.is_empty() { name } else { format!("{name}: ") };
        self.at(span, &format!("{name}expected {expected}"))
    }

    /// All of a list have names of their own.
    fn distinct(&self, list: &str, key: &str, names: impl Iterator<Item = String>) -> Result<(), String> {
        let mut met = BTreeSet::new();
        for (n, name) in names.enumerate() {
            if let Some(twice) = met.replace(name) {
                let expected = format!("one of its own, as {twice} is another's");
                return Err(self.not(&[K(list), At(n), K(key)], &expected));
            }
        }
        Ok(())
    }
}

fn list<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.map(String::as_str).collect();
    if names.is_empty() {
        return "none, as there are none".into();
    }
    format!("one of {}", names.join(", "))
}

impl Operator {
    /// Reads a file. The error names it, the line, the key, and what was expected there.
    pub fn from_file(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read(&path.display().to_string(), &text)
    }

    /// Reads a file's text; `file` names it in errors.
    pub fn read(file: &str, text: &str) -> Result<Self, String> {
        let text = Text { file, text };
        let operator: Operator = text.read()?;
        operator.check_terms(&text)?;
        text.distinct("machine", "name", operator.machine.iter().map(|m| m.name.clone()))?;
        text.distinct("machine", "address", operator.machine.iter().map(|m| m.address.to_string()))?;
        text.distinct("zone", "name", operator.zone.iter().map(|z| z.name.clone()))?;
        text.distinct("zone", "number", operator.zone.iter().map(|z| z.number.to_string()))?;
        text.distinct("service", "name", operator.service.iter().map(|s| s.name.clone()))?;
        text.distinct("service", "number", operator.service.iter().map(|s| s.number.to_string()))?;
        let zones = || list(operator.zone.iter().map(|z| &z.name));
        for (n, machine) in operator.machine.iter().enumerate() {
            if operator.zone_of(&machine.zone).is_none() {
                return Err(text.not(&[K("machine"), At(n), K("zone")], &zones()));
            }
        }
        if !operator.machine.iter().any(|m| m.role == Role::Origin) {
            return Err(text.not(&[K("machine")], "one with the role origin"));
        }
        if let Some(gateway) = &operator.gateway {
            if operator.zone_of(&gateway.zone).is_none() {
                return Err(text.not(&[K("gateway"), K("zone")], &zones()));
            }
            if gateway.services.is_empty() {
                return Err(text.not(&[K("gateway"), K("services")], "one at least"));
            }
            for (n, name) in gateway.services.iter().enumerate() {
                if operator.service_of(name).is_none() {
                    let services = list(operator.service.iter().map(|s| &s.name));
                    return Err(text.not(&[K("gateway"), K("services"), At(n)], &services));
                }
            }
            if gateway.snapshot_every_s == 0 {
                return Err(text.not(&[K("gateway"), K("snapshot_every_s")], "a number from 1 up"));
            }
        }
        Ok(operator)
    }

    fn check_terms(&self, text: &Text) -> Result<(), String> {
        let terms = &self.terms;
        for (key, value, least, most) in [
            ("lease_ms", terms.lease_ms, 100.0, 3_600_000.0),
            ("drift", terms.clock_drift_ratio, 0.0, 0.2),
            ("batch_ms", terms.batch_ms, 0.0, 60_000.0),
            ("round_trip_ms", terms.round_trip_ms, 0.0, 60_000.0),
            ("bytes_per_s", terms.bytes_per_s, 1000.0, 1e9),
            ("between_bytes_per_s", terms.replica_bytes_per_s, 1000.0, 1e10),
            ("burst_s", terms.burst_s, 0.1, 60.0),
        ] {
            if !(least..=most).contains(&value) {
                return Err(text.not(&[K("terms"), K(key)], &format!("a number from {least} to {most}")));
            }
        }
        Ok(())
    }

    /// The zone of that name.
    pub fn zone_of(&self, name: &str) -> Option<&Zone> {
        self.zone.iter().find(|z| z.name == name)
    }

    /// The service of that name.
    pub fn service_of(&self, name: &str) -> Option<&Service> {
        self.service.iter().find(|s| s.name == name)
    }

    /// The control machine of that name and role; the error says which there are.
    pub fn control(&self, name: &str, role: Role) -> Result<&Control, String> {
        let of_role = || self.machine.iter().filter(|m| m.role == role);
        let found = of_role().find(|m| m.name == name);
        found.ok_or_else(|| format!("--name {name}: expected {}", list(of_role().map(|m| &m.name))))
    }

    /// Where the origins listen, in the file's order.
    pub fn origins(&self) -> Vec<SocketAddr> {
        self.machine.iter().filter(|m| m.role == Role::Origin).map(|m| m.address).collect()
    }

    /// What the gateway's end is told; `None` where the file names no gateway. It is another life with each call.
    pub fn follow(&self) -> Option<Follow> {
        let gateway = self.gateway.as_ref()?;
        let region = |zone: &str| self.zone_of(zone).map_or(String::new(), |z| z.region.clone());
        let machine = |m: &Control| Machine {
            name: m.name.clone(),
            address: m.address,
            region: region(&m.zone),
            zone: m.zone.clone(),
        };
        let mut machines: Vec<Machine> =
            self.machine.iter().filter(|m| m.role == Role::Distributor).map(machine).collect();
        if machines.is_empty() {
            // A small installation has no machine between.
            machines = self.machine.iter().map(machine).collect();
        }
        let wanted = |name: &String| Some((Scope::Hosts(self.service_of(name)?.number), 1.0));
        Some(Follow {
            member: member(&gateway.name),
            zone: gateway.zone.clone(),
            region: region(&gateway.zone),
            machines,
            terms: self.terms,
            beside: gateway.snapshot.clone().map(|path| Beside {
                path,
                every: Duration::from_secs(gateway.snapshot_every_s),
                thread: true,
            }),
            wanted: gateway.services.iter().filter_map(wanted).collect(),
        })
    }
}

/// A member that starts now.
pub fn member(name: &str) -> Member {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member { name: name.to_string(), incarnation: since.as_micros() as u64 }
}

/// A server's readiness in the staff's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Serving,
    Draining,
    Removed,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostChange {
    service: String,
    uid: String,
    state: State,
    address: Option<SocketAddrV4>,
    zone: Option<String>,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_s: u32,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneChange {
    name: String,
    serves: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QuotaChange {
    tenant: String,
    per_s: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteChange {
    service: String,
    name: String,
    #[serde(default)]
    removed: bool,
    class: Option<u16>,
    repeat: Option<RetryPolicy>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassChange {
    number: u16,
    repeat: RetryPolicy,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct ChangesFile {
    host: Vec<HostChange>,
    zone: Vec<ZoneChange>,
    quota: Vec<QuotaChange>,
    route: Vec<RouteChange>,
    class: Vec<ClassChange>,
}

/// Reads the staff's file of changes; `file` names it in errors, which say the line, the key, and what was expected.
pub fn changes(operator: &Operator, file: &str, text: &str) -> Result<Vec<Change>, String> {
    let text = Text { file, text };
    let read: ChangesFile = text.read()?;
    let services = || list(operator.service.iter().map(|s| &s.name));
    let zones = || list(operator.zone.iter().map(|z| &z.name));
    let mut changes = Vec::new();
    for (n, host) in read.host.iter().enumerate() {
        let not = |key: &str, expected: &str| text.not(&[K("host"), At(n), K(key)], expected);
        let service = operator.service_of(&host.service).ok_or_else(|| not("service", &services()))?;
        let entry = if host.state == State::Removed {
            None
        } else {
            let address =
                host.address.ok_or_else(|| not("address", "an address:port of a host that stays"))?;
            let zone = host.zone.as_ref().and_then(|zone| operator.zone_of(zone));
            if !(0.001..=1e6).contains(&host.weight) {
                return Err(not("weight", "a number from 0.001 to 1000000"));
            }
            Some(Entry::Host(Host {
                address,
                zone: zone.ok_or_else(|| not("zone", &zones()))?.number,
                draining: host.state == State::Draining,
                weight_milli: (host.weight * 1000.0).round() as u32,
                started_s: host.started_s,
            }))
        };
        changes.push(Change { scope: Scope::Hosts(service.number), key: Key::of(&host.uid), entry });
    }
    for (n, zone) in read.zone.iter().enumerate() {
        let found = operator.zone_of(&zone.name);
        let number = found.ok_or_else(|| text.not(&[K("zone"), At(n), K("name")], &zones()))?.number;
        let key = Key::from_number(u32::from(number));
        changes.push(Change { scope: Scope::Zones, key, entry: Some(Entry::Zone(zone.serves)) });
    }
    for quota in &read.quota {
        let key = Key::of(&quota.tenant);
        changes.push(Change { scope: Scope::of_tenant(key), key, entry: quota.per_s.map(Entry::Quota) });
    }
    for (n, route) in read.route.iter().enumerate() {
        let not = |key: &str, expected: &str| text.not(&[K("route"), At(n), K(key)], expected);
        let service = operator.service_of(&route.service).ok_or_else(|| not("service", &services()))?;
        let entry = if route.removed {
            None
        } else {
            Some(Entry::Route(Route {
                class: route.class.ok_or_else(|| not("class", "a class' number, of a route that stays"))?,
                retry_policy: route.repeat.unwrap_or(RetryPolicy::Never),
            }))
        };
        changes.push(Change { scope: Scope::Routes(service.number), key: Key::of(&route.name), entry });
    }
    for class in &read.class {
        let key = Key::from_number(u32::from(class.number));
        changes.push(Change { scope: Scope::Fleet, key, entry: Some(Entry::RetryPolicy(class.repeat)) });
    }
    if changes.is_empty() {
        return Err(text.not(&[], "host, zone, quota, route or class at least once"));
    }
    Ok(changes)
}
