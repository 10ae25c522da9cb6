//! Checks of the operators' file that the types of its fields do not express.
use super::error::InvalidFile;
use super::source_text::PathStep::{Index, Key};
use super::source_text::SourceText;
use super::{GatewaySection, OperatorFile, ServerRole};
use ternstack_replication::lease::LeaseConfig;

/// A value of the `[terms]` section and the range in which the value must lie.
struct Bounds {
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl Bounds {
    fn new(key: &'static str, value: f64, min: f64, max: f64) -> Self {
        Bounds { key, value, min, max }
    }
}

/// Checks the content of a file.
///
/// # Errors
/// The first problem, in the order of the checks.
pub(super) fn check(file: &OperatorFile, source: &SourceText) -> Result<(), InvalidFile> {
    check_lease(&file.lease, source)?;
    check_unique(file, source)?;
    check_servers(file, source)?;
    match &file.gateway {
        Some(gateway) => check_gateway(file, gateway, source),
        None => Ok(()),
    }
}

fn check_lease(lease: &LeaseConfig, source: &SourceText) -> Result<(), InvalidFile> {
    for bounds in [
        Bounds::new("lease_ms", lease.lease_ms, 100.0, 3_600_000.0),
        Bounds::new("drift", lease.clock_drift_ratio, 0.0, 0.2),
        Bounds::new("batch_ms", lease.batch_ms, 0.0, 60_000.0),
        Bounds::new("round_trip_ms", lease.round_trip_ms, 0.0, 60_000.0),
        Bounds::new("bytes_per_s", lease.bytes_per_s, 1000.0, 1e9),
        Bounds::new("between_bytes_per_s", lease.replica_bytes_per_s, 1000.0, 1e10),
        Bounds::new("burst_s", lease.burst_s, 0.1, 60.0),
    ] {
        let Bounds { key, value, min, max } = bounds;
        if !(min..=max).contains(&value) {
            let expected = format!("a number from {min} to {max}");
            return Err(source.unexpected(&[Key("terms"), Key(key)], &expected));
        }
    }
    Ok(())
}

fn check_unique(file: &OperatorFile, source: &SourceText) -> Result<(), InvalidFile> {
    source.check_unique("machine", "name", file.servers.iter().map(|server| server.name.clone()))?;
    source.check_unique(
        "machine",
        "address",
        file.servers.iter().map(|server| server.address.to_string()),
    )?;
    source.check_unique("zone", "name", file.zones.iter().map(|zone| zone.name.clone()))?;
    source.check_unique("zone", "number", file.zones.iter().map(|zone| zone.number.to_string()))?;
    source.check_unique("service", "name", file.services.iter().map(|service| service.name.clone()))?;
    source.check_unique("service", "number", file.services.iter().map(|service| service.number.to_string()))
}

fn check_servers(file: &OperatorFile, source: &SourceText) -> Result<(), InvalidFile> {
    for (index, server) in file.servers.iter().enumerate() {
        if file.zone(&server.zone).is_none() {
            let path = [Key("machine"), Index(index), Key("zone")];
            return Err(source.unexpected(&path, &file.zone_names()));
        }
    }
    if !file.servers.iter().any(|server| server.role == ServerRole::Primary) {
        return Err(source.unexpected(&[Key("machine")], "at least one with the role origin"));
    }
    Ok(())
}

fn check_gateway(
    file: &OperatorFile, gateway: &GatewaySection, source: &SourceText,
) -> Result<(), InvalidFile> {
    if file.zone(&gateway.zone).is_none() {
        return Err(source.unexpected(&[Key("gateway"), Key("zone")], &file.zone_names()));
    }
    if gateway.services.is_empty() {
        return Err(source.unexpected(&[Key("gateway"), Key("services")], "at least one service"));
    }
    for (index, name) in gateway.services.iter().enumerate() {
        if file.service(name).is_none() {
            let path = [Key("gateway"), Key("services"), Index(index)];
            return Err(source.unexpected(&path, &file.service_names()));
        }
    }
    if gateway.snapshot_every_s == 0 {
        return Err(source.unexpected(&[Key("gateway"), Key("snapshot_every_s")], "a number of at least 1"));
    }
    Ok(())
}
