//! Retry tokens of one request at one node. They are divided among child calls, never copied, so
//! the retries of one request are limited over the whole call chain.

use lagoonshore_state::units::TokenCount;
use std::{cell::RefCell, rc::Rc};

/// Tokens that a holder keeps for its own retries while others are granted to child calls.
const RESERVE_TOKENS: u32 = 1;

/// `RetryTokens` holds the retry tokens of one request at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTokens {
    tokens: u32,
    granted_total: u32,
}

impl RetryTokens {
    /// Takes over the tokens that came with the request.
    #[must_use]
    pub const fn new(tokens: TokenCount) -> Self {
        Self {
            tokens: tokens.0,
            granted_total: 0,
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

    /// Grants tokens to one attempt of a child call: all but one, which is kept for a retry, a
    /// hedge or a sibling call. The last token is granted as well, since it may be needed further
    /// down the chain, unless others are granted already. Unspent tokens come back with the reply.
    pub const fn grant(&mut self) -> TokenCount {
        let is_last = self.tokens == RESERVE_TOKENS && self.granted_total == 0;
        let share = if is_last {
            self.tokens
        } else {
            self.tokens.saturating_sub(RESERVE_TOKENS)
        };
        self.tokens -= share;
        self.granted_total += share;
        TokenCount(share)
    }

    /// Returns the tokens that an attempt did not spend, up to the `granted` ones.
    pub fn return_unspent(&mut self, unspent: TokenCount, granted: TokenCount) {
        self.tokens += unspent.0.min(granted.0);
        self.granted_total = self.granted_total.saturating_sub(granted.0);
    }
}

/// `SharedTokens` holds the retry tokens of a request for all of its child calls. After the request
/// has ended it stays empty: tokens that are returned later are lost.
#[derive(Clone, Debug, Default)]
pub struct SharedTokens(Rc<RefCell<Option<RetryTokens>>>);

impl SharedTokens {
    /// Takes over the tokens that came with the request.
    #[must_use]
    pub fn new(tokens: TokenCount) -> Self {
        Self(Rc::new(RefCell::new(Some(RetryTokens::new(tokens)))))
    }

    /// Ends the request; returns the tokens that are left.
    #[must_use]
    pub fn close(&self) -> TokenCount {
        let request_tokens = self.0.borrow_mut().take();
        request_tokens.unwrap_or_default().balance()
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

    /// Grants tokens to one attempt of a child call, as [`RetryTokens::grant`] does.
    #[must_use]
    pub fn grant(&self) -> TokenCount {
        let mut request_tokens = self.0.borrow_mut();
        request_tokens
            .as_mut()
            .map_or(TokenCount(0), RetryTokens::grant)
    }

    /// Returns the tokens that an attempt did not spend, up to the `granted` ones.
    pub fn return_unspent(&self, unspent: TokenCount, granted: TokenCount) {
        if let Some(request_tokens) = self.0.borrow_mut().as_mut() {
            request_tokens.return_unspent(unspent, granted);
        }
    }
}
