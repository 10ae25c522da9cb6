//! The responding side of the primary and of replicas: grants leases, and sends changes and chunks within a
//! byte budget.
//!
//! A lessor has no queue for any follower: each response is computed from the store and the request, and its
//! cost depends on how much has changed.
mod holder;
mod response;
mod scope_set;

use crate::lease::{LeaseConfig, MS_PER_S, US_PER_MS};
use crate::progress::Progress;
use crate::store::Store;
use crate::wire::{Member, PollRequest, PollResponse, Subscription};
use holder::Holder;
use response::{frame_bytes, ResponseBuilder, MAX_PART_BYTES};
use scope_set::ScopeIndex;
use std::collections::BTreeMap;

/// The time without a poll after which a follower is removed, as a multiple of the longer of two times: the
/// duration of a lease, and the time in which the byte budget of a follower fills.
const EXPIRY_MULTIPLIER: f64 = 2.0;

/// Answers the polls of followers. Times are in ms of the caller's clock.
#[derive(Clone, Debug)]
pub struct Lessor {
    config: LeaseConfig,
    /// The state of every known follower, including followers without a lease.
    followers: BTreeMap<Member, Holder>,
    index: ScopeIndex,
    last_expiry_at: f64,
}

impl Lessor {
    /// Creates a lessor that has not granted a lease.
    pub fn new(config: LeaseConfig, now: f64) -> Self {
        Lessor { config, followers: BTreeMap::new(), index: ScopeIndex::default(), last_expiry_at: now }
    }

    /// Returns the response to a poll that has arrived at `now`, from the content of `store`. The lease in the
    /// response lasts for at most `max_lease_ms`; 0 grants no lease.
    ///
    /// A lease ends no later than one lease duration after the first response that its holder has not
    /// acknowledged. A follower whose responses are lost on a link that is cut in one direction therefore
    /// delays the other members no longer than if the follower had died at that time. For the same reason the
    /// first response to a follower grants no lease, because the follower might move from lessor to lessor
    /// without receiving anything.
    pub fn handle_poll(
        &mut self, now: f64, store: &Store, max_lease_ms: f64, request: &PollRequest,
    ) -> PollResponse {
        self.expire(now);
        let config = self.config;
        let is_replica = matches!(request.subscription, Subscription::AllScopes { .. });
        let bytes_per_s = if is_replica { config.replica_bytes_per_s } else { config.bytes_per_s };
        let burst_bytes = bytes_per_s * config.burst_s;
        let request_bytes = frame_bytes(request);
        let new_holder = || Holder::new(now, burst_bytes, request.sequence);
        let holder = self.followers.entry(request.member.clone()).or_insert_with(new_holder);
        holder.accrue(now, bytes_per_s, burst_bytes);
        let first_unacknowledged = holder.acknowledge(now, request);
        let is_subscribed = holder.update_subscription(&mut self.index, &request.subscription);
        let response = empty_response(request, holder, store);
        if !is_subscribed {
            holder.spend(request_bytes + frame_bytes(&response), burst_bytes);
            return response;
        }
        let max_chunk_bytes = holder.available_bytes(request_bytes, MAX_PART_BYTES);
        let (mut response, has_all_pending) =
            fill_response(store, &self.index, holder, request, response, max_chunk_bytes);
        let latest_end = first_unacknowledged.sent_at + config.lease_ms;
        let lease_ms = config.lease_ms.min(max_lease_ms).min(latest_end - now);
        // A follower that was not sent all pending revisions must not count as knowing them.
        if has_all_pending && lease_ms > 0.0 {
            response.lease_us = (lease_ms * US_PER_MS) as u64;
            let held_ms = config.held_for_ms(response.lease_us as f64 / US_PER_MS);
            holder.lease_until = holder.lease_until.max(now + held_ms);
        }
        let reported = Progress { known: request.known, in_force: request.in_force };
        holder.progress = holder.progress.max(reported);
        holder.spend(request_bytes + frame_bytes(&response), burst_bytes);
        response
    }

    /// Removes followers that have not polled for so long that their leases have expired and their budgets are
    /// full.
    fn expire(&mut self, now: f64) {
        let config = &self.config;
        let idle_ms = config.max_held_ms().max(config.burst_s * MS_PER_S) * EXPIRY_MULTIPLIER;
        if now > self.last_expiry_at + idle_ms {
            self.last_expiry_at = now;
            self.followers.retain(|_, holder| holder.lease_until > now || now - holder.polled_at < idle_ms);
        }
    }

    /// Returns the lowest progress among all members whose leases last at `now`, or `None` if there are none.
    pub fn min_progress(&self, now: f64) -> Option<Progress> {
        self.holders(now).map(|(_, progress)| progress).reduce(Progress::min)
    }

    /// Returns the members whose leases last at `now`, with the progress that each has reported.
    pub fn holders(&self, now: f64) -> impl Iterator<Item = (&Member, Progress)> {
        let current = self.followers.iter().filter(move |(_, holder)| holder.lease_until > now);
        current.map(|(member, holder)| (member, holder.progress))
    }

    /// Returns the number of known followers, with or without a lease.
    pub fn follower_count(&self) -> usize {
        self.followers.len()
    }
}

/// Creates a response without a lease, chunks or pending revisions.
fn empty_response(request: &PollRequest, holder: &Holder, store: &Store) -> PollResponse {
    PollResponse {
        sequence: request.sequence,
        generation: holder.generation,
        lease_us: 0,
        in_force: store.in_force(),
        through: store.through(),
        chunks: Vec::new(),
        stale: Vec::new(),
        pending: Vec::new(),
    }
}

/// Adds changes, fetched chunks and pending revisions to a response. Returns the response, and whether it
/// contains all pending revisions.
fn fill_response(
    store: &Store, index: &ScopeIndex, holder: &Holder, request: &PollRequest, response: PollResponse,
    max_chunk_bytes: usize,
) -> (PollResponse, bool) {
    let fetched = request.fetch.iter().map(|(scope, _)| *scope).collect();
    let mut builder = ResponseBuilder {
        store,
        index,
        holder,
        request,
        fetched,
        max_chunk_bytes,
        used_chunk_bytes: 0,
        response,
    };
    builder.add_changes();
    builder.add_fetched();
    let has_all_pending = builder.add_pending();
    (builder.response, has_all_pending)
}
