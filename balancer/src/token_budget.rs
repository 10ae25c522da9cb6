//! A budget of tokens that requests deposit and extra work withdraws.

/// How fast a budget fills, and how far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRate {
    /// Tokens that each request deposits.
    pub tokens_per_request: f64,
    /// The most tokens that the budget holds.
    pub burst_count: f64,
}

/// A budget: each request deposits a fraction of a token, each piece of extra work withdraws one.
#[derive(Debug)]
pub(crate) struct TokenBudget {
    tokens_count: f64,
    rate: TokenRate,
}

impl TokenBudget {
    /// A full budget.
    pub fn new(rate: TokenRate) -> Self {
        TokenBudget { tokens_count: rate.burst_count, rate }
    }

    /// A request has arrived.
    pub fn deposit(&mut self) {
        self.tokens_count = (self.tokens_count + self.rate.tokens_per_request).min(self.rate.burst_count);
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
