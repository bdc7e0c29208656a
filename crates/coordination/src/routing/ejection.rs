//! Outlier ejection: a peer that fails or is far slower than the others gets no calls for a
//! while, and is then probed by one call at a time.

use lagoonshore_state::id_type;
use std::time::Duration;
use tokio::time::Instant;

/// Failures in a row after which a peer is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Share of the instances of a service that may be ejected at the same time.
const EJECTED_SHARE_MAX: f64 = 0.5;
/// Time of a first ejection; it doubles with each one that follows without an answer between.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest time of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(8);
/// Time for which a peer that refused a connection is left out.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Slowness in multiples of the other peers' median from which a peer is an outlier.
const OUTLIER_FACTOR: f64 = 5.0;
/// Answers that a peer must have given before its latency is judged.
pub const OUTLIER_ANSWERS_MIN: u32 = 5;

id_type! {
    /// `PeerCondition` says how far a peer is trusted with calls.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PeerCondition {
        /// The peer takes calls.
        #[default]
        Healthy,
        /// The peer is left out.
        Ejected,
        /// The time of the ejection is over; one call at a time finds out how the peer is.
        Probing,
    }
}

/// `EjectionState` follows the failures and ejections of one peer.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    is_unreachable: bool,
}

impl EjectionState {
    /// Notes a failed call; `true` asks for an ejection, which the floor may deny.
    #[must_use]
    pub const fn note_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= EJECT_AFTER_FAILURES || self.until.is_some()
    }

    /// Notes an answer; `true` if it ends an ejection.
    pub const fn note_answer(&mut self) -> bool {
        self.failures = 0;
        self.ejections = 0;
        self.is_unreachable = false;
        self.until.take().is_some()
    }

    /// Leaves the peer out for a time that doubles with each ejection in a row.
    pub fn eject(&mut self, now: Instant) {
        let time = EJECTION_TIME * 2_u32.saturating_pow(self.ejections.min(8));
        self.until = Some(now + time.min(EJECTION_TIME_MAX));
        self.ejections += 1;
        self.is_unreachable = false;
    }

    /// Leaves out a peer that refused a connection. This is no verdict on how it works, so it
    /// does not count against the share that may be ejected.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.until = Some(now + UNREACHABLE_TIME);
        self.is_unreachable = true;
    }

    /// Tells whether the peer is left out as an outlier.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        !self.is_unreachable && self.condition(now) == PeerCondition::Ejected
    }

    /// How far the peer is trusted at `now`.
    #[must_use]
    pub fn condition(&self, now: Instant) -> PeerCondition {
        match self.until {
            None => PeerCondition::Healthy,
            Some(until) if now < until => PeerCondition::Ejected,
            Some(_) => PeerCondition::Probing,
        }
    }

    /// Failures in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}

/// Tells whether one more of `listed` instances may be ejected while `ejected` are.
#[must_use]
pub fn may_eject(listed: u32, ejected: u32) -> bool {
    f64::from(ejected + 1) <= f64::from(listed) * EJECTED_SHARE_MAX
}

/// Tells whether `slowness` lies far above the median of the `others`.
#[must_use]
pub fn is_outlier(slowness: f64, mut others: Vec<f64>) -> bool {
    if others.len() < 2 {
        return false;
    }
    others.sort_by(f64::total_cmp);
    let median = others[others.len() / 2];
    slowness > OUTLIER_FACTOR * median.max(1.0)
}
