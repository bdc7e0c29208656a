//! A token bucket that starts empty.

use super::quota_rules::QuotaPart;

use tokio::time::Instant;

/// Part of a token that a sum of fractions may lack.
const ROUNDING: f64 = 1e-6;

/// `TokenBucket` fills at the rate of its part, up to its capacity.
#[derive(Debug)]
pub struct TokenBucket {
    part: QuotaPart,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket that was empty at `since`. Before that, which may be in the future, it does not
    /// fill.
    #[must_use]
    pub const fn new(part: QuotaPart, since: Instant) -> Self {
        Self {
            part,
            tokens: 0.0,
            refilled_at: since,
        }
    }

    /// Part of the quota that the bucket holds.
    #[must_use]
    pub const fn part(&self) -> QuotaPart {
        self.part
    }

    /// Changes the part. Tokens beyond a lower capacity are dropped.
    pub fn set_part(&mut self, now: Instant, part: QuotaPart) {
        if self.part == part {
            return;
        }
        self.refill(now);
        self.part = part;
        self.tokens = self.tokens.min(part.capacity);
    }

    /// Tokens in the bucket.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes at most `wanted` whole tokens.
    pub fn take_whole(&mut self, now: Instant, wanted: f64) -> f64 {
        self.refill(now);
        let taken = (self.tokens + ROUNDING).min(wanted).floor().max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Takes at most `wanted` tokens, fractions included, and leaves `reserve`.
    pub fn take_above(&mut self, now: Instant, wanted: f64, reserve: f64) -> f64 {
        self.refill(now);
        let taken = (self.tokens - reserve).min(wanted).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Adds tokens; what exceeds the capacity is dropped.
    pub fn add(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.tokens = (self.tokens + tokens).min(self.part.capacity);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let tokens = self.tokens + self.part.rate * elapsed.as_secs_f64();
        self.tokens = tokens.min(self.part.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
