//! Who holds a descriptor, and who gives way: one budget for clients' and servers' connections.
//!
//! No I/O, clock or threads: [`listener`](crate::listener) and [`upstream`](crate::upstream) tell what happens and when, and
//! are told which connection to end. A limit on descriptors is a limit like others: what it must not do is to
//! shut out usual clients in favour of those that say nothing, say it slowly, or keep what they do not use.
use std::collections::{BTreeSet, HashMap};

/// A client's connection, as numbered by [`Budget::admit`].
pub type ClientId = u64;

/// Each side may have at least this part of the budget, whatever the other one wants.
const FLOOR: f64 = 0.25;
/// Of the budget so much stays free for servers' next connections before clients get it.
const HEADROOM: f64 = 0.125;
/// A usual client's request follows its connection at once: one that is silent for longer goes first.
const SILENT_MS: f64 = 250.0;
/// A usual request arrives in one piece: one that takes longer gives way where descriptors are short.
const SLOW_MS: f64 = 500.0;
/// New connections, or half-read requests, may hold this part of the clients' descriptors before the oldest of them gives
/// way to another: beyond it a flood pushes out itself, and not the connections that usual clients keep.
const CROWD_PART: f64 = 0.5;

/// So much of the budget may stand idle at clients' side. Clients that ask once and keep their connection are many: they
/// leave others none long before the gateway's own descriptors are short (incident rfd526e).
const IDLE_PART: f64 = 0.125;
/// Yet nobody is ended who has been idle for less: its next request may be on its way.
const IDLE_LEAST_MS: f64 = 100.0;

/// What a client's connection does, from its accept on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doing {
    /// It has brought nothing yet.
    New,
    /// A request has begun and is not whole.
    Reading,
    /// A request is open, or its answer is being written.
    Open,
    /// It waits for its next request.
    Idle,
}

/// What becomes of a connection that wants in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a descriptor.
    Taken(ClientId),
    /// It has the descriptor of another one, which is to be ended.
    InPlaceOf(ClientId, ClientId),
    /// There is no descriptor, and none that would give way.
    Full,
}

/// Who holds a descriptor. Times are milliseconds on any clock that only moves forward.
#[derive(Debug)]
pub struct Budget {
    budget: usize,
    servers: usize,
    last: u64,
    doing: HashMap<ClientId, (Doing, u64)>, // And since when, in microseconds.
    order: BTreeSet<(Doing, u64, ClientId)>,
    counts: [usize; 4],
}

fn micros(now: f64) -> u64 {
    (now.max(0.0) * 1000.0) as u64
}

impl Budget {
    /// Room for so many connections of clients and servers together.
    pub fn new(budget: usize) -> Self {
        Budget { budget, servers: 0, last: 0, doing: HashMap::new(), order: BTreeSet::new(), counts: [0; 4] }
    }

    fn part(&self, part: f64) -> usize {
        (self.budget as f64 * part) as usize
    }

    /// How many clients may hold a descriptor now.
    pub fn clients_most(&self) -> usize {
        let kept = (self.servers + self.part(HEADROOM)).max(self.part(FLOOR));
        self.budget.saturating_sub(kept).max(self.part(FLOOR)).max(1)
    }

    /// How many clients hold one.
    pub fn clients(&self) -> usize {
        self.doing.len()
    }

    /// How many of them do this.
    pub fn count(&self, doing: Doing) -> usize {
        self.counts[doing as usize]
    }

    /// The one that has done this for longest, if that is at least `ms`.
    fn longest(&self, doing: Doing, now: f64, ms: f64) -> Option<ClientId> {
        let first = self.order.range((doing, 0, 0)..).next().filter(|o| o.0 == doing)?;
        (first.1 + micros(ms) <= micros(now)).then_some(first.2)
    }

    /// Who gives way to a new connection, if anybody does.
    fn giving_way(&self, now: f64) -> Option<ClientId> {
        let crowd = |doing: Doing| self.count(doing) as f64 >= CROWD_PART * self.clients_most() as f64;
        let from_crowd = |doing| if crowd(doing) { self.longest(doing, now, 0.0) } else { None };
        let more =
            if self.count(Doing::New) > self.count(Doing::Reading) { Doing::New } else { Doing::Reading };
        self.longest(Doing::New, now, SILENT_MS)
            .or_else(|| self.longest(Doing::Reading, now, SLOW_MS))
            .or_else(|| from_crowd(Doing::New))
            .or_else(|| from_crowd(Doing::Reading))
            .or_else(|| self.longest(Doing::Idle, now, 0.0))
            .or_else(|| self.longest(more, now, 0.0))
    }

    /// A client has connected.
    pub fn admit(&mut self, now: f64) -> Admission {
        if self.clients() < self.clients_most() {
            return Admission::Taken(self.enter(now));
        }
        match self.giving_way(now) {
            Some(other) => {
                self.leave(other);
                Admission::InPlaceOf(self.enter(now), other)
            }
            None => Admission::Full,
        }
    }

    fn enter(&mut self, now: f64) -> ClientId {
        self.last += 1;
        let id = self.last;
        self.insert(id, Doing::New, micros(now));
        id
    }

    fn insert(&mut self, id: ClientId, doing: Doing, since: u64) {
        self.doing.insert(id, (doing, since));
        self.order.insert((doing, since, id));
        self.counts[doing as usize] += 1;
    }

    /// A connection does something else from now on. One that has given way meanwhile is not known any more.
    pub fn does(&mut self, id: ClientId, doing: Doing, now: f64) {
        if self.leave(id) {
            self.insert(id, doing, micros(now));
        }
    }

    /// The one that has been idle for longest, where more are than may be: it gives way.
    pub fn surplus(&mut self, now: f64) -> Option<ClientId> {
        if self.count(Doing::Idle) <= self.part(IDLE_PART).max(1) {
            return None;
        }
        let other = self.longest(Doing::Idle, now, IDLE_LEAST_MS)?;
        self.leave(other);
        Some(other)
    }

    /// A connection has ended; false if it had given way before.
    pub fn leave(&mut self, id: ClientId) -> bool {
        let Some((doing, since)) = self.doing.remove(&id) else { return false };
        self.order.remove(&(doing, since, id));
        self.counts[doing as usize] -= 1;
        true
    }

    /// Whether one more connection to a server may be opened: where the whole budget has room, and up to the servers'
    /// floor in any case.
    pub fn has_room_for_server(&self) -> bool {
        self.servers + self.clients() < self.budget || self.servers < self.part(FLOOR)
    }

    /// Counts one more connection to a server, if there may be one.
    pub fn open_server(&mut self) -> bool {
        let room = self.has_room_for_server();
        self.servers += usize::from(room);
        room
    }

    /// Counts a connection to a server that comes in place of another one.
    pub fn replace_server(&mut self) {
        self.servers += 1;
    }

    /// A connection to a server has ended.
    pub fn close_server(&mut self) {
        self.servers = self.servers.saturating_sub(1);
    }

    /// A client's connection that gives way to something else than a client: one that is silent, slow or idle,
    /// never one with an open request.
    pub fn make_room(&mut self, now: f64) -> Option<ClientId> {
        let other = self
            .longest(Doing::New, now, SILENT_MS)
            .or_else(|| self.longest(Doing::Reading, now, SLOW_MS))
            .or_else(|| self.longest(Doing::Idle, now, 0.0))?;
        self.leave(other);
        Some(other)
    }
}
