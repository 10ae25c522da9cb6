//! The set of complete scopes that the follower reports to its lessor, and the changes of that set.
use crate::scope::Scope;
use crate::wire::Subscription;
use std::collections::BTreeMap;

/// Changes of the set of complete scopes since the lessor last confirmed the set. In the maps, true stands for
/// a scope that has become complete, and false for a scope that is no longer complete.
#[derive(Clone, Debug)]
pub(super) struct SubscriptionState {
    /// The number of the current set, which counts up with every change that is sent.
    generation: u64,
    /// The generation that the lessor has confirmed; `None` if the lessor may not know the set.
    confirmed: Option<u64>,
    /// The changes since `confirmed` that the last poll carried.
    sent: BTreeMap<Scope, bool>,
    /// The changes since the last poll.
    unsent: BTreeMap<Scope, bool>,
}

impl SubscriptionState {
    pub fn new() -> Self {
        SubscriptionState { generation: 1, confirmed: None, sent: BTreeMap::new(), unsent: BTreeMap::new() }
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the current lessor has confirmed any generation.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    pub fn record(&mut self, scope: Scope, is_complete: bool) {
        self.unsent.insert(scope, is_complete);
    }

    /// Moves all changes so far into the next poll, as a new generation if there are any unsent changes.
    pub fn begin_poll(&mut self) {
        if !self.unsent.is_empty() {
            self.generation += 1;
            self.sent.append(&mut self.unsent);
        }
    }

    /// Records that the lessor has confirmed the generation of the last poll.
    pub fn confirm(&mut self, generation: u64) {
        self.confirmed = Some(generation);
        self.sent.clear();
    }

    /// Makes the next poll carry the complete set, because the lessor is another one or does not know the set.
    pub fn reset(&mut self) {
        self.confirmed = None;
    }

    /// Returns the message for the lessor; `complete` has to contain all complete scopes.
    pub fn message<'a>(&self, complete: impl Iterator<Item = &'a Scope>) -> Subscription {
        let generation = self.generation;
        match self.confirmed {
            Some(confirmed) if confirmed == generation => Subscription::Unchanged { generation },
            Some(from) => {
                let changed_to = |is_complete: bool| {
                    let scopes = self.sent.iter().filter(move |change| *change.1 == is_complete);
                    scopes.map(|change| *change.0).collect()
                };
                Subscription::Delta { from, generation, added: changed_to(true), removed: changed_to(false) }
            }
            None => Subscription::Complete { generation, scopes: complete.copied().collect() },
        }
    }
}
