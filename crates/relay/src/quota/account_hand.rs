//! What a node holds of the quota of one account, and the requests that wait for it.

use super::fleet_counters::FleetCounters;

use lagoonshore_coordination::quota::token_hand::{QuotaToken, TokenHand};
use lagoonshore_state::ids::AccountName;
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// `AccountHand` is what this node holds of the quota of one account.
pub(super) struct AccountHand {
    /// Name of the account.
    pub(super) account: AccountName,
    /// Tokens in hand.
    pub(super) hand: RefCell<TokenHand>,
    /// Requests that wait for a token.
    pub(super) waiting: Cell<u32>,
    /// Whether an ask for tokens is in progress.
    pub(super) is_asking: Cell<bool>,
    /// Time of the latest request.
    pub(super) used_at: Cell<Instant>,
    /// Time until which requests are refused because no counter answered.
    pub(super) unanswered_until: Cell<Instant>,
    /// Notified at the end of each ask.
    pub(super) answered: Notify,
}

/// `HandStep` is what a request of an account meets next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandStep {
    /// A token is in hand.
    Take,
    /// The counter has to be asked.
    Ask,
    /// The counter is known to be short: the quota is used up.
    OverQuota,
    /// No counter answered just now.
    Unanswered,
}

/// Counts a request that waits until it is dropped.
pub(super) struct WaitingGuard<'a>(&'a AccountHand);

impl<'a> WaitingGuard<'a> {
    pub(super) fn new(entry: &'a AccountHand) -> Self {
        entry.waiting.set(entry.waiting.get() + 1);
        Self(entry)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

impl AccountHand {
    /// Creates an empty hand.
    pub(super) fn new(now: Instant, account: AccountName) -> Self {
        Self {
            account,
            hand: RefCell::new(TokenHand::new(now, rand::random())),
            waiting: Cell::new(0),
            is_asking: Cell::new(false),
            used_at: Cell::new(now),
            unanswered_until: Cell::new(now),
            answered: Notify::new(),
        }
    }

    /// Decides what a request meets at `now`; changes nothing.
    pub(super) fn step(&self, now: Instant) -> HandStep {
        let mut hand = self.hand.borrow_mut();
        if hand.count(now) > 0 {
            HandStep::Take
        } else if now < self.unanswered_until.get() {
            HandStep::Unanswered
        } else if hand.can_ask(now) {
            HandStep::Ask
        } else {
            HandStep::OverQuota
        }
    }

    /// Takes a token, if there is one in hand at `now`.
    pub(super) fn take(&self, now: Instant) -> Option<QuotaToken> {
        self.hand.borrow_mut().take(now)
    }

    /// Adds `tokens` that were asked for at `asked_at` of a counter that has no others for `short_for`.
    // Tokens that nodes get are whole, and few.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn add(
        &self,
        asked_at: Instant,
        tokens: f64,
        short_for: Duration,
        fleet: &FleetCounters,
    ) {
        let mut hand = self.hand.borrow_mut();
        let (now, rules) = (Instant::now(), fleet.rules());
        hand.add(now, asked_at, tokens as u32, short_for, rules);
    }
}
