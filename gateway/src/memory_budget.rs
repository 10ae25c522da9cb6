//! The memory budget: how many bytes the gateway may hold for its peers, and whose bytes are given up when
//! memory runs short.
//!
//! This module does no I/O and has no clock or threads. [`MemoryPlan`] divides the process's memory limit, and
//! [`MemoryBudget`] counts the bytes of holders: incomplete requests, requests and responses that the gateway
//! has taken on, and responses that a client does not read. [`memory`](crate::memory) applies the decisions.
//!
//! Bytes are reserved before they are allocated. If a reservation does not fit, the holder of the most bytes
//! of unfinished work is evicted, and the reservation waits until those bytes have been released. Work that
//! the gateway has taken on is never evicted, and its reservations are served first.
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The memory that the process needs without any peers: code, runtime, settings and the log's queue.
const BASE_BYTES: u64 = 8 << 20;
/// The memory of one connection with a message of at most [`SMALL_MESSAGE_BYTES`]: its task, its buffers and
/// its entries in tables.
const CONNECTION_BYTES: u64 = 8 << 10;
/// A message up to this size is covered by [`CONNECTION_BYTES`] and reserves nothing.
pub const SMALL_MESSAGE_BYTES: usize = 6 << 10;
/// The largest share of the memory beyond [`BASE_BYTES`] that connections may take with small messages alone.
const MAX_CONNECTION_SHARE: f64 = 0.5;
/// The share of the remaining memory that holders may reserve. The allocator needs the rest, because freed
/// memory is not always reusable for another size.
const RESERVABLE_SHARE: f64 = 0.75;
/// The largest share of the memory limit that holders may reserve.
const MAX_RESERVABLE_SHARE: f64 = 0.5;
/// The share of the reservable bytes up to which incomplete requests may grow. The rest is kept for responses,
/// so that requests which have been taken on do not wait for each other.
const MAX_INCOMPLETE_SHARE: f64 = 0.75;
/// The share of the reservable bytes up to which requests behind open ones may grow. They are served only
/// after the open ones, and can be rejected at any time.
const MAX_READ_AHEAD_SHARE: f64 = 0.5;
/// A response is evicted only if the client has not read it for this long.
const MIN_UNREAD_MS: f64 = 500.0;

/// The division of the process's memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The number of client and upstream connections whose small messages fit into the memory.
    pub max_connections: usize,
    /// The number of bytes that holders may reserve together.
    pub reservable_bytes: usize,
}

impl MemoryPlan {
    /// Divides `limit_bytes` of memory between at most `connection_count` connections and the reservations of
    /// larger messages.
    pub fn new(limit_bytes: u64, connection_count: usize) -> Self {
        let beyond_base = limit_bytes.saturating_sub(BASE_BYTES);
        let max_connections = share(beyond_base, MAX_CONNECTION_SHARE) / CONNECTION_BYTES;
        let max_connections = connection_count.min(usize::try_from(max_connections).unwrap_or(usize::MAX));
        let remaining = beyond_base.saturating_sub(max_connections as u64 * CONNECTION_BYTES);
        let reservable = share(remaining, RESERVABLE_SHARE).min(share(limit_bytes, MAX_RESERVABLE_SHARE));
        let reservable_bytes = usize::try_from(reservable).unwrap_or(usize::MAX);
        MemoryPlan { max_connections, reservable_bytes }
    }
}

fn share(bytes: u64, ratio: f64) -> u64 {
    (bytes as f64 * ratio) as u64
}

/// The number of a holder, assigned by [`MemoryBudget::open`].
pub type HolderId = u64;

/// What a holder's bytes are needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Requests that a client has sent behind its open request.
    ReadAhead,
    /// A request that its client has not sent completely.
    IncompleteRequest,
    /// A request or a response that the gateway has taken on, or state of the gateway itself.
    Accepted,
    /// A response that its client has not read completely.
    UnreadResponse,
}

