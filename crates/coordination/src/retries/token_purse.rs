//! Retry tokens of one request at one node. They are divided between child calls, never copied,
//! so the repeats of one request are bounded over the whole chain.

use lagoonshore_state::units::TokenCount;

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

    /// Takes half of the tokens, rounded up, for a child call: the last token goes down to where
    /// it may be needed, and what is not spent comes back with the answer.
    pub const fn split(&mut self) -> TokenCount {
        let share = self.tokens.div_ceil(2);
        self.tokens -= share;
        TokenCount(share)
    }

    /// Takes all of the tokens for a call that the holder waits for and that has no siblings.
    pub const fn lend_all(&mut self) -> TokenCount {
        let share = self.tokens;
        self.tokens = 0;
        TokenCount(share)
    }

    /// Puts back what a child call did not spend; `granted` is what it was given at most.
    pub fn put_back(&mut self, unspent: TokenCount, granted: TokenCount) {
        self.tokens += unspent.0.min(granted.0);
    }
}
