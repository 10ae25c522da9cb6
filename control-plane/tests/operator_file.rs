//! The operators' file and the staff's: read whole, or told by line, key and what was expected.
use ternstack_control_plane::gateway_client::ScopePriority;
use ternstack_control_plane::operator_file::{parse_changes, OperatorFile, ServerRole};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Entry, Key, Scope};

const EXAMPLE: &str = include_str!("../../deploy/operator.example.toml");

fn example() -> OperatorFile {
    OperatorFile::parse("example", EXAMPLE).expect("the example is sound")
}

/// The line of the example that has this text, from 1 on.
fn line(text: &str) -> usize {
    1 + EXAMPLE.lines().position(|line| line.contains(text)).expect("it is in the example")
}

#[test]
fn the_example_is_read_and_has_the_defaults() {
    let operator = example();
    assert_eq!(operator.lease, LeaseConfig::default());
    assert_eq!(
        operator.server("origin-1", ServerRole::Primary).map(|m| m.address),
        Ok("10.1.0.5:7411".parse().unwrap())
    );
    let wrong = operator.server("origin-1", ServerRole::Replica).expect_err("it is none");
    assert_eq!(wrong.to_string(), "--name origin-1: expected one of north-1, south-1");
    let config = operator.gateway_client_config().expect("it names a gateway");
    assert_eq!((config.member.name.as_str(), config.region.as_str()), ("gateway-1", "north"));
    let names: Vec<_> = config.servers.iter().map(|m| (m.name.as_str(), m.region.as_str())).collect();
    assert_eq!(names, [("north-1", "north"), ("south-1", "south")]);
    assert_eq!(config.scopes, [ScopePriority { scope: Scope::Hosts(7), priority: 1.0 }]);
    // Without distributors a gateway calls the origin.
    let small = EXAMPLE.replace("role = \"distributor\"", "role = \"origin\"");
    let small =
        OperatorFile::parse("small", &small).expect("sound").gateway_client_config().expect("a gateway");
    assert_eq!(small.servers.len(), 3);
}

#[test]
fn faults_are_reported_with_line_key_and_what_was_expected() {
    for (was, is, told) in [
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
        assert!(EXAMPLE.contains(was), "{was}");
        // The line of what is wrong: where the replaced text begins, or its second line where that is new.
        let at = EXAMPLE.find(was).expect("it is there");
        let mut number = EXAMPLE[..at].matches('\n').count() + 1;
        number += usize::from(is.ends_with("port = 1"));
        let problem =
            OperatorFile::parse("op.toml", &EXAMPLE.replacen(was, is, 1)).expect_err(is).to_string();
        assert!(problem.starts_with(&format!("op.toml:{number}: ")), "{is}: {problem}");
        for told in told {
            assert!(problem.contains(told), "{is}: {problem}");
        }
    }
    let problem = OperatorFile::parse("op.toml", "[[machine]]\nname = 1").expect_err("not text").to_string();
    assert!(
        problem.starts_with("op.toml:2: name: invalid type: integer `1`, expected a string"),
        "{problem}"
    );
    let problem = OperatorFile::parse("op.toml", "[terms\n").expect_err("no toml").to_string();
    assert!(problem.starts_with("op.toml:1: "), "{problem}");
    let none = EXAMPLE.replace("role = \"origin\"", "role = \"distributor\"");
    let problem = OperatorFile::parse("op.toml", &none).expect_err("no origin").to_string();
    assert!(problem.contains("machine: expected at least one with the role origin"), "{problem}");
    assert!(problem.starts_with(&format!("op.toml:{}: ", line("[[machine]]"))), "{problem}");
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
fn admin_changes_become_entries() {
    let changes = parse_changes(&example(), "c.toml", CHANGES).expect("sound");
    assert!(changes.iter().all(|c| c.entry.is_none_or(|entry| entry.fits(c.scope))));
    let entry =
        |scope, key| changes.iter().find(|c| c.scope == scope && c.key == key).expect("it is there").entry;
    let Some(Entry::Host(host)) = entry(Scope::Hosts(7), Key::of("s-17")) else { panic!("a host") };
    assert_eq!((host.draining, host.zone, host.weight_milli), (true, 2, 500));
    assert_eq!(entry(Scope::Hosts(7), Key::of("s-18")), None);
    assert_eq!(entry(Scope::Zones, Key::from_number(2)), Some(Entry::Zone(false)));
    let (acme, umbrella) = (Key::of("acme"), Key::of("umbrella"));
    assert_eq!(entry(Scope::of_tenant(acme), acme), Some(Entry::Quota(500)));
    assert_eq!(entry(Scope::of_tenant(umbrella), umbrella), None);
    assert_eq!(entry(Scope::Fleet, Key::from_number(1)), Some(Entry::RetryPolicy(RetryPolicy::Never)));
    let Some(Entry::Route(route)) = entry(Scope::Routes(7), Key::of("/api/desks")) else { panic!("a route") };
    assert_eq!((route.class, route.retry_policy), (1, RetryPolicy::Within(800)));
}

#[test]
fn a_fault_in_admin_changes_is_reported_with_line_and_key() {
    for (was, is, told) in [
        ("service = \"desks\"", "service = \"rooms\"", "c.toml:3: host.service: expected one of desks"),
        ("address = \"10.2.0.4:8080\"", "", "c.toml:2: host.address: expected an address:port"),
        ("zone = \"south-a\"", "zone = \"x\"", "c.toml:7: host.zone: expected one of north-a, south-a"),
        ("weight = 0.5", "weight = 0", "c.toml:8: "),
        ("state = \"removed\"", "state = \"gone\"", "c.toml:13: state: unknown variant `gone`"),
        ("name = \"south-a\"", "name = \"x\"", "c.toml:16: zone.name: expected one of"),
        ("class = 1\n", "\n", "c.toml:26: route.class: expected the number of a class"),
        ("serves = false", "serve = false", "c.toml:17: unknown field `serve`"),
    ] {
        let problem =
            parse_changes(&example(), "c.toml", &CHANGES.replacen(was, is, 1)).expect_err(is).to_string();
        assert!(problem.starts_with(told), "{is}: {problem}");
    }
    let problem = parse_changes(&example(), "c.toml", "").expect_err("nothing").to_string();
    assert_eq!(problem, "c.toml:1: expected at least one host, zone, quota, route or class");
}
