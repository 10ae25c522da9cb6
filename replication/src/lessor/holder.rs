//! The state that a lessor keeps for each follower: complete scopes, lease, and byte budget.
use super::scope_set::{ScopeIndex, ScopeSet};
use crate::lease::MS_PER_S;
use crate::progress::Progress;
use crate::scope::Scope;
use crate::wire::{PollRequest, Subscription};

/// The scopes of which a follower has a complete copy.
#[derive(Clone, Debug)]
pub(super) enum CompleteScopes {
    All,
    Only(ScopeSet),
}

/// The first response that a follower has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unacknowledged {
    sequence: u64,
    /// When the response was sent, in ms.
    pub sent_at: f64,
}

/// The lessor's state of one follower. Times are in ms of the lessor's clock.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// The generation of the follower's subscription; 0 if the subscription is not known.
    pub generation: u64,
    pub complete: CompleteScopes,
    pub lease_until: f64,
    /// The progress that the follower has reported. A revision that was sent counts as known only after the
    /// follower has reported the revision.
    pub progress: Progress,
    pub polled_at: f64,
    /// The first response since the follower's last acknowledgement.
    unacknowledged: Option<Unacknowledged>,
    budget_bytes: f64,
}

impl Holder {
    /// Creates the state of a follower that polls for the first time. The state has an infinitely old response
    /// as unacknowledged, so that the follower gets no lease before it has acknowledged a response.
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

    /// Adds the bytes that have accrued since the last poll to the budget, which holds at most a burst.
    pub fn accrue(&mut self, now: f64, bytes_per_s: f64, burst_bytes: f64) {
        let accrued = bytes_per_s * (now - self.polled_at).max(0.0) / MS_PER_S;
        self.budget_bytes = (self.budget_bytes + accrued).min(burst_bytes);
        self.polled_at = self.polled_at.max(now);
    }

    /// Spends bytes of the budget. Pending revisions are sent even without budget, and again until the follower
    /// acknowledges them, so the debt is limited to a burst. Otherwise a follower that was unreachable for a
    /// while would get no chunks for too long.
    pub fn spend(&mut self, bytes: usize, burst_bytes: f64) {
        self.budget_bytes = (self.budget_bytes - bytes as f64).max(-burst_bytes);
    }

    /// Returns how many bytes a response may take after its request, at most `max_bytes`.
    pub fn available_bytes(&self, request_bytes: usize, max_bytes: usize) -> usize {
        (self.budget_bytes - request_bytes as f64).clamp(0.0, max_bytes as f64) as usize
    }

    /// Processes the acknowledgement in a request, and returns the first response that is not acknowledged,
    /// which may be the response to this request.
    pub fn acknowledge(&mut self, now: f64, request: &PollRequest) -> Unacknowledged {
        if self.unacknowledged.is_some_and(|first| request.acknowledged >= first.sequence) {
            self.unacknowledged = None;
        }
        *self.unacknowledged.get_or_insert(Unacknowledged { sequence: request.sequence, sent_at: now })
    }

    /// Returns whether the follower has a complete copy of a scope.
    pub fn has(&self, index: &ScopeIndex, scope: Scope) -> bool {
        match &self.complete {
            CompleteScopes::All => true,
            CompleteScopes::Only(scopes) => scopes.contains(index, scope),
        }
    }

    /// Updates the follower's complete scopes. Returns false if the update does not apply to the generation
    /// that the lessor knows.
    pub fn update_subscription(&mut self, index: &mut ScopeIndex, subscription: &Subscription) -> bool {
        match subscription {
            Subscription::Unchanged { generation } => return self.generation == *generation,
            Subscription::Delta { from, generation, added, removed } => {
                // The known generation may lie in between if the response to it was lost, because the delta
                // repeats all changes since `from`.
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
