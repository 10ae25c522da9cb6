//! Sets of scopes as bits, for many followers that follow many scopes.
use crate::scope::Scope;
use std::collections::HashMap;

const WORD_BITS: usize = u64::BITS as usize;

/// Numbers every scope that any follower has, densely.
#[derive(Clone, Debug, Default)]
pub(super) struct ScopeIndex {
    by_scope: HashMap<Scope, usize>,
    scopes: Vec<Scope>,
}

impl ScopeIndex {
    /// The number of a scope, which gets one if it has none.
    fn number(&mut self, scope: Scope) -> usize {
        let scopes = &mut self.scopes;
        *self.by_scope.entry(scope).or_insert_with(|| {
            scopes.push(scope);
            scopes.len() - 1
        })
    }
}

/// A set of scopes by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct ScopeSet(Vec<u64>);

impl ScopeSet {
    /// Adds or removes a scope.
    pub fn set(&mut self, index: &mut ScopeIndex, scope: Scope, present: bool) {
        let number = index.number(scope);
        let (word_at, bit) = (number / WORD_BITS, number % WORD_BITS);
        if present && self.0.len() <= word_at {
            self.0.resize(word_at + 1, 0);
        }
        if let Some(word) = self.0.get_mut(word_at) {
            *word = *word & !(1 << bit) | u64::from(present) << bit;
        }
    }

    /// Whether a scope is in the set.
    pub fn contains(&self, index: &ScopeIndex, scope: Scope) -> bool {
        let Some(number) = index.by_scope.get(&scope) else { return false };
        self.0.get(number / WORD_BITS).is_some_and(|word| word >> (number % WORD_BITS) & 1 == 1)
    }

    /// All scopes of the set, in the order of their numbers.
    pub fn iter<'a>(&'a self, index: &'a ScopeIndex) -> impl Iterator<Item = Scope> + 'a {
        let numbers = self.0.iter().enumerate().flat_map(|(word_at, word)| {
            let word = *word;
            let bits = (0..WORD_BITS).filter(move |bit| word >> bit & 1 == 1);
            bits.map(move |bit| word_at * WORD_BITS + bit)
        });
        numbers.filter_map(|number| index.scopes.get(number)).copied()
    }
}
