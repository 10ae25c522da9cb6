//! The installation and its changes as drawn.
use std::collections::{BTreeMap, BTreeSet, HashMap};
use ternstack_replication::scope::{Change, Entry, Scope};
use ternstack_scale_tests::installation::{Size, Stream, World};

const SIZE: Size = Size {
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
fn all_hosts_routes_and_tenants_are_there_once() -> Result<(), String> {
    let world = World::draw(SIZE)?;
    let mut counts = HashMap::new();
    let mut seen = BTreeSet::new();
    for (scope, key, entry) in world.entries() {
        assert!(entry.fits(scope), "{entry:?} in {scope:?}");
        assert!(seen.insert((scope, key)), "{key:?} twice in {scope:?}");
        *counts.entry(std::mem::discriminant(&scope)).or_insert(0) += 1;
    }
    let of = |scope: Scope| counts[&std::mem::discriminant(&scope)];
    assert_eq!((of(Scope::Hosts(0)), of(Scope::Routes(0)), of(Scope::Tenants(0))), (2000, 1100, 5000));
    let hosts: u32 = (0..100).map(|s| world.hosts_of(s)).sum();
    assert_eq!(hosts, 2000);
    assert!(world.hosts_of(0) > 10 * world.hosts_of(99) && world.hosts_of(99) >= 1);
    Ok(())
}

#[test]
fn the_same_seed_draws_the_same_changes() -> Result<(), String> {
    let world = World::draw(SIZE)?;
    let draw = |seed| -> Vec<Change> {
        let mut stream = Stream::new(&world, seed);
        (0..200).map(|n| if n % 3 == 0 { stream.configuration() } else { stream.host() }).collect()
    };
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    Ok(())
}

#[test]
fn hosts_drain_are_gone_and_come_back() -> Result<(), String> {
    let world = World::draw(SIZE)?;
    let mut stream = Stream::new(&world, 1);
    let mut last: BTreeMap<_, Option<Entry>> = BTreeMap::new();
    let spared: BTreeSet<_> = (0..world.spared()).map(|n| world.host(n).1).collect();
    let mut steps = [0; 3];
    for _ in 0..600 {
        let change = stream.host();
        assert!(!spared.contains(&change.key));
        let drains = |e: &Option<Entry>| matches!(e, Some(Entry::Host(h)) if h.draining);
        let before = last.insert(change.key, change.entry);
        let step = match (&before, &change.entry) {
            (_, e) if drains(e) => 0,
            (Some(before), None) if drains(before) => 1,
            (Some(None), Some(_)) => 2,
            other => return Err(format!("{other:?}")),
        };
        steps[step] += 1;
    }
    assert!(steps.iter().all(|n| *n > 150), "{steps:?}");
    Ok(())
}

#[test]
fn gateways_follow_what_they_are_told_to_and_popular_services_most() -> Result<(), String> {
    let world = World::draw(SIZE)?;
    let mut followers = [0; 100];
    for gateway in 0..300 {
        let scopes = world.followed(gateway, 8, 16);
        assert_eq!(scopes, world.followed(gateway, 8, 16));
        assert_eq!(scopes.len(), 8 * 2 + 16);
        assert_eq!(scopes.iter().collect::<BTreeSet<_>>().len(), scopes.len());
        for scope in scopes {
            if let Scope::Hosts(service) = scope {
                followers[service as usize] += 1;
            }
        }
    }
    assert!(followers[0] > 3 * followers[60], "{followers:?}");
    // Of fewer there are, all.
    assert_eq!(world.followed(0, 1000, 0).len(), 200);
    Ok(())
}

#[test]
fn what_cannot_be_drawn_is_named() {
    let named = |size: Size| World::draw(size).err().unwrap_or_default();
    assert!(named(Size { hosts: 99, ..SIZE }).contains("--hosts"));
    assert!(named(Size { routes: 0, ..SIZE }).contains("--routes"));
    assert!(named(Size { zones: 1, ..SIZE }).contains("--zones"));
    assert!(named(Size { zipf: 9.0, ..SIZE }).contains("--zipf"));
    assert!(named(Size { gateways: 0, ..SIZE }).contains("--gateways"));
}
