//! Limit on the requests a second that an upstream names in its responses.
//!
//! The node beside an upstream sees all of its requests, so that it alone applies the limit, as a
//! token bucket. A response of the upstream is the best source: the latest one says whether there is
//! a limit. A node that has restarted has none yet, and takes the limit that a sender remembers until
//! the first response.

use lagoonshore_state::{ids::InstanceName, upstream_list::UpstreamLimit};

use std::time::Duration;
use tokio::time::Instant;

/// Time for which unused requests are kept, as the size of the bucket.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Smallest size of the bucket, in requests.
const BURST_MIN: f64 = 1.0;
/// Time without a response of the upstream after which its health is checked, because a limit that
/// lets no request pass is not withdrawn otherwise.
const CHECK_INTERVAL: Duration = Duration::from_millis(1500);
/// Longest wait that is reported, also for a limit of 0.
const WAIT_MAX: Duration = Duration::from_mins(1);

/// `LimitNotice` is what one response says about the limit of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit, in requests a second; not negative, and finite.
    Named(f64),
    /// It names a limit that is not a valid number.
    Invalid,
}

/// `RateSource` says where a limit, or its absence, is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateSource {
    /// Nothing is known yet.
    None,
    /// A sender that remembers an earlier response.
    Sender,
    /// A response of the upstream, received at this time.
    Response(Instant),
}

/// `RateUsage` compares what an upstream got with what it named, since it first named a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateUsage {
    /// Requests sent.
    pub sent: u64,
    /// Requests that the limits allowed, without bursts.
    pub allowed: f64,
}

/// `RateLimiter` limits the requests that one upstream gets.
#[derive(Debug)]
pub struct RateLimiter {
    run: InstanceName,
    source: RateSource,
    rate: Option<f64>,
    tokens: f64,
    refilled_at: Instant,
    checked_at: Option<Instant>,
    usage: RateUsage,
}

impl RateLimiter {
    /// Creates a limiter that knows of no limit.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            run: InstanceName::default(),
            source: RateSource::None,
            rate: None,
            tokens: 0.0,
            refilled_at: now,
            checked_at: None,
            usage: RateUsage::default(),
        }
    }

    /// Applies what a response of the upstream `run`, whose head was received at `received`, says.
    /// An invalid limit changes nothing. Returns whether the limit changed.
    pub fn observe(&mut self, received: Instant, run: &InstanceName, notice: LimitNotice) -> bool {
        let is_same_run = self.run == *run;
        let is_outdated = matches!(self.source, RateSource::Response(known) if known > received);
        if is_outdated || (notice == LimitNotice::Invalid && is_same_run) {
            return false;
        }
        let known = self.rate;
        if !is_same_run {
            self.run.clone_from(run);
        }
        self.source = RateSource::Response(received);
        let rate = match notice {
            LimitNotice::Named(rate) => Some(rate),
            LimitNotice::Absent | LimitNotice::Invalid => None,
        };
        let burst = rate.map_or(0.0, burst_of);
        self.set_rate(received, rate, burst);
        known != self.rate
    }

    /// Takes the limit that a sender remembers, unless a response of the upstream is known. Of
    /// several senders the lowest limit is used. The bucket starts empty, because the process before
    /// may have used it. Returns whether the limit changed.
    pub fn adopt(&mut self, now: Instant, limit: &UpstreamLimit) -> bool {
        let is_known = match self.source {
            RateSource::None => false,
            RateSource::Sender => self.rate.is_some_and(|rate| rate <= limit.rate),
            RateSource::Response(_) => true,
        };
        if is_known {
            return false;
        }
        self.run.clone_from(&limit.name);
        self.source = RateSource::Sender;
        self.set_rate(now, Some(limit.rate), 0.0);
        true
    }

    /// Limit in force, for senders.
    #[must_use]
    pub fn limit(&self) -> Option<UpstreamLimit> {
        let rate = self.rate?;
        Some(UpstreamLimit {
            name: self.run.clone(),
            rate,
        })
    }

    /// Takes the permission for one request; `false` if the limit allows none now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.usage.sent += 1;
        true
    }

    /// Counts a request that is sent whatever the limit says.
    pub fn take_unconditionally(&mut self, now: Instant) {
        if self.rate.is_some() {
            self.refill(now);
            self.tokens -= 1.0;
            self.usage.sent += 1;
        }
    }

    /// What the upstream got while it named its latest limit, or the one before if it names none.
    #[must_use]
    pub const fn usage(&self) -> RateUsage {
        self.usage
    }

    /// Expected wait of a request with `ahead` others before it.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let missing = f64::from(ahead) + 1.0 - self.tokens_at(now, rate);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = (missing / rate).min(WAIT_MAX.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }

    /// Returns whether the health of the upstream should be checked to learn its limit. If so, the
    /// next check is due after an interval.
    pub fn start_check(&mut self, now: Instant) -> bool {
        let heard_at = match self.source {
            RateSource::Response(received) => Some(received),
            _ => None,
        };
        let is_recent =
            |then: Option<Instant>| then.is_some_and(|then| now < then + CHECK_INTERVAL);
        if self.rate.is_none() || is_recent(heard_at) || is_recent(self.checked_at) {
            return false;
        }
        self.checked_at = Some(now);
        true
    }

    fn set_rate(&mut self, now: Instant, rate: Option<f64>, first_tokens: f64) {
        self.refill(now);
        let Some(rate) = rate else {
            self.rate = None;
            return;
        };
        if self.rate.is_none() {
            self.tokens = first_tokens;
            self.refilled_at = now;
            self.usage = RateUsage::default();
        }
        self.rate = Some(rate);
        self.tokens = self.tokens.min(burst_of(rate));
    }

    fn refill(&mut self, now: Instant) {
        if let Some(rate) = self.rate {
            let elapsed = now.saturating_duration_since(self.refilled_at);
            self.usage.allowed += rate * elapsed.as_secs_f64();
            self.tokens = self.tokens_at(now, rate);
            self.refilled_at = self.refilled_at.max(now);
        }
    }

    fn tokens_at(&self, now: Instant, rate: f64) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        (self.tokens + rate * elapsed.as_secs_f64()).min(burst_of(rate))
    }
}

/// Size of the bucket for `rate`: none for a limit of 0.
fn burst_of(rate: f64) -> f64 {
    if rate <= 0.0 {
        return 0.0;
    }
    (rate * BURST_TIME.as_secs_f64()).max(BURST_MIN)
}
