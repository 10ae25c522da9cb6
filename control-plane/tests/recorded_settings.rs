//! Recorded parses of the operators' file and the file of changes. Later versions have to read the same value
//! for each key, and to report the same errors at the same positions.
mod common;
use common::fixtures;
use std::fmt::Debug;
use ternstack_control_plane::gateway_client::ScopePriority;
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile, ServerRole};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Scope};

/// Returns a line of a fixture: the label of a value, and the value in its debug format.
fn line(label: &str, value: impl Debug) -> String {
    format!("{label} = {value:?}")
}

fn lease_lines(operator: &OperatorFile) -> Vec<String> {
    let lease = &operator.lease;
    [
        ("lease_ms", lease.lease_ms),
        ("drift", lease.clock_drift_ratio),
        ("batch_ms", lease.batch_ms),
        ("round_trip_ms", lease.round_trip_ms),
        ("bytes_per_s", lease.bytes_per_s),
        ("between_bytes_per_s", lease.replica_bytes_per_s),
        ("burst_s", lease.burst_s),
    ]
    .map(|(label, value)| line(label, (value, value.to_bits())))
    .to_vec()
}

/// Returns lines with all values of a file. The labels are fixed, so that renamed fields do not change the
/// fixture.
fn value_lines(operator: &OperatorFile) -> Vec<String> {
    let mut lines = lease_lines(operator);
    for server in &operator.servers {
        let role = match server.role {
            ServerRole::Primary => "origin",
            ServerRole::Replica => "distributor",
        };
        lines.push(line("machine", (&server.name, server.address.to_string(), role, &server.zone)));
    }
    lines.extend(operator.zones.iter().map(|zone| line("zone", (&zone.name, zone.number, &zone.region))));
    lines.extend(operator.services.iter().map(|service| line("service", (&service.name, service.number))));
    let gateway = operator.gateway.as_ref();
    lines.push(line("gateway", gateway.map(|gateway| (&gateway.name, &gateway.zone, &gateway.services))));
    lines.push(line("snapshot", gateway.map(|gateway| (&gateway.snapshot, gateway.snapshot_every_s))));
    lines.push(line("origins", operator.primary_addresses()));
    let Some(config) = operator.gateway_client_config() else { return lines };
    lines.push(line("member", &config.member.name));
    lines.push(line("place", (&config.zone, &config.region)));
    for server in &config.servers {
        lines.push(line("server", (&server.name, server.address.to_string(), &server.zone, &server.region)));
    }
    lines.push(line("same terms", config.lease == operator.lease));
    let snapshot = config
        .snapshot
        .as_ref()
        .map(|snapshot| (&snapshot.path, snapshot.write_interval.as_millis(), snapshot.on_blocking_thread));
    lines.push(line("snapshot file", snapshot));
    for ScopePriority { scope, priority } in &config.scopes {
        let Scope::Hosts(service) = scope else { panic!("a gateway follows hosts, not {scope:?}") };
        lines.push(line("wanted", (service, priority.to_bits())));
    }
    lines
}

#[test]
fn every_key_of_the_operators_file_has_the_recorded_value() {
    for name in ["operator_all_keys", "operator_defaults", "operator_without_gateway"] {
        let text = fixtures::text(&format!("{name}.toml"));
        let operator = OperatorFile::parse(name, &text).expect(name);
        fixtures::assert_same_lines(&format!("{name}.values.txt"), &value_lines(&operator));
        let from_file = OperatorFile::from_file(&fixtures::path(&format!("{name}.toml"))).expect(name);
        assert_eq!(from_file, operator);
    }
}

fn policy_text(policy: RetryPolicy) -> String {
    match policy {
        RetryPolicy::Never => "never".into(),
        RetryPolicy::Within(limit_ms) => format!("within {limit_ms} ms"),
        RetryPolicy::Always => "always".into(),
    }
}