/// The decision on a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The reservation waits until other holders have released enough bytes.
    Waiting {
        /// A holder to evict, if bytes that are being released do not suffice.
        evicted: Option<HolderId>,
    },
    /// The bytes cannot be reserved. The holder must end its unfinished work.
    Denied,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    work: Work,
    since_ms: f64,
    is_evicted: bool,
    /// The number of bytes in total for which the holder waits; `None` without a waiting reservation.
    waits_for: Option<usize>,
}

impl Holder {
    /// Returns the number of bytes by which the holder waits to grow.
    fn missing_bytes(&self) -> usize {
        self.waits_for.map_or(0, |bytes| bytes.saturating_sub(self.bytes))
    }
}

/// Holders with waiting reservations, in the order of their requests.
#[derive(Debug, Default)]
struct WaitingQueue {
    ids: VecDeque<HolderId>,
    missing_bytes: usize,
}

/// The memory budget. All times are milliseconds on one clock that never goes back.
#[derive(Debug)]
pub struct MemoryBudget {
    reservable_bytes: usize,
    reserved_bytes: usize,
    /// The bytes of evicted holders, which will be released soon.
    evicted_bytes: usize,
    last_id: HolderId,
    holders: HashMap<HolderId, Holder>,
    /// The holders of requests behind open ones that have not been evicted, by size.
    read_ahead_by_size: BTreeSet<(usize, HolderId)>,
    /// The holders of incomplete requests that have not been evicted, by size.
    incomplete_by_size: BTreeSet<(usize, HolderId)>,
    /// The holders of unread responses that have not been evicted, by size.
    unread_by_size: BTreeSet<(usize, HolderId)>,
    /// The waiting reservations for accepted work, which are served first.
    waiting_accepted: WaitingQueue,
    /// The waiting reservations for incomplete requests.
    waiting_incomplete: WaitingQueue,
}

