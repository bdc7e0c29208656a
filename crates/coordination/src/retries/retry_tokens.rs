//! Retry tokens of one request at one node. They are divided between child calls, never copied,
//! so the repeats of one request are bounded over the whole chain.

use lagoonshore_state::units::TokenCount;
use std::{cell::RefCell, rc::Rc};

/// Tokens that a holder keeps for its own repeats while it has lent others.
const RESERVE_TOKENS: u32 = 1;

/// `RetryTokens` holds the retry tokens of one request at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTokens {
    tokens: u32,
    lent: u32,
}

impl RetryTokens {
    /// Creates a purse with the tokens that came with the request.
    #[must_use]
    pub const fn new(tokens: TokenCount) -> Self {
        Self {
            tokens: tokens.0,
            lent: 0,
        }
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

    /// Takes the tokens for one try of a child call: all but one, which stays for a repeat, a
    /// hedge or a sibling. The last token goes down to where it may be needed, unless others are
    /// lent already; what is not spent comes back with the answer.
    pub const fn grant(&mut self) -> TokenCount {
        let is_last = self.tokens == RESERVE_TOKENS && self.lent == 0;
        let share = if is_last {
            self.tokens
        } else {
            self.tokens.saturating_sub(RESERVE_TOKENS)
        };
        self.tokens -= share;
        self.lent += share;
        TokenCount(share)
    }

    /// Puts back what a try did not spend; `granted` is what it was given at most.
    pub fn return_unspent(&mut self, unspent: TokenCount, granted: TokenCount) {
        self.tokens += unspent.0.min(granted.0);
        self.lent = self.lent.saturating_sub(granted.0);
    }
}

/// `SharedTokens` is the purse of a request that all of its child calls take from. Once the
/// request has ended it stays empty: what comes back later is lost.
#[derive(Clone, Debug, Default)]
pub struct SharedTokens(Rc<RefCell<Option<RetryTokens>>>);

impl SharedTokens {
    /// Creates a purse with the tokens that came with the request.
    #[must_use]
    pub fn new(tokens: TokenCount) -> Self {
        Self(Rc::new(RefCell::new(Some(RetryTokens::new(tokens)))))
    }

    /// Ends the request; returns the tokens that are left.
    #[must_use]
    pub fn close(&self) -> TokenCount {
        let purse = self.0.borrow_mut().take();
        purse.unwrap_or_default().balance()
    }

    /// Tokens left.
    #[must_use]
    pub fn balance(&self) -> TokenCount {
        self.0.borrow().unwrap_or_default().balance()
    }

    /// Spends one token; `false` if none is left.
    #[must_use]
    pub fn spend(&self) -> bool {
        self.0.borrow_mut().as_mut().is_some_and(RetryTokens::spend)
    }

    /// Takes the tokens for one try of a child call, as [`RetryTokens::grant`] does.
    #[must_use]
    pub fn grant(&self) -> TokenCount {
        let mut purse = self.0.borrow_mut();
        purse.as_mut().map_or(TokenCount(0), RetryTokens::grant)
    }

    /// Puts back what a try did not spend; `granted` is what it was given at most.
    pub fn return_unspent(&self, unspent: TokenCount, granted: TokenCount) {
        if let Some(purse) = self.0.borrow_mut().as_mut() {
            purse.return_unspent(unspent, granted);
        }
    }
}
