//! Cost of the control server's state machines without sockets: polls, responses and their frames, and a
//! gateway's snapshot.
use super::gateway::{resident_bytes, tenant, thread_cpu_us};
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

/// Returns the entry of a host.
pub fn host(n: u32) -> Entry {
    Entry::Host(Host {
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + n), 8080),
        zone: (n % 15) as u16,
        draining: false,
        weight_milli: 1000,
        started_s: 1_790_000_000 + n,
    })
}

/// Returns the key of a host.
pub fn key(n: u32) -> Key {
    Key::of(&format!("server-{n:06}"))
}

/// Cost of a poll in normal operation, in us.
#[derive(Clone, Copy, Debug)]
pub struct PollCost {
    /// Cost at the lessor: decoding the poll, handling it, encoding the response.
    pub lessor_us: f64,
    /// Cost at the follower: creating and encoding the poll, decoding and handling the response.
    pub follower_us: f64,
}

fn encode_frame(message: &Message) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).map_err(|e| e.to_string())?;
    Ok(bytes)
}

fn decode_frame(bytes: &[u8]) -> Result<Message, String> {
    match decode(bytes) {
        Ok(Some((message, _))) => Ok(message),
        Ok(None) => Err("frame is truncated".into()),
        Err(e) => Err(e.to_string()),
    }
}

/// Measures polls of `followers` followers at one lessor, for `rounds` rounds after a warm-up, with a change
/// in every tenth round. Returns the smallest mean of a round in wall-clock time, because a round is shorter
/// than the resolution of CPU time.
///
/// # Errors
///
/// Fails if a message is invalid or a follower ends without a lease.
pub fn measure_polls(followers: u32, rounds: u32) -> Result<PollCost, String> {
    let config = LeaseConfig::default();
    let (mut store, mut lessor) = (Store::new(), Lessor::new(config, 0.0));
    let member = |n| Member { name: format!("gateway-{n:04}"), incarnation: 1_790_000_000 };
    let mut follower_list: Vec<Follower<Tables>> =
        (0..followers).map(|n| Follower::new(config, member(n), Tables::new())).collect();
    let (mut now, mut revision): (f64, Revision) = (0.0, 0);
    let mut smallest = PollCost { lessor_us: f64::INFINITY, follower_us: f64::INFINITY };
    let us = |started: Instant| started.elapsed().as_secs_f64() * 1e6 / f64::from(followers);
    for round in 0..rounds + 20 {
        // Every follower has received the previous change set, so that its revision comes into force.
        store.advance_to(revision);
        if round % 10 == 0 {
            revision += 1;
            let change = Change { scope: Scope::Fleet, key: key(round), entry: None };
            store.add_pending(ChangeSet { revision, changes: vec![change] });
        }
        now += config.poll_interval_ms();
        let started = Instant::now();
        let mut polls = Vec::new();
        for follower in &mut follower_list {
            let poll = follower.poll(now).ok_or("follower has no poll to send")?;
            polls.push(encode_frame(&Message::PollRequest(poll))?);
        }
        let poll_us = us(started);
        let started = Instant::now();
        let mut responses = Vec::new();
        for poll in &polls {
            let Message::PollRequest(poll) = decode_frame(poll)? else {
                return Err("expected a poll request".into());
            };
            responses.push(encode_frame(&Message::PollResponse(lessor.handle_poll(
                now,
                &store,
                config.lease_ms,
                &poll,
            )))?);
        }
        let lessor_us = us(started);
        let started = Instant::now();
        for (follower, response) in follower_list.iter_mut().zip(&responses) {
            let Message::PollResponse(response) = decode_frame(response)? else {
                return Err("expected a poll response".into());
            };
            follower.handle_response(now, response).map_err(|e| format!("{e:?}"))?;
        }
        let response_us = us(started);
        if round >= 20 {
            smallest.lessor_us = smallest.lessor_us.min(lessor_us);
            smallest.follower_us = smallest.follower_us.min(poll_us + response_us);
        }
    }
    match follower_list.iter().all(|f| f.lease_until() > now) {
        true => Ok(smallest),
        false => Err("a follower ended without a lease".into()),
    }
}

/// Measures a gateway's snapshot of `hosts` hosts, with routes and tenants in proportion. Returns the size in
/// bytes and the CPU time to decode it in us.
///
/// # Errors
///
/// Fails if encoding or decoding fails.
pub fn measure_snapshot(hosts: u32, runs: u32) -> Result<[f64; 2], String> {
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
    let mut smallest = f64::INFINITY;
    for _ in 0..runs {
        // Short calls are repeated because CPU time is counted in steps of some ms.
        let times = (2_000_000 / bytes.len()).max(1);
        let started = thread_cpu_us()?;
        for _ in 0..times {
            let read = Snapshot::decode(&bytes).map_err(|e| e.to_string())?;
            if std::hint::black_box(read).known != 1 {
                return Err("the decoded snapshot differs".into());
            }
        }
        smallest = smallest.min((thread_cpu_us()? - started) / times as f64);
    }
    Ok([bytes.len() as f64, smallest])
}

/// Creates a poll with a complete subscription, such as the first poll of a gateway to a control server.
fn complete_poll(member: Member, scopes: u32) -> PollRequest {
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

/// Measures the resident memory that a lessor keeps for each of `followers` members with `scopes` scopes, and
/// the size of the poll that subscribes to them, both in bytes. Also returns the lessor, so that its memory
/// is not reused in the next measurement.
///
/// # Errors
///
/// Fails if a message cannot be encoded or the lessor does not accept every member.
pub fn measure_members(scopes: u32, followers: u32) -> Result<([f64; 2], Lessor), String> {
    let (store, mut lessor) = (Store::new(), Lessor::new(LeaseConfig::default(), 0.0));
    let member = |n| Member { name: format!("gateway-{n:04}"), incarnation: 1_790_000_000 };
    let poll_bytes = encode_frame(&Message::PollRequest(complete_poll(member(0), scopes)))?.len() as f64;
    // Creating and dropping one poll first keeps the allocator's own growth out of the measurement.
    drop(complete_poll(member(0), scopes));
    let before = resident_bytes(Path::new("/proc/self/status"))?;
    for n in 0..followers {
        std::hint::black_box(lessor.handle_poll(0.0, &store, 1900.0, &complete_poll(member(n), scopes)));
    }
    let more = resident_bytes(Path::new("/proc/self/status"))? - before;
    match lessor.follower_count() == followers as usize {
        true => Ok(([more / f64::from(followers), poll_bytes], lessor)),
        false => Err("the lessor did not accept every member".into()),
    }
}
