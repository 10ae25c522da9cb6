//! The generated installation and the generated changes.
use std::collections::{BTreeMap, BTreeSet, HashMap};
use ternstack_replication::scope::{Change, Entry, Scope};
use ternstack_scale_tests::installation::{ChangeStream, Installation, InstallationSize};

const SIZE: InstallationSize = InstallationSize {
    seed: 1,
    gateways: 10,
    hosts: 2000,
    services: 100,
    tenants: 5000,
    routes: 1100,
    regions: 2,
    zones: 4,
    zipf: 0.8,
};

#[test]
fn initial_entries_contain_each_host_route_and_tenant_once() -> Result<(), String> {
    let installation = Installation::generate(SIZE)?;
    let mut counts = HashMap::new();
    let mut seen = BTreeSet::new();
    for (scope, key, entry) in installation.initial_entries() {
        assert!(entry.fits(scope), "expected an entry of the scope's kind, got {entry:?} in {scope:?}");
        assert!(
            seen.insert((scope, key)),
            "expected each key once in its scope, got {key:?} twice in {scope:?}"
        );
        *counts.entry(std::mem::discriminant(&scope)).or_insert(0) += 1;
    }
    let count_of_kind = |scope: Scope| counts[&std::mem::discriminant(&scope)];
    assert_eq!(
        (count_of_kind(Scope::Hosts(0)), count_of_kind(Scope::Routes(0)), count_of_kind(Scope::Tenants(0))),
        (2000, 1100, 5000)
    );
    let hosts: u32 = (0..100).map(|s| installation.hosts_of(s)).sum();
    assert_eq!(hosts, 2000);
    assert!(installation.hosts_of(0) > 10 * installation.hosts_of(99) && installation.hosts_of(99) >= 1);
    Ok(())
}

#[test]
fn change_stream_is_determined_by_its_seed() -> Result<(), String> {
    let installation = Installation::generate(SIZE)?;
    let changes_of_seed = |seed| -> Vec<Change> {
        let mut stream = ChangeStream::new(&installation, seed);
        (0..200)
            .map(|n| if n % 3 == 0 { stream.next_configuration_change() } else { stream.next_host_change() })
            .collect()
    };
    assert_eq!(changes_of_seed(1), changes_of_seed(1));
    assert_ne!(changes_of_seed(1), changes_of_seed(2));
    Ok(())
}

#[test]
fn changed_hosts_drain_then_leave_then_return_and_reserved_hosts_stay() -> Result<(), String> {
    let installation = Installation::generate(SIZE)?;
    let mut stream = ChangeStream::new(&installation, 1);
    let mut last_entries: BTreeMap<_, Option<Entry>> = BTreeMap::new();
    let reserved: BTreeSet<_> = (0..installation.reserved_hosts()).map(|n| installation.host(n).1).collect();
    let mut transitions = [0; 3];
    for _ in 0..600 {
        let change = stream.next_host_change();
        assert!(!reserved.contains(&change.key));
        let is_draining = |e: &Option<Entry>| matches!(e, Some(Entry::Host(h)) if h.draining);
        let before = last_entries.insert(change.key, change.entry);
        let transition = match (&before, &change.entry) {
            (_, e) if is_draining(e) => 0,
            (Some(before), None) if is_draining(before) => 1,
            (Some(None), Some(_)) => 2,
            other => return Err(format!("expected a host to drain, leave or return, got entries {other:?}")),
        };
        transitions[transition] += 1;
    }
    assert!(
        transitions.iter().all(|n| *n > 150),
        "expected more than 150 of each transition, got {transitions:?}"
    );
    Ok(())
}

#[test]
fn gateways_follow_the_given_number_of_scopes_and_large_services_most_often() -> Result<(), String> {
    let installation = Installation::generate(SIZE)?;
    let mut followers = [0; 100];
    for gateway in 0..300 {
        let scopes = installation.followed_scopes(gateway, 8, 16);
        assert_eq!(scopes, installation.followed_scopes(gateway, 8, 16));
        assert_eq!(scopes.len(), 8 * 2 + 16);
        assert_eq!(scopes.iter().collect::<BTreeSet<_>>().len(), scopes.len());
        for scope in scopes {
            if let Scope::Hosts(service) = scope {
                followers[service as usize] += 1;
            }
        }
    }
    assert!(
        followers[0] > 3 * followers[60],
        "expected over 3 times as many followers of service 0 as of service 60: {followers:?}"
    );
    // A gateway that is to follow more services than exist follows all of them, each with two scopes.
    assert_eq!(installation.followed_scopes(0, 1000, 0).len(), 200);
    Ok(())
}

#[test]
fn sizes_out_of_range_are_rejected_with_the_flag_at_fault() {
    let error_of = |size: InstallationSize| Installation::generate(size).err().unwrap_or_default();
    assert!(error_of(InstallationSize { hosts: 99, ..SIZE }).contains("--hosts"));
    assert!(error_of(InstallationSize { routes: 0, ..SIZE }).contains("--routes"));
    assert!(error_of(InstallationSize { zones: 1, ..SIZE }).contains("--zones"));
    assert!(error_of(InstallationSize { zipf: 9.0, ..SIZE }).contains("--zipf"));
    assert!(error_of(InstallationSize { gateways: 0, ..SIZE }).contains("--gateways"));
}
