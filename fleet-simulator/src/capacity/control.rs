//! What control's state machines cost without sockets: asks, grants and their frames, and a gateway's snapshot.
use super::gateway::{resident, tenant, thread_us};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Instant;
use ternstack_replication::follower::Follower;
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::lessor::Lessor;
use ternstack_replication::scope::{Change, ChangeSet, Entry, Host, Key, Revision, Scope};
use ternstack_replication::snapshot::Snapshot;
use ternstack_replication::storage::Storage;
use ternstack_replication::store::Store;
use ternstack_replication::tables::Tables;
use ternstack_replication::wire::{decode, encode, Member, Message, PollRequest, Subscription};

/// A server's entry.
pub fn host(n: u32) -> Entry {
    Entry::Host(Host {
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n), 8080),
        zone: (n % 15) as u16,
        draining: false,
        weight_milli: 1000,
        started_s: 1_790_000_000 + n,
    })
}

/// A server's key.
pub fn key(n: u32) -> Key {
    Key::of(&format!("server-{n:06}"))
}

/// What an ask costs on an ordinary second, in us: of its grantor, and of its follower.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Reading the ask, answering it, writing the grant.
    pub grantor_us: f64,
    /// The ask, its frame, reading the grant and taking it.
    pub follower_us: f64,
}

fn framed(message: &Message) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).map_err(|e| e.to_string())?;
    Ok(bytes)
}

fn read(bytes: &[u8]) -> Result<Message, String> {
    match decode(bytes) {
        Ok(Some((message, _))) => Ok(message),
        Ok(None) => Err("a frame that is cut".into()),
        Err(e) => Err(e.to_string()),
    }
}

/// So many followers ask a grantor in turn, for `rounds` rounds after what they start with; a change comes with each tenth
/// round. The least of the rounds' means, by the wall clock: a round is shorter than what CPU time is counted by.
pub fn asked(followers: u32, rounds: u32) -> Result<Asked, String> {
    let terms = LeaseConfig::default();
    let (mut store, mut grantor) = (Store::new(), Lessor::new(terms, 0.0));
    let member = |n| Member { name: format!("gateway-{n:04}"), incarnation: 1_790_000_000 };
    let mut all: Vec<Follower<Tables>> =
        (0..followers).map(|n| Follower::new(terms, member(n), Tables::new())).collect();
    let (mut now, mut number): (f64, Revision) = (0.0, 0);
    let mut least = Asked { grantor_us: f64::INFINITY, follower_us: f64::INFINITY };
    let us = |from: Instant| from.elapsed().as_secs_f64() * 1e6 / f64::from(followers);
    for round in 0..rounds + 20 {
        // The one before is in force by now, as each knows it.
        store.advance_to(number);
        if round % 10 == 0 {
            number += 1;
            let change = Change { scope: Scope::Fleet, key: key(round), entry: None };
            store.add_pending(ChangeSet { revision: number, changes: vec![change] });
        }
        now += terms.poll_interval_ms();
        let from = Instant::now();
        let mut asks = Vec::new();
        for follower in &mut all {
            let ask = follower.poll(now).ok_or("a follower has nothing to ask")?;
            asks.push(framed(&Message::PollRequest(ask))?);
        }
        let asking = us(from);
        let from = Instant::now();
        let mut grants = Vec::new();
        for ask in &asks {
            let Message::PollRequest(ask) = read(ask)? else { return Err("no ask".into()) };
            grants.push(framed(&Message::PollResponse(grantor.handle_poll(
                now,
                &store,
                terms.lease_ms,
                &ask,
            )))?);
        }
        let granting = us(from);
        let from = Instant::now();
        for (follower, grant) in all.iter_mut().zip(&grants) {
            let Message::PollResponse(grant) = read(grant)? else { return Err("no grant".into()) };
            follower.handle_response(now, grant).map_err(|e| format!("{e:?}"))?;
        }
        let taking = us(from);
        if round >= 20 {
            least.grantor_us = least.grantor_us.min(granting);
            least.follower_us = least.follower_us.min(asking + taking);
        }
    }
    match all.iter().all(|f| f.lease_until() > now) {
        true => Ok(least),
        false => Err("a follower holds no lease".into()),
    }
}

/// A gateway's snapshot of so many hosts, with routes and tenants in proportion: its bytes, and CPU time to read it, in us.
pub fn snapshot(hosts: u32, runs: u32) -> Result<[f64; 2], String> {
    let mut tables = Tables::new();
    let services = (hosts / 54).max(1);
    for n in 0..hosts {
        tables.set(Scope::Hosts(n % services), key(n), 1, Some(host(n)));
    }
    for n in 0..(f64::from(hosts) * 3.35) as u32 {
        let key = Key::of(&tenant(n as usize));
        tables.set(Scope::of_tenant(key), key, 1, Some(Entry::Quota(10 + n % 90)));
    }
    let snapshot = Snapshot { known: 1, in_force: 1, tables };
    let bytes = snapshot.encode().map_err(|e| e.to_string())?;
    let mut least = f64::INFINITY;
    for _ in 0..runs {
        // Some at once: CPU time is counted in steps of some ms.
        let times = (2_000_000 / bytes.len()).max(1);
        let from = thread_us()?;
        for _ in 0..times {
            let read = Snapshot::decode(&bytes).map_err(|e| e.to_string())?;
            if std::hint::black_box(read).known != 1 {
                return Err("another snapshot".into());
            }
        }
        least = least.min((thread_us()? - from) / times as f64);
    }
    Ok([bytes.len() as f64, least])
}

/// An ask that tells so many scopes whole, as a gateway's first one to a machine does.
fn telling(member: Member, scopes: u32) -> PollRequest {
    let scope = |n: u32| match n % 3 {
        0 => Scope::Hosts(n / 3),
        1 => Scope::Routes(n / 3),
        _ => Scope::Tenants(n / 3),
    };
    PollRequest {
        member,
        sequence: 1,
        acknowledged: 0,
        known: 0,
        in_force: 0,
        subscription: Subscription::Complete { generation: 1, scopes: (0..scopes).map(scope).collect() },
        fetch: Vec::new(),
    }
}

/// What a grantor keeps of each of `followers` members that have so many scopes, in bytes of resident memory, and the
/// bytes of the ask that tells them. The grantor is handed back, so that what it holds is not taken for the next one's.
pub fn members(scopes: u32, followers: u32) -> Result<([f64; 2], Lessor), String> {
    let (store, mut grantor) = (Store::new(), Lessor::new(LeaseConfig::default(), 0.0));
    let member = |n| Member { name: format!("gateway-{n:04}"), incarnation: 1_790_000_000 };
    let told = framed(&Message::PollRequest(telling(member(0), scopes)))?.len() as f64;
    // What the allocator keeps of one ask is nobody's.
    drop(telling(member(0), scopes));
    let before = resident(Path::new("/proc/self/status"))?;
    for n in 0..followers {
        std::hint::black_box(grantor.handle_poll(0.0, &store, 1900.0, &telling(member(n), scopes)));
    }
    let more = resident(Path::new("/proc/self/status"))? - before;
    match grantor.follower_count() == followers as usize {
        true => Ok(([more / f64::from(followers), told], grantor)),
        false => Err("a member was not taken".into()),
    }
}