impl MemoryBudget {
    /// Returns a budget in which holders may reserve `reservable_bytes` together.
    pub fn new(reservable_bytes: usize) -> Self {
        MemoryBudget {
            reservable_bytes,
            reserved_bytes: 0,
            evicted_bytes: 0,
            last_id: 0,
            holders: HashMap::new(),
            read_ahead_by_size: BTreeSet::new(),
            incomplete_by_size: BTreeSet::new(),
            unread_by_size: BTreeSet::new(),
            waiting_accepted: WaitingQueue::default(),
            waiting_incomplete: WaitingQueue::default(),
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Returns the number of bytes that a holder has reserved.
    pub fn bytes_of(&self, id: HolderId) -> usize {
        self.holders.get(&id).map_or(0, |holder| holder.bytes)
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, work: Work, now_ms: f64) -> HolderId {
        self.last_id += 1;
        let id = self.last_id;
        self.holders
            .insert(id, Holder { bytes: 0, work, since_ms: now_ms, is_evicted: false, waits_for: None });
        self.index(id);
        id
    }

    /// Requests that the holder's bytes grow to `bytes` in total. A waiting reservation is granted by
    /// [`MemoryBudget::next_granted`]. A holder has at most one waiting reservation.
    pub fn reserve(&mut self, id: HolderId, bytes: usize, now_ms: f64) -> Reservation {
        let Some(holder) = self.holders.get(&id).copied() else { return Reservation::Denied };
        if holder.is_evicted || bytes > self.limit_bytes(holder.work) {
            return Reservation::Denied;
        }
        if bytes <= holder.bytes {
            return Reservation::Granted;
        }
        let is_first_in_line = self.waiting_accepted.ids.is_empty()
            && (holder.work != Work::IncompleteRequest || self.waiting_incomplete.ids.is_empty());
        if is_first_in_line && self.fits(bytes - holder.bytes, holder.work) {
            self.set_bytes(id, bytes);
            return Reservation::Granted;
        }
        self.wait_or_deny(id, holder, bytes, now_ms)
    }

    /// Requests that the bytes of a holder of [`Work::ReadAhead`] grow to `bytes` in total. Such a reservation
    /// evicts no other holder and does not wait. Returns whether the bytes are reserved.
    pub fn try_reserve(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get(&id).copied() else { return false };
        if holder.is_evicted {
            return false;
        }
        let added_bytes = bytes.saturating_sub(holder.bytes);
        let is_granted =
            added_bytes == 0 || (self.has_no_waiting() && self.fits(added_bytes, Work::ReadAhead));
        if is_granted {
            self.set_bytes(id, bytes);
        }
        is_granted
    }

    fn has_no_waiting(&self) -> bool {
        self.waiting_accepted.ids.is_empty() && self.waiting_incomplete.ids.is_empty()
    }

    /// Evicts the largest holder of [`Work::ReadAhead`] if the reservation of `bytes` in total by the holder `id`
    /// needs its bytes. Returns the evicted holder.
    pub fn evict_read_ahead_for(&mut self, id: HolderId, bytes: usize) -> Option<HolderId> {
        let holder = self.holders.get(&id)?;
        let added_bytes = bytes.saturating_sub(holder.bytes);
        let is_denied = holder.is_evicted || bytes > self.limit_bytes(holder.work);
        if added_bytes == 0 || is_denied || self.is_freed_soon(added_bytes, holder.work) {
            return None;
        }
        let (_, victim) = *self.read_ahead_by_size.iter().next_back().filter(|(bytes, _)| *bytes > 0)?;
        self.evict(victim);
        Some(victim)
    }

    fn wait_or_deny(&mut self, id: HolderId, holder: Holder, bytes: usize, now_ms: f64) -> Reservation {
        let is_freed_soon = self.is_freed_soon(bytes - holder.bytes, holder.work);
        let victim = if is_freed_soon { None } else { self.victim(now_ms) };
        let is_largest = victim.is_none_or(|victim| self.bytes_of(victim) <= bytes);
        if holder.work == Work::IncompleteRequest && !is_freed_soon && is_largest {
            return Reservation::Denied;
        }
        if let Some(victim) = victim {
            self.evict(victim);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waits_for = Some(bytes);
        }
        let queue = self.queue(holder.work);
        queue.ids.push_back(id);
        queue.missing_bytes += bytes - holder.bytes;
        Reservation::Waiting { evicted: victim }
    }

    fn queue(&mut self, work: Work) -> &mut WaitingQueue {
        match work {
            Work::IncompleteRequest => &mut self.waiting_incomplete,
            Work::Accepted | Work::UnreadResponse | Work::ReadAhead => &mut self.waiting_accepted,
        }
    }

    /// Returns the number of bytes up to which reservations for `work` are granted.
    fn limit_bytes(&self, work: Work) -> usize {
        let share = |ratio| (self.reservable_bytes as f64 * ratio) as usize;
        match work {
            Work::ReadAhead => share(MAX_READ_AHEAD_SHARE),
            Work::IncompleteRequest => share(MAX_INCOMPLETE_SHARE),
            Work::Accepted | Work::UnreadResponse => self.reservable_bytes,
        }
    }

    /// Returns whether `bytes` more for `work` fit beside the waiting reservations once the evicted holders have
    /// released their bytes.
    fn is_freed_soon(&self, bytes: usize, work: Work) -> bool {
        let waiting_bytes = self.waiting_accepted.missing_bytes + self.waiting_incomplete.missing_bytes;
        self.reserved_bytes + waiting_bytes + bytes <= self.limit_bytes(work) + self.evicted_bytes
    }

    /// Returns a holder to evict: the one with the largest incomplete request, or else the one with the
    /// largest response that its client has not read for a while.
    fn victim(&self, now_ms: f64) -> Option<HolderId> {
        let is_unread = |id: &HolderId| {
            self.holders.get(id).is_some_and(|holder| now_ms - holder.since_ms >= MIN_UNREAD_MS)
        };
        let incomplete = self.incomplete_by_size.iter().next_back().filter(|(bytes, _)| *bytes > 0);
        let unread = || self.unread_by_size.iter().rev().find(|(bytes, id)| *bytes > 0 && is_unread(id));
        incomplete.or_else(unread).map(|(_, id)| *id)
    }

    fn fits(&self, bytes: usize, work: Work) -> bool {
        self.reserved_bytes + bytes <= self.limit_bytes(work)
    }

    /// Evicts one more holder if the waiting reservations need more bytes than are being released. Returns the
    /// evicted holder.
    pub fn evict_for_waiting(&mut self, now_ms: f64) -> Option<HolderId> {
        let work =
            if self.waiting_incomplete.ids.is_empty() { Work::Accepted } else { Work::IncompleteRequest };
        if self.is_freed_soon(0, work) {
            return None;
        }
        let victim = self.victim(now_ms)?;
        self.evict(victim);
        Some(victim)
    }

    /// Grants the next waiting reservation that fits. Returns its holder; `None` if none fits.
    pub fn next_granted(&mut self) -> Option<HolderId> {
        let accepted = self.waiting_accepted.ids.front();
        let id = *accepted.or_else(|| self.waiting_incomplete.ids.front())?;
        let holder = self.holders.get(&id)?;
        let bytes = holder.bytes + holder.missing_bytes();
        if !self.fits(holder.missing_bytes(), holder.work) {
            return None;
        }
        self.cancel_waiting(id);
        self.set_bytes(id, bytes);
        Some(id)
    }

    /// Withdraws the holder's waiting reservation, if it has one.
    pub fn cancel_waiting(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id).filter(|holder| holder.waits_for.is_some()) else {
            return;
        };
        let (work, missing_bytes) = (holder.work, holder.missing_bytes());
        holder.waits_for = None;
        let queue = self.queue(work);
        queue.missing_bytes -= missing_bytes;
        queue.ids.retain(|waiting| *waiting != id);
    }

    /// Sets the holder's bytes without a reservation: to release bytes, or for state that the gateway cannot
    /// do without.
    pub fn set_bytes(&mut self, id: HolderId, bytes: usize) {
        self.cancel_waiting(id);
        self.unindex(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            self.reserved_bytes = self.reserved_bytes - holder.bytes + bytes;
            if holder.is_evicted {
                self.evicted_bytes = self.evicted_bytes - holder.bytes + bytes;
            }
            holder.bytes = bytes;
        }
        self.index(id);
    }

    /// Records that the holder's bytes are now needed for `work`. A holder that was evicted is not evicted any
    /// more if its request has been accepted meanwhile, because its bytes will not be released soon.
    pub fn set_work(&mut self, id: HolderId, work: Work, now_ms: f64) {
        self.cancel_waiting(id);
        self.unindex(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            if holder.is_evicted && work == Work::Accepted {
                holder.is_evicted = false;
                self.evicted_bytes -= holder.bytes;
            }
            (holder.work, holder.since_ms) = (work, now_ms);
        }
        self.index(id);
    }

    /// Removes a holder and releases its bytes.
    pub fn close(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.unindex(id);
        self.holders.remove(&id);
    }

    fn evict(&mut self, id: HolderId) {
        self.cancel_waiting(id);
        self.unindex(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
            self.evicted_bytes += holder.bytes;
        }
    }

    fn index(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get(&id).filter(|holder| !holder.is_evicted) else { return };
        match holder.work {
            Work::ReadAhead => drop(self.read_ahead_by_size.insert((holder.bytes, id))),
            Work::IncompleteRequest => drop(self.incomplete_by_size.insert((holder.bytes, id))),
            Work::UnreadResponse => drop(self.unread_by_size.insert((holder.bytes, id))),
            Work::Accepted => {}
        }
    }

    fn unindex(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get(&id) else { return };
        self.read_ahead_by_size.remove(&(holder.bytes, id));
        self.incomplete_by_size.remove(&(holder.bytes, id));
        self.unread_by_size.remove(&(holder.bytes, id));
    }
}
