//! The counter of one account in one availability zone.

use super::{
    demand_meter::DemandMeter,
    quota_rules::{QuotaPart, QuotaRules},
    token_bucket::TokenBucket,
};

use std::time::Duration;
use tokio::time::Instant;

/// Least and longest pause after a loan that did not suffice.
const LOAN_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Least time after which a node that got too few tokens may ask again; messages hold whole
/// milliseconds, and zero means that nothing is missing.
const TURN_MIN: Duration = Duration::from_millis(1);
/// Longest time after which a node that got too few tokens may ask again.
const TURN_MAX: Duration = Duration::from_millis(200);
/// Smallest loan, in tokens, that is asked for; fractions of the bucket complete it.
const LOAN_MIN: f64 = 1.0;

/// `AccountCounter` grants the tokens of a zone's part to nodes, and lends them to other zones.
#[derive(Debug)]
pub struct AccountCounter {
    since: Instant,
    bucket: TokenBucket,
    demand: DemandMeter,
    next_turn: Instant,
    loan_allowed_at: Instant,
    loan_pause: Duration,
    totals: CounterTotals,
}

/// `CounterTotals` counts tokens since the counter began.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct CounterTotals {
    /// Tokens granted to nodes.
    pub granted: f64,
    /// Tokens lent to the counters of other zones.
    pub lent: f64,
    /// Tokens borrowed from them.
    pub borrowed: f64,
}

impl AccountCounter {
    /// Creates the counter of a node that may count from `since` on.
    #[must_use]
    pub const fn new(now: Instant, since: Instant, part: QuotaPart) -> Self {
        Self {
            since,
            bucket: TokenBucket::new(part, since),
            demand: DemandMeter::new(now),
            next_turn: now,
            loan_allowed_at: now,
            loan_pause: LOAN_PAUSES.0,
            totals: CounterTotals {
                granted: 0.0,
                lent: 0.0,
                borrowed: 0.0,
            },
        }
    }

    /// Time from which the node may count.
    #[must_use]
    pub const fn since(&self) -> Instant {
        self.since
    }

    /// Applies the time from which the node may count. After a later one than before the counter starts
    /// anew: another node counted in the meantime. An earlier one only means that a node which counted
    /// before has been forgotten.
    pub fn renew(&mut self, now: Instant, since: Instant) {
        if self.since < since {
            *self = Self::new(now, since, self.bucket.part());
        }
    }

    /// Applies a changed quota or number of zones.
    pub fn set_part(&mut self, now: Instant, part: QuotaPart) {
        self.bucket.set_part(now, part);
    }

    /// Records that a node wants tokens, and returns what it gets at once: whole tokens.
    pub fn take(&mut self, now: Instant, wanted: f64) -> f64 {
        self.demand.record(now, wanted);
        self.take_again(now, wanted)
    }

    /// Returns what a node gets of the tokens that it still wants after a loan.
    pub fn take_again(&mut self, now: Instant, wanted: f64) -> f64 {
        let taken = self.bucket.take_whole(now, wanted);
        self.totals.granted += taken;
        taken
    }

    /// Returns what the counter of another zone gets: what the demand of this zone leaves, and in any case
    /// up to one token: a request waits there, and none here.
    pub fn lend(&mut self, now: Instant, wanted: f64, rules: &QuotaRules) -> f64 {
        let needed = self.demand.rate(now) * rules.prefetch_time().as_secs_f64();
        let reserve = needed.min((self.bucket.tokens(now) - 1.0).max(0.0));
        let lent = self.bucket.take_above(now, wanted, reserve);
        self.totals.lent += lent;
        lent
    }

    /// Returns the tokens to borrow for a node that still wants `missing`; `None` while loans pause.
    pub fn start_loan(&mut self, now: Instant, missing: f64, rules: &QuotaRules) -> Option<f64> {
        if now < self.loan_allowed_at {
            return None;
        }
        let ahead = self.demand.rate(now) * rules.prefetch_time().as_secs_f64();
        let room = self.bucket.part().capacity - self.bucket.tokens(now);
        let amount = missing.max(ahead).min(room);
        (amount > 0.0).then_some(amount.max(LOAN_MIN.min(room)))
    }

    /// Adds a loan of `got` tokens. If that is less than `asked`, the next one is asked for later.
    pub fn finish_loan(&mut self, now: Instant, asked: f64, got: f64) {
        self.bucket.add(now, got);
        self.totals.borrowed += got;
        if got >= asked {
            self.loan_pause = LOAN_PAUSES.0;
            return;
        }
        self.loan_allowed_at = now + self.loan_pause;
        self.loan_pause = (self.loan_pause * 2).min(LOAN_PAUSES.1);
    }

    /// Returns the time after which a node that still wants `missing` tokens should ask again: not before
    /// the bucket holds a token or a loan is allowed, and each node gets a later one than the node before.
    pub fn next_turn(&mut self, now: Instant, missing: f64) -> Duration {
        let rate = self.bucket.part().rate;
        let turn = Duration::try_from_secs_f64(missing / rate).unwrap_or(TURN_MAX);
        let after = self.next_turn.max(now) + turn.clamp(TURN_MIN, TURN_MAX);
        self.next_turn = after.min(now + TURN_MAX);
        let refill = Duration::try_from_secs_f64((1.0 - self.bucket.tokens(now)).max(0.0) / rate);
        let loan = self.loan_allowed_at.saturating_duration_since(now);
        let earliest = refill.map_or(loan, |refill| refill.min(loan));
        (self.next_turn - now).max(earliest)
    }

    /// Tokens in the bucket, and the part of the quota that it holds.
    pub fn stock(&mut self, now: Instant) -> (f64, QuotaPart) {
        (self.bucket.tokens(now), self.bucket.part())
    }

    /// Tokens that nodes want, a second.
    #[must_use]
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// Tokens granted, lent and borrowed so far.
    #[must_use]
    pub const fn totals(&self) -> CounterTotals {
        self.totals
    }
}

/// Returns the time by which the first of `lenders` has to answer, so that each of them has an equal part
/// of the time until `deadline`.
#[must_use]
pub fn lender_deadline(now: Instant, deadline: Instant, lenders: usize) -> Instant {
    let left = deadline.saturating_duration_since(now);
    let parts = u32::try_from(lenders.max(1)).unwrap_or(u32::MAX);
    now + left / parts
}
