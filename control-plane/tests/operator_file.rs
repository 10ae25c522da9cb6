//! Parsing of the operators' file and of files of changes: the values of valid files, and the line, the key
//! and the expected value that errors name.
use ternstack_control_plane::gateway_client::ScopePriority;
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile, ServerRole};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Entry, Key, Scope};

const EXAMPLE: &str = include_str!("../../deploy/operator.example.toml");

fn example() -> OperatorFile {
    OperatorFile::parse("example", EXAMPLE).expect("the example is valid")
}

/// Returns the number of the first line of the example that contains a text, starting at 1.
fn line_number(text: &str) -> usize {
    1 + EXAMPLE.lines().position(|line| line.contains(text)).expect("the example contains the text")
}

#[test]
fn example_file_is_parsed_with_default_lease_settings() {
    let operator = example();
    assert_eq!(operator.lease, LeaseConfig::default());
    assert_eq!(
        operator.server("origin-1", ServerRole::Primary).map(|server| server.address),
        Ok("10.1.0.5:7411".parse().unwrap())
    );
    let error = operator.server("origin-1", ServerRole::Replica).expect_err("origin-1 is not a replica");
    assert_eq!(error.to_string(), "--name origin-1: expected one of north-1, south-1");
    let config = operator.gateway_client_config().expect("the example has a gateway");
    assert_eq!((config.member.name.as_str(), config.region.as_str()), ("gateway-1", "north"));
    let servers: Vec<_> =
        config.servers.iter().map(|server| (server.name.as_str(), server.region.as_str())).collect();
    assert_eq!(servers, [("north-1", "north"), ("south-1", "south")]);
    assert_eq!(config.scopes, [ScopePriority { scope: Scope::Hosts(7), priority: 1.0 }]);
    // Without replicas a gateway connects to the primaries.
    let without_replicas = EXAMPLE.replace("role = \"distributor\"", "role = \"origin\"");
    let without_replicas = OperatorFile::parse("small", &without_replicas)
        .expect("a file without replicas is valid")
        .gateway_client_config()
        .expect("the example has a gateway");
    assert_eq!(without_replicas.servers.len(), 3);
}

#[test]
fn invalid_operators_file_is_rejected_with_line_key_and_expected_value() {
    for (original, replacement, expected_parts) in [
        ("lease_ms = 1900.0", "lease_mss = 1900.0", &["unknown field `lease_mss`", "`lease_ms`"][..]),
        ("lease_ms = 1900.0", "lease_ms = \"long\"", &["lease_ms: ", "string", "f64"]),
        ("lease_ms = 1900.0", "lease_ms = nan", &["terms.lease_ms: expected a number from 100 to 3600000"]),
        ("drift = 0.01", "drift = -0.1", &["terms.drift: expected a number from 0 to 0.2"]),
        (
            "role = \"origin\"",
            "role = \"king\"",
            &["role: unknown variant `king`", "`origin`", "`distributor`"],
        ),
        ("role = \"origin\"", "role = \"origin\"\nport = 1", &["unknown field `port`", "`address`"]),
        ("address = \"10.1.0.6:7411\"", "address = \"10.1.0.6\"", &["address: ", "socket address"]),
        (
            "address = \"10.1.0.6:7411\"",
            "address = \"10.1.0.5:7411\"",
            &["machine.address: ", "a unique value"],
        ),
        ("zone = \"south-a\"", "zone = \"west\"", &["machine.zone: expected one of north-a, south-a"]),
        ("zone = \"north-a\"\nservices", "zone = \"west\"\nservices", &["gateway.zone: expected one of"]),
        ("[\"desks\"]", "[\"rooms\"]", &["gateway.services: expected one of desks"]),
        ("[\"desks\"]", "[]", &["gateway.services: expected at least one service"]),
        ("number = 2", "number = 1", &["zone.number: expected a unique value"]),
        ("number = 2", "number = 70000", &["number: ", "u16"]),
        (
            "snapshot_every_s = 60",
            "snapshot_every_s = 0",
            &["gateway.snapshot_every_s: expected a number of at least 1"],
        ),
    ] {
        assert!(EXAMPLE.contains(original), "the example contains {original}");
        // The invalid line is the first replaced line, except for an added `port` line, which is the one
        // after.
        let start = EXAMPLE.find(original).expect("the example contains the text");
        let mut line = EXAMPLE[..start].matches('\n').count() + 1;
        line += usize::from(replacement.ends_with("port = 1"));
        let error = OperatorFile::parse("op.toml", &EXAMPLE.replacen(original, replacement, 1))
            .expect_err(replacement)
            .to_string();
        assert!(
            error.starts_with(&format!("op.toml:{line}: ")),
            "the error for {replacement} names line {line}: {error}"
        );
        for part in expected_parts {
            assert!(error.contains(part), "the error for {replacement} contains {part:?}: {error}");
        }
    }
    let error = OperatorFile::parse("op.toml", "[[machine]]\nname = 1")
        .expect_err("a name that is a number is not valid")
        .to_string();
    assert!(
        error.starts_with("op.toml:2: name: invalid type: integer `1`, expected a string"),
        "the error names the line, the key and the type: {error}"
    );
    let error = OperatorFile::parse("op.toml", "[terms\n")
        .expect_err("an unclosed table is not valid TOML")
        .to_string();
    assert!(error.starts_with("op.toml:1: "), "the error names the line: {error}");
    let without_primary = EXAMPLE.replace("role = \"origin\"", "role = \"distributor\"");
    let error = OperatorFile::parse("op.toml", &without_primary)
        .expect_err("a file without a primary is not valid")
        .to_string();
    assert!(
        error.contains("machine: expected at least one with the role origin"),
        "the error names the missing role: {error}"
    );
    assert!(
        error.starts_with(&format!("op.toml:{}: ", line_number("[[machine]]"))),
        "the error names the line of the first machine: {error}"
    );
}

