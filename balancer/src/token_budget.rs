//! A token bucket that requests fill, and that retries and health checks draw on.

/// The rate at which a budget fills, and its size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRate {
    /// Tokens that each request deposits.
    pub tokens_per_request: f64,
    /// Largest number of tokens in the budget.
    pub burst: f64,
}

/// A token budget: each request deposits a fraction of a token, and each retry or health check withdraws
/// one token.
#[derive(Debug)]
pub(crate) struct TokenBudget {
    tokens: f64,
    rate: TokenRate,
}

impl TokenBudget {
    /// Creates a full budget.
    pub fn new(rate: TokenRate) -> Self {
        TokenBudget { tokens: rate.burst, rate }
    }

    /// Deposits the tokens of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.rate.tokens_per_request).min(self.rate.burst);
    }

    /// Returns whether at least one token is left.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Withdraws a token if one is left, and returns whether one was.
    pub fn withdraw(&mut self) -> bool {
        let has_token = self.has_token();
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
