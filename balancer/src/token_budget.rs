//! A budget of tokens that requests deposit and extra work withdraws.

/// A budget: each request deposits a fraction of a token, each piece of extra work withdraws one.
#[derive(Debug)]
pub(crate) struct TokenBudget {
    tokens_count: f64,
    deposit_count: f64,
    burst_count: f64,
}

impl TokenBudget {
    /// A full budget of `burst_count` tokens, to which each request adds `deposit_count`.
    pub fn new(deposit_count: f64, burst_count: f64) -> Self {
        TokenBudget { tokens_count: burst_count, deposit_count, burst_count }
    }

    /// A request has arrived.
    pub fn deposit(&mut self) {
        self.tokens_count = (self.tokens_count + self.deposit_count).min(self.burst_count);
    }

    /// Whether a token is left.
    pub fn has_token(&self) -> bool {
        self.tokens_count >= 1.0
    }

    /// Takes a token, if one is left; true if it did.
    pub fn withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.tokens_count -= 1.0;
        }
        has_token
    }
}
