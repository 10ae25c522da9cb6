//! What a lessor remembers of one follower: its complete scopes, its lease, and its budget of bytes.
use super::scope_set::{ScopeIndex, ScopeSet};
use crate::lease::MS_PER_S;
use crate::progress::Progress;
use crate::scope::Scope;
use crate::wire::{PollRequest, Subscription};

/// The scopes that a follower has completely.
#[derive(Clone, Debug)]
pub(super) enum CompleteScopes {
    All,
    Only(ScopeSet),
}

/// A response that the follower has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unacknowledged {
    sequence: u64,
    /// When the response was sent, in ms.
    pub sent_at: f64,
}

/// The state of one follower. Times are in ms of the lessor's clock.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// The generation of its subscription; 0 if it is not known.
    pub generation: u64,
    pub complete: CompleteScopes,
    pub lease_until: f64,
    /// What it reported. A revision that is being sent counts as known only once the follower says so.
    pub progress: Progress,
    pub polled_at: f64,
    /// The first response since its last acknowledgement.
    unacknowledged: Option<Unacknowledged>,
    budget_bytes: f64,
}

impl Holder {
    /// A follower that polls for the first time. It counts as not having acknowledged an infinitely old response, so that it
    /// gets no lease before it has acknowledged one.
    pub fn new(now: f64, budget_bytes: f64, sequence: u64) -> Self {
        Holder {
            generation: 0,
            complete: CompleteScopes::Only(ScopeSet::default()),
            lease_until: f64::NEG_INFINITY,
            progress: Progress::default(),
            polled_at: now,
            unacknowledged: Some(Unacknowledged { sequence, sent_at: f64::NEG_INFINITY }),
            budget_bytes,
        }
    }

    /// Adds what has accrued since the last poll, up to a burst.
    pub fn accrue(&mut self, now: f64, bytes_per_s: f64, burst_bytes: f64) {
        let accrued = bytes_per_s * (now - self.polled_at).max(0.0) / MS_PER_S;
        self.budget_bytes = (self.budget_bytes + accrued).min(burst_bytes);
        self.polled_at = self.polled_at.max(now);
    }

    /// Spends bytes. Pending revisions are sent whatever they cost, and again until they are acknowledged, so the debt is
    /// limited to a burst: a follower that was unreachable for a while soon gets chunks again.
    pub fn spend(&mut self, bytes: usize, burst_bytes: f64) {
        self.budget_bytes = (self.budget_bytes - bytes as f64).max(-burst_bytes);
    }

    /// What a response may take after its request, in bytes.
    pub fn available_bytes(&self, request_bytes: usize, max_bytes: usize) -> usize {
        (self.budget_bytes - request_bytes as f64).clamp(0.0, max_bytes as f64) as usize
    }

    /// Takes the acknowledgement in a request, and returns the first response that is not acknowledged, which may be the one
    /// to this request.
    pub fn acknowledge(&mut self, now: f64, request: &PollRequest) -> Unacknowledged {
        if self.unacknowledged.is_some_and(|first| request.acknowledged >= first.sequence) {
            self.unacknowledged = None;
        }
        *self.unacknowledged.get_or_insert(Unacknowledged { sequence: request.sequence, sent_at: now })
    }

    /// Whether it has a scope completely.
    pub fn has(&self, index: &ScopeIndex, scope: Scope) -> bool {
        match &self.complete {
            CompleteScopes::All => true,
            CompleteScopes::Only(scopes) => scopes.contains(index, scope),
        }
    }

    /// Updates its complete scopes. Returns false if the update does not follow from what is remembered.
    pub fn update_subscription(&mut self, index: &mut ScopeIndex, subscription: &Subscription) -> bool {
        match subscription {
            Subscription::Unchanged { generation } => return self.generation == *generation,
            Subscription::Delta { from, generation, added, removed } => {
                // A generation in between is one whose response was lost: the delta repeats all changes since `from`.
                let CompleteScopes::Only(scopes) = &mut self.complete else { return false };
                if self.generation == 0 || !(*from..=*generation).contains(&self.generation) {
                    return false;
                }
                added.iter().for_each(|scope| scopes.set(index, *scope, true));
                removed.iter().for_each(|scope| scopes.set(index, *scope, false));
                self.generation = *generation;
            }
            Subscription::Complete { generation, scopes } => {
                let mut complete = ScopeSet::default();
                scopes.iter().for_each(|scope| complete.set(index, *scope, true));
                (self.complete, self.generation) = (CompleteScopes::Only(complete), *generation);
            }
            Subscription::AllScopes { generation } => {
                (self.complete, self.generation) = (CompleteScopes::All, *generation);
            }
        }
        true
    }
}