const CHANGES: &str = r#"
[[host]]
service = "desks"
uid = "s-17"
state = "draining"
address = "10.2.0.4:8080"
zone = "south-a"
weight = 0.5

[[host]]
service = "desks"
uid = "s-18"
state = "removed"

[[zone]]
name = "south-a"
serves = false

[[quota]]
tenant = "acme"
per_s = 500

[[quota]]
tenant = "umbrella"

[[route]]
service = "desks"
name = "/api/desks"
class = 1
repeat = { within = 800 }

[[class]]
number = 1
repeat = "never"
"#;

#[test]
fn file_of_changes_is_parsed_into_entries_of_their_scopes() {
    let changes = parse_changes(&example(), "c.toml", CHANGES).expect("the changes are valid");
    assert!(changes.iter().all(|change| change.entry.is_none_or(|entry| entry.fits(change.scope))));
    let entry = |scope, key| {
        changes
            .iter()
            .find(|change| change.scope == scope && change.key == key)
            .expect("a change has the scope and the key")
            .entry
    };
    let Some(Entry::Host(host)) = entry(Scope::Hosts(7), Key::of("s-17")) else {
        panic!("the entry of s-17 is a host")
    };
    assert_eq!((host.draining, host.zone, host.weight_milli), (true, 2, 500));
    assert_eq!(entry(Scope::Hosts(7), Key::of("s-18")), None);
    assert_eq!(entry(Scope::Zones, Key::from_number(2)), Some(Entry::Zone(false)));
    let (acme, umbrella) = (Key::of("acme"), Key::of("umbrella"));
    assert_eq!(entry(Scope::of_tenant(acme), acme), Some(Entry::Quota(500)));
    assert_eq!(entry(Scope::of_tenant(umbrella), umbrella), None);
    assert_eq!(entry(Scope::Fleet, Key::from_number(1)), Some(Entry::RetryPolicy(RetryPolicy::Never)));
    let Some(Entry::Route(route)) = entry(Scope::Routes(7), Key::of("/api/desks")) else {
        panic!("the entry of /api/desks is a route")
    };
    assert_eq!((route.class, route.retry_policy), (1, RetryPolicy::Within(800)));
}

#[test]
fn invalid_file_of_changes_is_rejected_with_line_and_key() {
    for (original, replacement, expected_start) in [
        ("service = \"desks\"", "service = \"rooms\"", "c.toml:3: host.service: expected one of desks"),
        ("address = \"10.2.0.4:8080\"", "", "c.toml:2: host.address: expected an address:port"),
        ("zone = \"south-a\"", "zone = \"x\"", "c.toml:7: host.zone: expected one of north-a, south-a"),
        ("weight = 0.5", "weight = 0", "c.toml:8: "),
        ("state = \"removed\"", "state = \"gone\"", "c.toml:13: state: unknown variant `gone`"),
        ("name = \"south-a\"", "name = \"x\"", "c.toml:16: zone.name: expected one of"),
        ("class = 1\n", "\n", "c.toml:26: route.class: expected the number of a class"),
        ("serves = false", "serve = false", "c.toml:17: unknown field `serve`"),
    ] {
        let error = parse_changes(&example(), "c.toml", &CHANGES.replacen(original, replacement, 1))
            .expect_err(replacement)
            .to_string();
        assert!(
            error.starts_with(expected_start),
            "the error for {replacement} starts with {expected_start:?}: {error}"
        );
    }
    let error =
        parse_changes(&example(), "c.toml", "").expect_err("a file without changes is not valid").to_string();
    assert_eq!(error, "c.toml:1: expected at least one host, zone, quota, route or class");
}
