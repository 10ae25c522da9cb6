//! Discovery: observes hosts with a delay, notifies subscribed gateways, handles a limited number of calls at
//! once, and keeps a limited history of changes.
use super::draw::{stream, Purpose};
use super::spec;
use super::{us, Us};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Readiness of a host as observed by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The host accepts new work.
    Serving,
    /// The host wants no new work.
    Draining,
    /// The host is not listed any more.
    Gone,
}

/// Entry of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Number of the host.
    pub host: u32,
    /// Number of the zone.
    pub zone: u32,
    /// Number of the cell.
    pub cell: u32,
    /// Listed weight of the host.
    pub weight: f64,
    /// Readiness of the host.
    pub state: State,
    /// Time of the host's last start; 0 if the host has run since before the start of the run.
    pub started: Us,
}

/// A scheduled response or notification to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Time of the delivery.
    pub at: Us,
    /// Index of the gateway.
    pub gateway: usize,
    /// Whether the call or the watch has failed, in which case nothing is delivered.
    pub lost: bool,
    /// Revision of the list when the delivery was scheduled.
    pub revision: u64,
}

/// Content of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Whether the entries are the complete list rather than a delta.
    pub complete: bool,
    /// Entries, by host number.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Default)]
struct Subscriber {
    revision: u64,
    subscribed: bool,
    /// Time of the last scheduled delivery; later deliveries must not overtake it.
    last_delivery_at: Us,
    last_call: Option<(Us, bool)>,
    delivered: BTreeMap<u32, Entry>,
}

/// State of the discovery service.
#[derive(Debug)]
pub struct Discovery {
    spec: spec::Discovery,
    rng: ChaCha8Rng,
    revision: u64,
    entries: BTreeMap<u32, Entry>,
    changes: VecDeque<(u64, Entry)>,
    /// Per drained or removed host, when discovery observed the drain or removal.
    unavailable_since: BTreeMap<u32, Us>,
    subscribers: Vec<Subscriber>,
    /// Per concurrent call, the time until which the slot is taken.
    slots_free_at: Vec<Us>,
    down: bool,
    /// Changes missed so far while discovery is stale.
    stale: Option<Vec<Entry>>,
}

impl Discovery {
    /// Creates a discovery that lists these hosts, and gateways that already have the list.
    pub fn new(spec: spec::Discovery, entries: Vec<Entry>, gateways: usize, seed: u64) -> Self {
        let entries: BTreeMap<u32, Entry> = entries.into_iter().map(|e| (e.host, e)).collect();
        let subscriber = Subscriber {
            revision: 1,
            subscribed: !spec.ask,
            delivered: entries.clone(),
            ..Subscriber::default()
        };
        Discovery {
            rng: stream(seed, Purpose::Discovery, 0),
            revision: 1,
            changes: VecDeque::new(),
            unavailable_since: BTreeMap::new(),
            subscribers: vec![subscriber; gateways],
            slots_free_at: vec![0; spec.capacity as usize],
            down: false,
            stale: None,
            entries,
            spec,
        }
    }

    /// Records an observed change of a host, or queues the change while discovery is stale.
    pub fn observe(&mut self, now: Us, entry: Entry) {
        if let Some(missed) = &mut self.stale {
            missed.push(entry);
            return;
        }
        self.revision += 1;
        match entry.state {
            State::Gone => {
                self.entries.remove(&entry.host);
            }
            _ => {
                self.entries.insert(entry.host, entry);
            }
        }
        if entry.state == State::Serving {
            self.unavailable_since.remove(&entry.host);
        } else {
            self.unavailable_since.entry(entry.host).or_insert(now);
        }
        self.changes.push_back((self.revision, entry));
        while self.changes.len() > self.spec.history as usize {
            self.changes.pop_front();
        }
    }

    /// Stops observing changes, or applies all missed changes.
    pub fn set_stale(&mut self, now: Us, stale: bool) {
        if stale {
            self.stale.get_or_insert_with(Vec::new);
        } else if let Some(missed) = self.stale.take() {
            missed.into_iter().for_each(|entry| self.observe(now, entry));
        }
    }

