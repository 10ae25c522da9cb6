//! An origin, two distributors and followers on real sockets. No outcome here depends on how fast the machine is.
mod common;
use common::*;
use ternstack_control_plane::gateway_client::ClientEvent;
use ternstack_replication::follower::FollowerEvent;
use ternstack_replication::scope::{Change, Entry, Key, Revision, Scope};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

/// Waits until a proposal from within is agreed on: the number of its version follows the last one.
fn propose(origin: &Running<ternstack_replication::primary::Primary>, changes: Vec<Change>) -> Revision {
    let next = origin.server.with_core(|core, _| core.store().through()) + 1;
    origin.server.propose(changes).expect("it is sound");
    next
}

#[tokio::test]
async fn a_change_comes_into_force_at_every_follower_through_two_distributors() {
    let origin = origin(20).await;
    let d = [distributor("d1", origin.at).await, distributor("d2", origin.at).await];
    let all = vec![endpoint("d1", d[0].at, "a"), endpoint("d2", d[1].at, "b")];
    let mut gateways: Vec<Gateway> =
        (0..6).map(|n| Gateway::start(client_config(&format!("g{n}"), 1, all.clone()))).collect();
    for gateway in &mut gateways {
        gateway.whole().await;
        assert!(!drains(&gateway.client, 3));
    }
    let zone = Change { scope: Scope::Zones, key: Key::from_number(2), entry: Some(Entry::Zone(false)) };
    let number = propose(&origin, vec![host(3, true), zone]);
    for gateway in &mut gateways {
        gateway.acts_on(number).await;
        assert!(drains(&gateway.client, 3) && !drains(&gateway.client, 4));
        let zone = gateway.client.entry(Scope::Zones, Key::from_number(2));
        assert_eq!(zone, Some(Entry::Zone(false)));
        // It was told of as to come before it came into force.
        let heard = gateway.all.lock().expect("no panic").clone();
        let at =
            |what| heard.iter().position(|told| *told == ClientEvent::Follower(what)).expect("it was told");
        assert!(at(FollowerEvent::Known(number)) < at(FollowerEvent::InForce(number)));
        assert_eq!(gateway.client.connected_server(), Some(0), "the one of its zone");
    }
    let status = origin.server.status();
    assert_eq!((status.name.as_str(), status.in_force, status.lease_ms), ("o", number, None));
    assert_eq!(status.followers, 2);
    assert!(status.traffic.read.polls.messages > 0 && status.traffic.written.fetches.messages > 0);
    // The distributor may hear of it a little later than those that it answers.
    let held = d[0].server.status();
    assert_eq!(held.followers, 6);
    assert!(held.in_force == number && held.digest == status.digest && held.lease_ms.is_some());
}

#[tokio::test]
async fn followers_of_a_distributor_that_is_killed_go_on_at_the_other() {
    let origin = origin(20).await;
    let mut d = [distributor("d1", origin.at).await, distributor("d2", origin.at).await];
    let all = vec![endpoint("d1", d[0].at, "a"), endpoint("d2", d[1].at, "b")];
    let mut gateways: Vec<Gateway> =
        (0..4).map(|n| Gateway::start(client_config(&format!("g{n}"), 1, all.clone()))).collect();
    for gateway in &mut gateways {
        gateway.whole().await;
        assert_eq!(gateway.client.connected_server(), Some(0));
    }
    d[0].kill().await;
    let number = propose(&origin, vec![host(5, true)]);
    for gateway in &mut gateways {
        gateway.acts_on(number).await;
        assert!(drains(&gateway.client, 5));
        assert_eq!(gateway.client.connected_server(), Some(1));
    }
}

#[tokio::test]
async fn whoever_returns_with_its_snapshot_is_sent_what_changed_and_no_more() {
    let origin = origin(400).await;
    let distributor = distributor("d1", origin.at).await;
    let all = vec![endpoint("d1", distributor.at, "a")];
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("g0.snapshot");
    let mut first = client_config("g0", 1, all.clone());
    first.snapshot = snapshot_config(&path);
    let mut gateway = Gateway::start(first.clone());
    gateway.whole().await;
    let start = gateway.client.traffic().read.fetches;
    assert!(start.messages > 0 && start.bytes > 400 * 15, "{start:?}");
    gateway.client.write_snapshot().await.expect("it is written");
    drop(gateway);

    let number = propose(&origin, vec![host(5, true)]);
    let mut watcher = Gateway::start(client_config("g1", 1, all.clone()));
    watcher.acts_on(number).await;

    first.member.incarnation = 2;
    let mut back = Gateway::start(first.clone());
    back.acts_on(number).await;
    assert!(drains(&back.client, 5) && !drains(&back.client, 6));
    let counts = back.client.traffic().read;
    // A scope without entries is in no snapshot, and told anew.
    assert!(counts.fetches.bytes < 100 && counts.changes.bytes < 100, "{counts:?}");
    let digest = |g: &Gateway| g.client.with_core(|core, _| core.storage().total_digest());
    watcher.whole().await;
    assert_eq!(digest(&back), digest(&watcher));
    drop(back);

    // One byte is another: it is left unused, and all is fetched anew.
    let mut bytes = std::fs::read(&path).expect("it is there");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&path, bytes).expect("it can be written");
    first.member.incarnation = 3;
    let mut again = Gateway::start(first);
    again.whole().await;
    assert!(again.client.traffic().read.fetches.bytes > 400 * 15);
    assert_eq!(digest(&again), digest(&watcher));
}

#[tokio::test]
async fn a_distributor_that_lost_its_origin_and_one_that_hangs_are_left() {
    let origin = origin(20).await;
    // The first one follows by a link that is to be cut.
    let (between, at) = listener().await;
    let to = origin.at;
    let link = tokio::spawn(async move {
        let (mut stream, _) = between.accept().await.expect("it is called");
        let mut origin = TcpStream::connect(to).await.expect("it listens");
        let _ = copy_bidirectional(&mut stream, &mut origin).await;
    });
    let cut_off = distributor("d1", at).await;
    let sound = distributor("d2", origin.at).await;
    // It takes connections, and nothing is ever read there, as of a process that is stopped.
    let (hanging, hangs_at) = listener().await;
    let all = |first| vec![endpoint("d1", first, "a"), endpoint("d2", sound.at, "b")];
    let mut one = Gateway::start(client_config("g1", 1, all(cut_off.at)));
    one.whole().await;
    assert_eq!(one.client.connected_server(), Some(0));
    link.abort();
    let _ = link.await;
    let mut other = Gateway::start(client_config("g2", 1, all(hangs_at)));
    let number = propose(&origin, vec![host(5, true)]);
    for gateway in [&mut one, &mut other] {
        gateway.acts_on(number).await;
        gateway.whole().await;
        assert!(drains(&gateway.client, 5));
        assert_eq!(gateway.client.connected_server(), Some(1));
    }
    // The one that was cut off still answers, without a lease: what it has is not in force any more.
    let status = cut_off.server.status();
    assert_eq!((status.in_force, status.lease_ms), (1, Some(0)));
    drop(hanging);
}
