//! Discovery: it learns late, tells those who have asked, handles few calls at once, and forgets.
use super::draw::{stream, Purpose};
use super::spec;
use super::{us, Us};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// What discovery knows of a host's readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Serving,
    /// Wants nothing new.
    Draining,
    /// Gone.
    Gone,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// The host.
    pub host: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// What its size is told as.
    pub size: f64,
    /// Whether it takes work.
    pub state: State,
    /// When it last started; 0 for long ago.
    pub started: Us,
}

/// Something that a gateway will be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// When.
    pub at: Us,
    /// Which gateway.
    pub gateway: usize,
    /// It has failed: nothing is told.
    pub lost: bool,
    /// The list's version then.
    pub rev: u64,
}

/// The content of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// The whole list, or just what has changed.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Default)]
struct Reader {
    rev: u64,
    subscribed: bool,
    last_at: Us, // The last delivery: later ones must not overtake it.
    asked: Option<(Us, bool)>,
    had: BTreeMap<u32, Entry>,
}

/// Discovery.
#[derive(Debug)]
pub struct Discovery {
    spec: spec::Discovery,
    rng: ChaCha8Rng,
    rev: u64,
    entries: BTreeMap<u32, Entry>,
    changes: VecDeque<(u64, Entry)>,
    learnt: BTreeMap<u32, Us>, // When it learnt of a drain or an end.
    readers: Vec<Reader>,
    free: Vec<Us>, // When each place for a call is free.
    down: bool,
    stale: Option<Vec<Entry>>, // While it learns nothing: what it has missed.
}

impl Discovery {
    /// Discovery that lists these hosts, and gateways that have had that list.
    pub fn new(spec: spec::Discovery, entries: Vec<Entry>, gateways: usize, seed: u64) -> Self {
        let entries: BTreeMap<u32, Entry> = entries.into_iter().map(|e| (e.host, e)).collect();
        let reader = Reader { rev: 1, subscribed: !spec.ask, had: entries.clone(), ..Reader::default() };
        Discovery {
            rng: stream(seed, Purpose::Discovery, 0),
            rev: 1,
            changes: VecDeque::new(),
            learnt: BTreeMap::new(),
            readers: vec![reader; gateways],
            free: vec![0; spec.capacity as usize],
            down: false,
            stale: None,
            entries,
            spec,
        }
    }

    /// It learns of a change.
    pub fn learn(&mut self, now: Us, entry: Entry) {
        if let Some(missed) = &mut self.stale {
            missed.push(entry);
            return;
        }
        self.rev += 1;
        match entry.state {
            State::Gone => {
                self.entries.remove(&entry.host);
            }
            _ => {
                self.entries.insert(entry.host, entry);
            }
        }
        if entry.state == State::Serving {
            self.learnt.remove(&entry.host);
        } else {
            self.learnt.entry(entry.host).or_insert(now);
        }
        self.changes.push_back((self.rev, entry));
        while self.changes.len() > self.spec.history as usize {
            self.changes.pop_front();
        }
    }

    /// It stops learning, or catches up.
    pub fn set_stale(&mut self, now: Us, stale: bool) {
        if stale {
            self.stale.get_or_insert_with(Vec::new);
        } else if let Some(missed) = self.stale.take() {
            missed.into_iter().for_each(|entry| self.learn(now, entry));
        }
    }

    /// It goes down, which ends all subscriptions, or comes back and has forgotten its changes.
    pub fn set_down(&mut self, now: Us, down: bool, out: &mut Vec<Delivery>) {
        self.down = down;
        if !down {
            self.changes.clear();
            return;
        }
        for gateway in 0..self.readers.len() {
            if self.readers[gateway].subscribed {
                self.readers[gateway].subscribed = false;
                out.push(self.delivery(gateway, now, true));
            }
        }
    }

    fn delivery(&mut self, gateway: usize, at: Us, lost: bool) -> Delivery {
        let reader = &mut self.readers[gateway];
        reader.last_at = reader.last_at.max(at);
        Delivery { at: reader.last_at, gateway, lost, rev: self.rev }
    }

    /// A gateway asks to be told of changes from now on.
    pub fn call(&mut self, now: Us, gateway: usize) -> Delivery {
        let fail_at = now + us(self.spec.timeout_ms);
        let place = (0..self.free.len()).min_by_key(|n| self.free[*n]).unwrap_or(0);
        let start = self.free[place].max(now);
        let failed = self.down || start > fail_at;
        self.readers[gateway].asked = Some((now, failed));
        if failed {
            let at = if self.down { now + 1000 } else { fail_at };
            return self.delivery(gateway, at, true);
        }
        let end = start + us(self.spec.call_ms);
        self.free[place] = end;
        self.readers[gateway].subscribed = true;
        self.delivery(gateway, end, false)
    }

    /// The regular round: who has asked will be told what is new.
    pub fn round(&mut self, now: Us, out: &mut Vec<Delivery>) {
        if self.down {
            return;
        }
        for gateway in 0..self.readers.len() {
            let late = us(self.spec.spread_ms * self.rng.random::<f64>());
            if self.readers[gateway].subscribed && self.readers[gateway].rev < self.rev {
                out.push(self.delivery(gateway, now + late, false));
            }
        }
    }

    /// What a delivery holds, at its time; the gateway has it from then on.
    pub fn take(&mut self, delivery: &Delivery) -> List {
        let reader = &mut self.readers[delivery.gateway];
        let oldest = self.changes.front().map_or(self.rev, |c| c.0 - 1);
        let whole = reader.rev < oldest && reader.rev < self.rev;
        let entries: Vec<Entry> = if whole {
            reader.had = self.entries.clone();
            self.entries.values().copied().collect()
        } else {
            let from = self.changes.partition_point(|c| c.0 <= reader.rev);
            let mut last: BTreeMap<u32, Entry> = BTreeMap::new();
            last.extend(self.changes.range(from..).map(|c| (c.1.host, c.1)));
            for entry in last.values() {
                match entry.state {
                    State::Gone => reader.had.remove(&entry.host),
                    _ => reader.had.insert(entry.host, *entry),
                };
            }
            last.into_values().collect()
        };
        reader.rev = self.rev;
        List { whole, entries }
    }

    /// A gateway starts anew: it has asked for nothing yet. The list as it last had it.
    pub fn warm_copy(&mut self, now: Us, gateway: usize) -> Vec<Entry> {
        let reader = &mut self.readers[gateway];
        reader.subscribed = !self.spec.ask;
        reader.asked = Some((now, false));
        reader.had.values().copied().collect()
    }

    /// A gateway that hears nothing counts as told, once it has not asked for long, of what was listed that long
    /// ago: since when of this host's drain or end, if it does.
    pub fn counts_as_told(&self, gateway: usize, host: u32, ask_within: Us) -> Option<Us> {
        let reader = &self.readers[gateway];
        let learnt = *self.learnt.get(&host)?;
        let (asked, failed) = reader.asked.unwrap_or((0, false));
        let within = if failed { 4 * ask_within } else { ask_within };
        (!reader.subscribed).then_some(learnt.max(asked) + within)
    }
}
