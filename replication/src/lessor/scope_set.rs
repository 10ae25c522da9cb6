//! Sets of scopes as bit sets, because a lessor keeps one for each of many followers that follow many scopes.
use crate::scope::Scope;
use std::collections::HashMap;

const WORD_BITS: usize = u64::BITS as usize;

/// Dense numbers of all scopes that any follower has.
#[derive(Clone, Debug, Default)]
pub(super) struct ScopeIndex {
    by_scope: HashMap<Scope, usize>,
    scopes: Vec<Scope>,
}

impl ScopeIndex {
    /// Returns the number of a scope, and assigns the next number to an unknown scope.
    fn number(&mut self, scope: Scope) -> usize {
        let scopes = &mut self.scopes;
        *self.by_scope.entry(scope).or_insert_with(|| {
            scopes.push(scope);
            scopes.len() - 1
        })
    }
}

/// A set of scopes, with one bit per number of the [`ScopeIndex`].
#[derive(Clone, Debug, Default)]
pub(super) struct ScopeSet(Vec<u64>);

impl ScopeSet {
    /// Adds a scope if `present` is true, and removes the scope otherwise.
    pub fn set(&mut self, index: &mut ScopeIndex, scope: Scope, present: bool) {
        let number = index.number(scope);
        let (word_index, bit) = (number / WORD_BITS, number % WORD_BITS);
        if present && self.0.len() <= word_index {
            self.0.resize(word_index + 1, 0);
        }
        if let Some(word) = self.0.get_mut(word_index) {
            *word = *word & !(1 << bit) | u64::from(present) << bit;
        }
    }

    /// Returns whether a scope is in the set.
    pub fn contains(&self, index: &ScopeIndex, scope: Scope) -> bool {
        let Some(number) = index.by_scope.get(&scope) else { return false };
        self.0.get(number / WORD_BITS).is_some_and(|word| word >> (number % WORD_BITS) & 1 == 1)
    }

    /// Returns all scopes of the set, in the order of their numbers.
    pub fn iter<'a>(&'a self, index: &'a ScopeIndex) -> impl Iterator<Item = Scope> + 'a {
        let numbers = self.0.iter().enumerate().flat_map(|(word_index, word)| {
            let word = *word;
            let bits = (0..WORD_BITS).filter(move |bit| word >> bit & 1 == 1);
            bits.map(move |bit| word_index * WORD_BITS + bit)
        });
        numbers.filter_map(|number| index.scopes.get(number)).copied()
    }
}
