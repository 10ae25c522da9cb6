//! A primary, two replicas and gateways on real sockets. The tests wait for states, so that no result depends
//! on the speed of the machine.
mod common;
use common::*;
use ternstack_control_plane::gateway_client::ClientEvent;
use ternstack_replication::follower::FollowerEvent;
use ternstack_replication::scope::{Change, Entry, Key, Revision, Scope};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

/// Proposes changes within the process and returns the revision that they become part of, which is the next
/// one.
fn propose(
    primary: &RunningServer<ternstack_replication::primary::Primary>, changes: Vec<Change>,
) -> Revision {
    let next_revision = primary.server.with_core(|core, _| core.store().through()) + 1;
    primary.server.propose(changes).expect("the proposal is valid");
    next_revision
}

#[tokio::test]
async fn change_comes_into_force_at_every_gateway_through_two_replicas() {
    let primary = start_primary(20).await;
    let replicas = [start_replica("d1", primary.address).await, start_replica("d2", primary.address).await];
    let servers = vec![
        server_endpoint("d1", replicas[0].address, "a"),
        server_endpoint("d2", replicas[1].address, "b"),
    ];
    let mut gateways: Vec<TestGateway> = (0..6)
        .map(|number| TestGateway::start(client_config(&format!("g{number}"), 1, servers.clone())))
        .collect();
    for gateway in &mut gateways {
        gateway.wait_until_complete().await;
        assert!(!is_draining(&gateway.client, 3));
    }
    let zone_change =
        Change { scope: Scope::Zones, key: Key::from_number(2), entry: Some(Entry::Zone(false)) };
    let revision = propose(&primary, vec![host_change(3, true), zone_change]);
    for gateway in &mut gateways {
        gateway.wait_for_revision(revision).await;
        assert!(is_draining(&gateway.client, 3) && !is_draining(&gateway.client, 4));
        let zone = gateway.client.entry(Scope::Zones, Key::from_number(2));
        assert_eq!(zone, Some(Entry::Zone(false)));
        // The revision is known as pending before it comes into force.
        let events = gateway.event_log.lock().expect("no holder of the lock has panicked").clone();
        let position = |expected| {
            events
                .iter()
                .position(|event| *event == ClientEvent::Follower(expected))
                .expect("the event was sent")
        };
        assert!(position(FollowerEvent::Known(revision)) < position(FollowerEvent::InForce(revision)));
        assert_eq!(gateway.client.connected_server(), Some(0), "the gateway prefers the replica of its zone");
    }
    let primary_status = primary.server.status();
    assert_eq!(
        (primary_status.name.as_str(), primary_status.in_force, primary_status.lease_ms),
        ("o", revision, None)
    );
    assert_eq!(primary_status.followers, 2);
    assert!(
        primary_status.traffic.read.polls.messages > 0 && primary_status.traffic.written.fetches.messages > 0
    );
    let replica_status = replicas[0].server.status();
    assert_eq!(replica_status.followers, 6);
    assert!(
        replica_status.in_force == revision
            && replica_status.digest == primary_status.digest
            && replica_status.lease_ms.is_some()
    );
}

#[tokio::test]
async fn gateways_move_to_the_other_replica_when_theirs_is_killed() {
    let primary = start_primary(20).await;
    let mut replicas =
        [start_replica("d1", primary.address).await, start_replica("d2", primary.address).await];
    let servers = vec![
        server_endpoint("d1", replicas[0].address, "a"),
        server_endpoint("d2", replicas[1].address, "b"),
    ];
    let mut gateways: Vec<TestGateway> = (0..4)
        .map(|number| TestGateway::start(client_config(&format!("g{number}"), 1, servers.clone())))
        .collect();
    for gateway in &mut gateways {
        gateway.wait_until_complete().await;
        assert_eq!(gateway.client.connected_server(), Some(0));
    }
    replicas[0].kill().await;
    let revision = propose(&primary, vec![host_change(5, true)]);
    for gateway in &mut gateways {
        gateway.wait_for_revision(revision).await;
        assert!(is_draining(&gateway.client, 5));
        assert_eq!(gateway.client.connected_server(), Some(1));
    }
}

