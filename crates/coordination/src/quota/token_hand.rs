//! The tokens that one node holds for the requests of one account.

use super::{demand_meter::DemandMeter, quota_rules::QuotaRules};

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Longest time by which refused callers are spread; a caller whose turn would be later gets that of the
/// first one.
const RETURN_MAX: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is asked to return.
const EARNED_MAX: Duration = Duration::from_mins(1);
/// Share of the time in which an account earns a token that a caller waits in addition, as the parts of
/// the token may be in different zones whose clocks differ.
const EARNED_MARGIN: f64 = 0.05;
/// Largest share of that time by which the returns of unlike accounts are spread.
const EARNED_SPREAD: f64 = 0.1;
/// Least time after which a refused caller is asked to return.
const RETURN_MIN: Duration = Duration::from_millis(50);
/// Least time between two messages of a node whose account has no tokens left.
const TURN_MIN: Duration = Duration::from_millis(20);
/// Fewest tokens that are fetched ahead of need.
const AHEAD_MIN: f64 = 3.0;
/// Share of the tokens fetched ahead that are left when more are fetched.
const LOW_SHARE: f64 = 0.25;
/// Most tokens in one message.
const BATCH_MAX: f64 = 10_000.0;

/// `QuotaToken` is the permission to run one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaToken {
    expires_at: Instant,
}

/// `TokenHand` holds tokens, knows when to fetch more, and says when refused callers may return.
#[derive(Debug)]
pub struct TokenHand {
    batches: VecDeque<TokenBatch>,
    demand: DemandMeter,
    granted: DemandMeter,
    asks_again_at: Instant,
    /// Time from which the counter has tokens for this node again.
    short_until: Instant,
    last_return: Instant,
    /// Position of this hand among others, from 0 to 1.
    phase: f64,
}

#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    count: u32,
    expires_at: Instant,
}

impl TokenHand {
    /// Creates an empty hand. Hands of different `phase`, from 0 to 1, have callers return at different
    /// times.
    #[must_use]
    pub const fn new(now: Instant, phase: f64) -> Self {
        Self {
            batches: VecDeque::new(),
            demand: DemandMeter::new(now),
            granted: DemandMeter::new(now),
            asks_again_at: now,
            short_until: now,
            last_return: now,
            phase,
        }
    }

    /// Records that a request of the account arrived.
    pub fn record_request(&mut self, now: Instant) {
        self.demand.record(now, 1.0);
    }

    /// Takes the token that expires first.
    pub fn take(&mut self, now: Instant) -> Option<QuotaToken> {
        self.drop_expired(now);
        let batch = self.batches.front_mut()?;
        batch.count -= 1;
        let token = QuotaToken {
            expires_at: batch.expires_at,
        };
        if batch.count == 0 {
            self.batches.pop_front();
        }
        Some(token)
    }

    /// Takes back the token of a request that did not run, unless it has expired.
    pub fn restore(&mut self, now: Instant, token: QuotaToken) {
        if now < token.expires_at {
            self.batches.push_front(TokenBatch {
                count: 1,
                expires_at: token.expires_at,
            });
        }
    }

    /// Returns whether tokens should be fetched ahead of need.
    pub fn is_low(&mut self, now: Instant, rules: &QuotaRules) -> bool {
        let ahead = self.ahead(now, rules);
        ahead > 0.0 && self.can_ask(now) && f64::from(self.count(now)) <= ahead * LOW_SHARE
    }

    /// Returns whether the counter may be asked now. It may not be while it is known to be short.
    #[must_use]
    pub fn can_ask(&self, now: Instant) -> bool {
        now >= self.asks_again_at
    }

    /// Number of tokens to ask for while `waiting` requests wait for one.
    pub fn wanted(&mut self, now: Instant, waiting: u32, rules: &QuotaRules) -> f64 {
        let ahead = self.ahead(now, rules);
        (f64::from(waiting) + ahead - f64::from(self.count(now))).clamp(1.0, BATCH_MAX)
    }

    /// Adds `granted` tokens that were asked for at `asked_at`. `short_for` is the time for which the
    /// counter has no others, zero if it granted all.
    pub fn add(
        &mut self,
        now: Instant,
        asked_at: Instant,
        granted: u32,
        short_for: Duration,
        rules: &QuotaRules,
    ) {
        self.granted.record(now, granted.into());
        if granted > 0 {
            self.batches.push_back(TokenBatch {
                count: granted,
                expires_at: asked_at + rules.token_life(),
            });
        }
        if !short_for.is_zero() {
            let turn = short_for.max(TURN_MIN);
            self.short_until = now + turn;
            // A counter that granted a part of the ask may only lack what is fetched ahead.
            self.asks_again_at = now + if granted > 0 { TURN_MIN } else { turn };
        }
    }

    /// Returns the time after which a refused caller may return: the account, whose quota allows `rate`
    /// requests a second at `nodes` nodes, has then earned another one. Each caller gets a later time
    /// than the one before, by the time in which this node gets a token.
    pub fn retry_after(&mut self, now: Instant, rate: f64, nodes: u32) -> Duration {
        self.last_return = self.next_return(now, rate, nodes);
        self.last_return - now
    }

    /// Returns the time at which the next refused caller may return, see [`Self::retry_after`].
    #[must_use]
    pub fn next_return(&self, now: Instant, rate: f64, nodes: u32) -> Instant {
        let node_rate = self.granted.rate(now).max(rate / f64::from(nodes.max(1)));
        let earned = token_time(rate, EARNED_MAX).max(RETURN_MIN);
        let margin = EARNED_MARGIN + EARNED_SPREAD * self.phase;
        let short = self.short_until.saturating_duration_since(now);
        let first = now + short.max(earned).mul_f64(1.0 + margin);
        let next = first.max(self.last_return + token_time(node_rate, RETURN_MAX));
        if next > now + RETURN_MAX { first } else { next }
    }

    /// Number of tokens that have not expired.
    pub fn count(&mut self, now: Instant) -> u32 {
        self.drop_expired(now);
        self.batches.iter().map(|batch| batch.count).sum()
    }

    /// Requests a second, tokens a second.
    #[must_use]
    pub fn rates(&self, now: Instant) -> (f64, f64) {
        (self.demand.rate(now), self.granted.rate(now))
    }

    /// Whole tokens that cover the demand of the time that is fetched ahead; none if so few are needed
    /// that some would expire.
    fn ahead(&self, now: Instant, rules: &QuotaRules) -> f64 {
        let ahead = self.demand.rate(now) * rules.prefetch_time().as_secs_f64();
        if ahead < AHEAD_MIN {
            return 0.0;
        }
        ahead.floor()
    }

    fn drop_expired(&mut self, now: Instant) {
        self.batches.retain(|batch| now < batch.expires_at);
    }
}

/// Time in which one token arrives at `rate` tokens a second, at most `longest`.
fn token_time(rate: f64, longest: Duration) -> Duration {
    let time = Duration::try_from_secs_f64(rate.recip()).unwrap_or(longest);
    time.min(longest)
}
