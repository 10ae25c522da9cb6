//! Which scopes are complete, as far as the lessor has been told.
use crate::scope::Scope;
use crate::wire::Subscription;
use std::collections::BTreeMap;

/// Changes of the set of complete scopes since the lessor last confirmed it. In the maps, true stands for a scope that has
/// become complete and false for one that is complete no longer.
#[derive(Clone, Debug)]
pub(super) struct SubscriptionState {
    generation: u64,
    /// The generation that the lessor has confirmed.
    confirmed: Option<u64>,
    /// Changes since `confirmed` that the last poll carried.
    sent: BTreeMap<Scope, bool>,
    /// Changes since the last poll.
    unsent: BTreeMap<Scope, bool>,
}

impl SubscriptionState {
    pub fn new() -> Self {
        SubscriptionState { generation: 1, confirmed: None, sent: BTreeMap::new(), unsent: BTreeMap::new() }
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether a lessor has confirmed any generation.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    pub fn record(&mut self, scope: Scope, is_complete: bool) {
        self.unsent.insert(scope, is_complete);
    }

    /// The next poll carries all changes so far, as a new generation if there are new ones.
    pub fn begin_poll(&mut self) {
        if !self.unsent.is_empty() {
            self.generation += 1;
            self.sent.append(&mut self.unsent);
        }
    }

    /// The lessor has confirmed the generation of the last poll.
    pub fn confirm(&mut self, generation: u64) {
        self.confirmed = Some(generation);
        self.sent.clear();
    }

    /// The next poll carries the complete set: its lessor is another, or does not know the set.
    pub fn reset(&mut self) {
        self.confirmed = None;
    }

    /// The message for the lessor; `complete` are all complete scopes.
    pub fn message<'a>(&self, complete: impl Iterator<Item = &'a Scope>) -> Subscription {
        let generation = self.generation;
        match self.confirmed {
            Some(confirmed) if confirmed == generation => Subscription::Unchanged { generation },
            Some(from) => {
                let with = |is_complete: bool| {
                    let scopes = self.sent.iter().filter(move |change| *change.1 == is_complete);
                    scopes.map(|change| *change.0).collect()
                };
                Subscription::Delta { from, generation, added: with(true), removed: with(false) }
            }
            None => Subscription::Complete { generation, scopes: complete.copied().collect() },
        }
    }
}
