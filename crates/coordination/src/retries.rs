//! Bounds on retries: tokens that a request carries along its call chain, and a ratio at each node.
//!
//! Tokens are divided between child calls, never copied, so the retries of one request are bounded
//! over the whole chain. The ratio follows the retry budget of "The Site Reliability Workbook"
//! and of Finagle: retries are a bounded share of calls.

use lagoonshore_state::units::TokenCount;

/// Retries that a budget may save up, so that a quiet node can still retry.
const BUDGET_CAP_RETRIES: f64 = 10.0;

/// `TokenPurse` holds the retry tokens of one request at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenPurse {
    tokens: u32,
}

impl TokenPurse {
    /// Creates a purse with the tokens that came with the request.
    #[must_use]
    pub const fn new(tokens: TokenCount) -> Self {
        Self { tokens: tokens.0 }
    }

    /// Tokens left.
    #[must_use]
    pub const fn balance(self) -> TokenCount {
        TokenCount(self.tokens)
    }

    /// Spends one token; `false` if none is left.
    pub const fn spend(&mut self) -> bool {
        let has_token = self.tokens > 0;
        self.tokens = self.tokens.saturating_sub(1);
        has_token
    }

    /// Takes half of the tokens, rounded down, for a child call.
    pub const fn split(&mut self) -> TokenCount {
        let share = self.tokens / 2;
        self.tokens -= share;
        TokenCount(share)
    }

    /// Puts back what a child call did not spend; `granted` is what it was given at most.
    pub fn put_back(&mut self, unspent: TokenCount, granted: TokenCount) {
        self.tokens += unspent.0.min(granted.0);
    }
}

/// `RetryBudget` keeps the retries of a node below a share of its calls.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: BUDGET_CAP_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a first try; `ratio` is the allowed share of retries.
    pub fn record_call(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(BUDGET_CAP_RETRIES);
    }

    /// Takes one retry out of the budget; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let has_retry = self.saved >= 1.0;
        if has_retry {
            self.saved -= 1.0;
        }
        has_retry
    }

    /// Retries that the budget allows now.
    #[must_use]
    pub const fn saved(&self) -> f64 {
        self.saved
    }
}
