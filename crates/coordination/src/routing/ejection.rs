//! Outlier ejection: a peer that keeps failing, or is far slower than the other peers, gets no
//! calls for a while and is then probed with one call at a time.

use lagoonshore_state::id_type;
use std::time::Duration;
use tokio::time::Instant;

/// Consecutive failures after which a peer is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Upper bound of the share of a service's instances that may be ejected at the same time.
const EJECTED_SHARE_MAX: f64 = 0.5;
/// Duration of a first ejection; it doubles with each further ejection without a response in
/// between.
const EJECTION_TIME_BASE: Duration = Duration::from_secs(2);
/// Upper bound of the duration of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(8);
/// Time for which a peer that refused a connection gets no calls.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Ratio of a peer's slowness to the median of the other peers above which it is an outlier.
const OUTLIER_FACTOR: f64 = 5.0;
/// Number of responses that a peer must have given before its latency is compared.
pub const OUTLIER_RESPONSES_MIN: u32 = 5;

id_type! {
    /// `PeerCondition` is the ejection state of a peer.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum PeerCondition {
        /// The peer takes calls.
        #[default]
        Healthy,
        /// The peer gets no calls.
        Ejected,
        /// The ejection has expired; the peer is probed with one call at a time.
        Probing,
    }
}

/// `EjectionState` tracks the consecutive failures and the ejections of one peer.
#[derive(Clone, Debug, Default)]
pub struct EjectionState {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    is_unreachable: bool,
}

impl EjectionState {
    /// Records a failed call; returns `true` if the peer should be ejected, subject to
    /// [`can_eject`].
    #[must_use]
    pub const fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= EJECT_AFTER_FAILURES || self.until.is_some()
    }

    /// Records a response; returns `true` if it ends an ejection.
    pub const fn record_response(&mut self) -> bool {
        self.failures = 0;
        self.ejections = 0;
        self.is_unreachable = false;
        self.until.take().is_some()
    }

    /// Ejects the peer for a time that doubles with each consecutive ejection.
    pub fn eject(&mut self, now: Instant) {
        let time = EJECTION_TIME_BASE * 2_u32.saturating_pow(self.ejections.min(8));
        self.until = Some(now + time.min(EJECTION_TIME_MAX));
        self.ejections += 1;
        self.is_unreachable = false;
    }

    /// Excludes a peer that refused a connection. This says nothing about how the peer performs, so
    /// it does not count against the share of instances that may be ejected.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.until = Some(now + UNREACHABLE_TIME);
        self.is_unreachable = true;
    }

    /// Returns `true` if the peer is excluded as an outlier, not only as unreachable.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        !self.is_unreachable && self.condition(now) == PeerCondition::Ejected
    }

    /// Returns the ejection state of the peer at `now`.
    #[must_use]
    pub fn condition(&self, now: Instant) -> PeerCondition {
        match self.until {
            None => PeerCondition::Healthy,
            Some(until) if now < until => PeerCondition::Ejected,
            Some(_) => PeerCondition::Probing,
        }
    }

    /// Returns the number of consecutive failures.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}

/// Returns `true` if one more of `listed` instances may be ejected when `ejected` of them already
/// are.
#[must_use]
pub fn can_eject(listed: u32, ejected: u32) -> bool {
    f64::from(ejected + 1) <= f64::from(listed) * EJECTED_SHARE_MAX
}

/// Returns `true` if `slowness` is far above the median of `others`; always `false` for fewer than
/// two others.
#[must_use]
pub fn is_outlier(slowness: f64, mut others: Vec<f64>) -> bool {
    if others.len() < 2 {
        return false;
    }
    others.sort_by(f64::total_cmp);
    let median = others[others.len() / 2];
    slowness > OUTLIER_FACTOR * median.max(1.0)
}