#[tokio::test]
async fn restarted_gateway_with_a_snapshot_fetches_only_what_has_changed() {
    let primary = start_primary(400).await;
    let replica = start_replica("d1", primary.address).await;
    let servers = vec![server_endpoint("d1", replica.address, "a")];
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("g0.snapshot");
    let mut config = client_config("g0", 1, servers.clone());
    config.snapshot = snapshot_config(&path);
    let mut gateway = TestGateway::start(config.clone());
    gateway.wait_until_complete().await;
    let fetches = gateway.client.traffic().read.fetches;
    assert!(fetches.messages > 0 && fetches.bytes > 400 * 15, "the gateway fetches all hosts: {fetches:?}");
    gateway.client.write_snapshot().await.expect("the snapshot can be written");
    drop(gateway);

    let revision = propose(&primary, vec![host_change(5, true)]);
    let mut reference = TestGateway::start(client_config("g1", 1, servers.clone()));
    reference.wait_for_revision(revision).await;

    config.member.incarnation = 2;
    let mut restarted = TestGateway::start(config.clone());
    restarted.wait_for_revision(revision).await;
    assert!(is_draining(&restarted.client, 5) && !is_draining(&restarted.client, 6));
    let traffic = restarted.client.traffic().read;
    // Some bytes are fetched even so, because a snapshot does not contain scopes without entries.
    assert!(
        traffic.fetches.bytes < 100 && traffic.changes.bytes < 100,
        "the restarted gateway fetches no hosts: {traffic:?}"
    );
    let digest = |gateway: &TestGateway| gateway.client.with_core(|core, _| core.storage().total_digest());
    reference.wait_until_complete().await;
    assert_eq!(digest(&restarted), digest(&reference));
    drop(restarted);

    // A snapshot with a changed byte is ignored, and all state is fetched.
    let mut bytes = std::fs::read(&path).expect("the snapshot can be read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&path, bytes).expect("the snapshot can be written");
    config.member.incarnation = 3;
    let mut restarted_without_snapshot = TestGateway::start(config);
    restarted_without_snapshot.wait_until_complete().await;
    assert!(restarted_without_snapshot.client.traffic().read.fetches.bytes > 400 * 15);
    assert_eq!(digest(&restarted_without_snapshot), digest(&reference));
}

#[tokio::test]
async fn gateways_leave_a_replica_that_is_cut_off_from_the_primary_or_hangs() {
    let primary = start_primary(20).await;
    // The first replica follows the primary through a link that the test cuts.
    let (link_listener, link_address) = bind_listener().await;
    let primary_address = primary.address;
    let link = tokio::spawn(async move {
        let (mut replica_side, _) = link_listener.accept().await.expect("the replica connects to the link");
        let mut primary_side = TcpStream::connect(primary_address).await.expect("the primary listens");
        let _ = copy_bidirectional(&mut replica_side, &mut primary_side).await;
    });
    let cut_off_replica = start_replica("d1", link_address).await;
    let healthy_replica = start_replica("d2", primary.address).await;
    // Connections to this address are established but never read, like those to a stopped process.
    let (hanging_listener, hanging_address) = bind_listener().await;
    let servers =
        |first| vec![server_endpoint("d1", first, "a"), server_endpoint("d2", healthy_replica.address, "b")];
    let mut gateway_of_cut_off = TestGateway::start(client_config("g1", 1, servers(cut_off_replica.address)));
    gateway_of_cut_off.wait_until_complete().await;
    assert_eq!(gateway_of_cut_off.client.connected_server(), Some(0));
    link.abort();
    let _ = link.await;
    let mut gateway_of_hanging = TestGateway::start(client_config("g2", 1, servers(hanging_address)));
    let revision = propose(&primary, vec![host_change(5, true)]);
    for gateway in [&mut gateway_of_cut_off, &mut gateway_of_hanging] {
        gateway.wait_for_revision(revision).await;
        gateway.wait_until_complete().await;
        assert!(is_draining(&gateway.client, 5));
        assert_eq!(gateway.client.connected_server(), Some(1));
    }
    // The replica that was cut off still responds, but has no lease and stays at its old revision.
    let status = cut_off_replica.server.status();
    assert_eq!((status.in_force, status.lease_ms), (1, Some(0)));
    drop(hanging_listener);
}