fn change_line(change: &Change) -> String {
    let scope = match change.scope {
        Scope::Zones => "zones".into(),
        Scope::Fleet => "fleet".into(),
        Scope::Hosts(service) => format!("hosts {service}"),
        Scope::Routes(service) => format!("routes {service}"),
        Scope::Tenants(shard) => format!("tenants {shard}"),
    };
    let entry = match change.entry {
        None => "removed".into(),
        Some(Entry::Host(host)) => {
            format!(
                "host {} {} {} {} {}",
                host.address, host.zone, host.draining, host.weight_milli, host.started_s
            )
        }
        Some(Entry::Route(route)) => format!("route {} {}", route.class, policy_text(route.retry_policy)),
        Some(Entry::Quota(per_s)) => format!("quota {per_s}"),
        Some(Entry::RetryPolicy(policy)) => format!("repeat {}", policy_text(policy)),
        Some(Entry::Zone(serves)) => format!("zone {serves}"),
    };
    format!("{scope} / {:016x}: {entry}", change.key.0)
}

fn operator_file() -> OperatorFile {
    OperatorFile::parse("op.toml", &fixtures::text("operator_all_keys.toml")).expect("the fixture is valid")
}

#[test]
fn every_key_of_the_file_of_changes_has_the_recorded_value() {
    let text = fixtures::text("changes_all_keys.toml");
    let changes = parse_changes(&operator_file(), "changes.toml", &text).expect("the fixture is valid");
    let lines: Vec<String> = changes.iter().map(change_line).collect();
    fixtures::assert_same_lines("changes_all_keys.values.txt", &lines);
}

/// Asserts that each invalid edit in a fixture gives the recorded error. An edit has three lines in the
/// fixture: the text that is replaced once, the replacement, and the error.
fn assert_same_errors(name: &str, text: &str, error_of: impl Fn(&str) -> Option<String>) {
    let fixture = fixtures::text(name);
    let lines: Vec<&str> = fixture.lines().collect();
    let mut actual = Vec::new();
    for edit in lines.chunks(3) {
        let (original, replacement) = (edit[0].replace("\\n", "\n"), edit[1].replace("\\n", "\n"));
        assert!(text.contains(&original), "the file contains {original}");
        let error = error_of(&text.replacen(&original, &replacement, 1))
            .unwrap_or_else(|| panic!("{replacement} instead of {original} gives an error"));
        actual.extend([edit[0].to_string(), edit[1].to_string(), error.replace('\n', "\\n")]);
    }
    assert!(actual.len() >= 36, "the fixture {name} has at least 12 edits");
    fixtures::assert_same_lines(name, &actual);
}

#[test]
fn invalid_operators_file_gives_the_recorded_errors() {
    let text = fixtures::text("operator_all_keys.toml");
    assert_same_errors("operator_errors.txt", &text, |text| {
        OperatorFile::parse("op.toml", text).err().map(|error| error.to_string())
    });
    let text = fixtures::text("operator_without_gateway.toml");
    let invalid_files =
        ["", "[[machine]]\nname = 1", "[terms\n", &text.replace("\"origin\"", "\"distributor\"")];
    let errors = invalid_files.map(|text| OperatorFile::parse("op.toml", text).expect_err(text).to_string());
    fixtures::assert_same_lines(
        "operator_whole_file_errors.txt",
        &errors.map(|error| error.replace('\n', "\\n")),
    );
    let operator = operator_file();
    let errors = [
        operator.server("north-1", ServerRole::Primary).expect_err("north-1 has another role").to_string(),
        operator.server("nobody", ServerRole::Replica).expect_err("no server has that name").to_string(),
        OperatorFile::from_file("/nowhere/op.toml".as_ref())
            .expect_err("the file does not exist")
            .to_string(),
    ];
    fixtures::assert_same_lines("operator_lookup_errors.txt", &errors);
}

#[test]
fn invalid_file_of_changes_gives_the_recorded_errors() {
    let (operator, text) = (operator_file(), fixtures::text("changes_all_keys.toml"));
    let error_of =
        |text: &str| parse_changes(&operator, "changes.toml", text).err().map(|error| error.to_string());
    assert_same_errors("changes_errors.txt", &text, error_of);
    assert_eq!(
        error_of("").expect("a file without changes is not valid"),
        "changes.toml:1: expected at least one host, zone, quota, route or class"
    );
}