    /// Takes discovery down, which ends all subscriptions, or restores it without the history of changes.
    pub fn set_down(&mut self, now: Us, down: bool, out: &mut Vec<Delivery>) {
        self.down = down;
        if !down {
            self.changes.clear();
            return;
        }
        for gateway in 0..self.subscribers.len() {
            if self.subscribers[gateway].subscribed {
                self.subscribers[gateway].subscribed = false;
                out.push(self.delivery(gateway, now, true));
            }
        }
    }

    fn delivery(&mut self, gateway: usize, at: Us, lost: bool) -> Delivery {
        let subscriber = &mut self.subscribers[gateway];
        subscriber.last_delivery_at = subscriber.last_delivery_at.max(at);
        Delivery { at: subscriber.last_delivery_at, gateway, lost, revision: self.revision }
    }

    /// Handles a gateway's call for changes, which subscribes the gateway unless the call fails.
    pub fn call(&mut self, now: Us, gateway: usize) -> Delivery {
        let fail_at = now + us(self.spec.timeout_ms);
        let slot = (0..self.slots_free_at.len()).min_by_key(|n| self.slots_free_at[*n]).unwrap_or(0);
        let start = self.slots_free_at[slot].max(now);
        let failed = self.down || start > fail_at;
        self.subscribers[gateway].last_call = Some((now, failed));
        if failed {
            let at = if self.down { now + 1000 } else { fail_at };
            return self.delivery(gateway, at, true);
        }
        let end = start + us(self.spec.call_ms);
        self.slots_free_at[slot] = end;
        self.subscribers[gateway].subscribed = true;
        self.delivery(gateway, end, false)
    }

    /// Publishes the periodic update: schedules a delivery to each subscribed gateway that is behind.
    pub fn publish(&mut self, now: Us, out: &mut Vec<Delivery>) {
        if self.down {
            return;
        }
        for gateway in 0..self.subscribers.len() {
            let delay = us(self.spec.spread_ms * self.rng.random::<f64>());
            if self.subscribers[gateway].subscribed && self.subscribers[gateway].revision < self.revision {
                out.push(self.delivery(gateway, now + delay, false));
            }
        }
    }

    /// Returns the content of a delivery at its time, and records that the gateway has received it.
    pub fn receive(&mut self, delivery: &Delivery) -> EndpointList {
        let subscriber = &mut self.subscribers[delivery.gateway];
        let oldest = self.changes.front().map_or(self.revision, |c| c.0 - 1);
        let complete = subscriber.revision < oldest && subscriber.revision < self.revision;
        let entries: Vec<Entry> = if complete {
            subscriber.delivered = self.entries.clone();
            self.entries.values().copied().collect()
        } else {
            let from = self.changes.partition_point(|c| c.0 <= subscriber.revision);
            let mut last: BTreeMap<u32, Entry> = BTreeMap::new();
            last.extend(self.changes.range(from..).map(|c| (c.1.host, c.1)));
            for entry in last.values() {
                match entry.state {
                    State::Gone => subscriber.delivered.remove(&entry.host),
                    _ => subscriber.delivered.insert(entry.host, *entry),
                };
            }
            last.into_values().collect()
        };
        subscriber.revision = self.revision;
        EndpointList { complete, entries }
    }

    /// Returns the cached list of a gateway that restarts, and resets the gateway's subscription.
    pub fn cached_list(&mut self, now: Us, gateway: usize) -> Vec<Entry> {
        let subscriber = &mut self.subscribers[gateway];
        subscriber.subscribed = !self.spec.ask;
        subscriber.last_call = Some((now, false));
        subscriber.delivered.values().copied().collect()
    }

    /// Returns the time by which a gateway without a subscription is expected to have been notified of a
    /// host's drain or removal, because the gateway must repeat its call within `ask_within`, or within four
    /// times `ask_within` after a failed call. Returns `None` for a subscribed gateway or an available host.
    pub fn presumed_notified_at(&self, gateway: usize, host: u32, ask_within: Us) -> Option<Us> {
        let subscriber = &self.subscribers[gateway];
        let unavailable_since = *self.unavailable_since.get(&host)?;
        let (last_call, failed) = subscriber.last_call.unwrap_or((0, false));
        let within = if failed { 4 * ask_within } else { ask_within };
        (!subscriber.subscribed).then_some(unavailable_since.max(last_call) + within)
    }
}
