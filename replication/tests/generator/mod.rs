//! Values drawn at random from a seed, a digest of observations, and fixture files to compare with.
//!
//! Fixtures record bytes and numbers, and never the names of types or fields, so that a renaming leaves
//! fixtures unchanged.
#![allow(dead_code)] // Each test file uses only a part of this module.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use ternstack_replication::rules::RetryPolicy;
use ternstack_replication::scope::{Change, ChangeSet, Digest, Entry, Host, Key, Route, Scope};
use ternstack_replication::wire::{encode, Message};

/// A source of random values; the order of draws is part of the fixtures.
pub struct Generator(pub ChaCha8Rng);

impl Generator {
    pub fn new(seed: u64) -> Generator {
        Generator(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number from 0 up to, but excluding, `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0.random_range(0..end)
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.random_bool(probability)
    }

    /// Returns small and large numbers alike, because the encoding of integers has a variable length.
    pub fn number(&mut self) -> u64 {
        let shift = self.0.random_range(0..64);
        self.0.random::<u64>() >> shift
    }

    pub fn policy(&mut self) -> RetryPolicy {
        match self.below(3) {
            0 => RetryPolicy::Never,
            1 => RetryPolicy::Within(self.number()),
            _ => RetryPolicy::Always,
        }
    }

    pub fn host(&mut self) -> Host {
        Host {
            address: SocketAddrV4::new(Ipv4Addr::from(self.0.random::<u32>()), self.0.random()),
            zone: self.0.random(),
            draining: self.0.random(),
            weight_milli: self.0.random(),
            started_s: self.0.random(),
        }
    }

    pub fn any_scope(&mut self) -> Scope {
        let n = self.number() as u32;
        match self.below(5) {
            0 => Scope::Zones,
            1 => Scope::Fleet,
            2 => Scope::Hosts(n),
            3 => Scope::Routes(n),
            _ => Scope::Tenants(n),
        }
    }

    /// Returns an entry that fits a scope.
    pub fn entry_of(&mut self, scope: Scope) -> Entry {
        match scope {
            Scope::Zones => Entry::Zone(self.0.random()),
            Scope::Fleet => Entry::RetryPolicy(self.policy()),
            Scope::Hosts(_) => Entry::Host(self.host()),
            Scope::Routes(_) => Entry::Route(Route { class: self.0.random(), retry_policy: self.policy() }),
            Scope::Tenants(_) => Entry::Quota(self.0.random()),
        }
    }

    pub fn change(&mut self, scope: Scope, keys: u64) -> Change {
        let key = Key(self.below(keys));
        let removed = self.chance(0.3);
        Change { scope, key, entry: (!removed).then(|| self.entry_of(scope)) }
    }

    pub fn change_set(&mut self, revision: u64, scopes: &[Scope], keys: u64) -> ChangeSet {
        let count = 1 + self.below(6);
        let changes = (0..count).map(|_| {
            let scope = scopes[self.below(scopes.len() as u64) as usize];
            self.change(scope, keys)
        });
        ChangeSet { revision, changes: changes.collect() }
    }
}

/// The SHA-256 of all observations, in their order.
#[derive(Default)]
pub struct ObservationDigest(Sha256);

impl ObservationDigest {
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.update((bytes.len() as u64).to_be_bytes());
        self.0.update(bytes);
    }

    pub fn number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    pub fn float(&mut self, float: f64) {
        self.number(float.to_bits());
    }

    pub fn digest(&mut self, digest: Digest) {
        self.0.update(digest.0.to_be_bytes());
    }

    pub fn scope_and_key(&mut self, scope: Scope, key: Key) {
        self.bytes(&postcard::to_allocvec(&(scope, key)).expect("scope and key are encodable"));
    }

    pub fn entry(&mut self, entry: Option<Entry>) {
        self.bytes(&postcard::to_allocvec(&entry).expect("the entry is encodable"));
    }

    pub fn message(&mut self, message: &Message) {
        self.bytes(&frame(message));
    }

    pub fn finish(self) -> String {
        hex(&self.0.finalize())
    }
}

pub fn frame(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes).expect("the message fits a frame");
    bytes
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| {
            u8::from_str_radix(std::str::from_utf8(pair).expect("the hexadecimal text is ASCII"), 16)
                .expect("each pair of digits is a hexadecimal byte")
        })
        .collect()
}

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "fixtures", name].iter().collect()
}

/// Returns the bytes of a fixture.
pub fn read_fixture(name: &str) -> Vec<u8> {
    std::fs::read(path(name)).unwrap_or_else(|e| panic!("fixture {name} is not readable: {e}"))
}

/// Returns the bytes of a fixture. A missing fixture is written from `made` and the test fails, so that the new
/// fixture is reviewed before use; an existing fixture is never written.
pub fn fixture(name: &str, made: &[u8]) -> Vec<u8> {
    if path(name).exists() {
        return read_fixture(name);
    }
    std::fs::write(path(name), made).expect("the fixture is writable");
    panic!("fixture {name} was missing and has been written; review it and run the test again");
}

/// Compares lines of `name value` with a fixture, and fails with the lines that differ.
pub fn assert_fixture_lines(name: &str, lines: &[(String, String)]) {
    let text: String = lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
    let fixture_text = String::from_utf8(fixture(name, text.as_bytes())).expect("the fixture is UTF-8");
    let differing: Vec<&str> = text
        .lines()
        .zip(fixture_text.lines())
        .filter(|(made, expected)| made != expected)
        .map(|(made, _)| made)
        .collect();
    assert!(differing.is_empty(), "{} lines differ from fixture {name}: {differing:.300?}", differing.len());
    assert_eq!(
        text.lines().count(),
        fixture_text.lines().count(),
        "number of lines differs from fixture {name}"
    );
}
