//! The operators' file and the file of proposed changes, recorded: every key is read to the same value, and what is wrong is
//! told in the same words at the same place.
mod common;
use common::fixtures;
use std::fmt::Debug;
use ternstack_control_plane::gateway_client::ScopePriority;
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile, ServerRole};
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, Entry, Scope};

/// A line for a value: what it is, and the value as it is written for people.
fn line(what: &str, value: impl Debug) -> String {
    format!("{what} = {value:?}")
}

fn terms(operator: &OperatorFile) -> Vec<String> {
    let t = &operator.lease;
    [
        ("lease_ms", t.lease_ms),
        ("drift", t.clock_drift_ratio),
        ("batch_ms", t.batch_ms),
        ("round_trip_ms", t.round_trip_ms),
        ("bytes_per_s", t.bytes_per_s),
        ("between_bytes_per_s", t.replica_bytes_per_s),
        ("burst_s", t.burst_s),
    ]
    .map(|(what, value)| line(what, (value, value.to_bits())))
    .to_vec()
}

/// All values of a file, without the names that the code has for them.
fn values(operator: &OperatorFile) -> Vec<String> {
    let mut all = terms(operator);
    for m in &operator.servers {
        let role = match m.role {
            ServerRole::Primary => "origin",
            ServerRole::Replica => "distributor",
        };
        all.push(line("machine", (&m.name, m.address.to_string(), role, &m.zone)));
    }
    all.extend(operator.zones.iter().map(|z| line("zone", (&z.name, z.number, &z.region))));
    all.extend(operator.services.iter().map(|s| line("service", (&s.name, s.number))));
    let gateway = operator.gateway.as_ref();
    all.push(line("gateway", gateway.map(|g| (&g.name, &g.zone, &g.services))));
    all.push(line("snapshot", gateway.map(|g| (&g.snapshot, g.snapshot_every_s))));
    all.push(line("origins", operator.primary_addresses()));
    let Some(config) = operator.gateway_client_config() else { return all };
    all.push(line("member", &config.member.name));
    all.push(line("place", (&config.zone, &config.region)));
    for m in &config.servers {
        all.push(line("server", (&m.name, m.address.to_string(), &m.zone, &m.region)));
    }
    all.push(line("same terms", config.lease == operator.lease));
    let snapshot =
        config.snapshot.as_ref().map(|s| (&s.path, s.write_interval.as_millis(), s.on_blocking_thread));
    all.push(line("snapshot file", snapshot));
    for ScopePriority { scope, priority } in &config.scopes {
        let Scope::Hosts(service) = scope else { panic!("{scope:?}") };
        all.push(line("wanted", (service, priority.to_bits())));
    }
    all
}

#[test]
fn every_key_of_the_operators_file_is_read_to_the_recorded_value() {
    for name in ["operator_all_keys", "operator_defaults", "operator_without_gateway"] {
        let text = fixtures::text(&format!("{name}.toml"));
        let operator = OperatorFile::parse(name, &text).expect(name);
        fixtures::assert_same_lines(&format!("{name}.values.txt"), &values(&operator));
        let read = OperatorFile::from_file(&fixtures::path(&format!("{name}.toml"))).expect(name);
        assert_eq!(read, operator);
    }
}

fn repeat(repeat: RetryPolicy) -> String {
    match repeat {
        RetryPolicy::Never => "never".into(),
        RetryPolicy::Within(ms) => format!("within {ms} ms"),
        RetryPolicy::Always => "always".into(),
    }
}

fn change(change: &Change) -> String {
    let scope = match change.scope {
        Scope::Zones => "zones".into(),
        Scope::Fleet => "fleet".into(),
        Scope::Hosts(n) => format!("hosts {n}"),
        Scope::Routes(n) => format!("routes {n}"),
        Scope::Tenants(n) => format!("tenants {n}"),
    };
    let entry = match change.entry {
        None => "removed".into(),
        Some(Entry::Host(h)) => {
            format!("host {} {} {} {} {}", h.address, h.zone, h.draining, h.weight_milli, h.started_s)
        }
        Some(Entry::Route(r)) => format!("route {} {}", r.class, repeat(r.retry_policy)),
        Some(Entry::Quota(per_s)) => format!("quota {per_s}"),
        Some(Entry::RetryPolicy(r)) => format!("repeat {}", repeat(r)),
        Some(Entry::Zone(serves)) => format!("zone {serves}"),
    };
    format!("{scope} / {:016x}: {entry}", change.key.0)
}

fn operator() -> OperatorFile {
    OperatorFile::parse("op.toml", &fixtures::text("operator_all_keys.toml")).expect("sound")
}

#[test]
fn every_key_of_the_file_of_changes_is_read_to_the_recorded_value() {
    let text = fixtures::text("changes_all_keys.toml");
    let read = parse_changes(&operator(), "changes.toml", &text).expect("sound");
    let lines: Vec<String> = read.iter().map(change).collect();
    fixtures::assert_same_lines("changes_all_keys.values.txt", &lines);
}

/// Faults are listed in a fixture, three lines each: what is replaced (once), with what, and the words that were recorded.
fn faults(name: &str, text: &str, problem: impl Fn(&str) -> Option<String>) {
    let listed = fixtures::text(name);
    let lines: Vec<&str> = listed.lines().collect();
    let mut now = Vec::new();
    for fault in lines.chunks(3) {
        let (was, is) = (fault[0].replace("\\n", "\n"), fault[1].replace("\\n", "\n"));
        assert!(text.contains(&was), "{was}");
        let told = problem(&text.replacen(&was, &is, 1)).unwrap_or_else(|| panic!("{was} -> {is}: no fault"));
        now.extend([fault[0].to_string(), fault[1].to_string(), told.replace('\n', "\\n")]);
    }
    assert!(now.len() >= 36, "a dozen at least");
    fixtures::assert_same_lines(name, &now);
}

#[test]
fn a_faulty_operators_file_is_reported_in_the_recorded_words() {
    let text = fixtures::text("operator_all_keys.toml");
    faults("operator_errors.txt", &text, |text| {
        OperatorFile::parse("op.toml", text).err().map(|e| e.to_string())
    });
    let text = fixtures::text("operator_without_gateway.toml");
    let whole = ["", "[[machine]]\nname = 1", "[terms\n", &text.replace("\"origin\"", "\"distributor\"")];
    let words = whole.map(|text| OperatorFile::parse("op.toml", text).expect_err(text).to_string());
    fixtures::assert_same_lines("operator_whole_file_errors.txt", &words.map(|w| w.replace('\n', "\\n")));
    let operator = operator();
    let words = [
        operator.server("north-1", ServerRole::Primary).expect_err("another role").to_string(),
        operator.server("nobody", ServerRole::Replica).expect_err("unknown").to_string(),
        OperatorFile::from_file("/nowhere/op.toml".as_ref()).expect_err("no file").to_string(),
    ];
    fixtures::assert_same_lines("operator_lookup_errors.txt", &words);
}

#[test]
fn a_faulty_file_of_changes_is_reported_in_the_recorded_words() {
    let (operator, text) = (operator(), fixtures::text("changes_all_keys.toml"));
    let problem = |text: &str| parse_changes(&operator, "changes.toml", text).err().map(|e| e.to_string());
    faults("changes_errors.txt", &text, problem);
    assert_eq!(
        problem("").expect("empty"),
        "changes.toml:1: expected at least one host, zone, quota, route or class"
    );
}
