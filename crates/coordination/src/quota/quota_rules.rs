//! How much of a quota a zone holds, and for how long, so that no window exceeds its bound.

use lagoonshore_state::account::AccountQuota;

use std::time::Duration;

/// Share of [`QuotaRules::overrun_time`] that a token lives, counted from the request for it.
const LIFE_SHARE: f64 = 0.4;
/// Share of the overrun time for which the rate is held in buckets beside the burst.
const STOCK_SHARE: f64 = 0.2;
/// Share of the overrun time for which every part may be refilled twice, while lists of nodes differ.
/// The tenth that the three shares leave is for clocks that run fast.
const DOUBLE_SHARE: f64 = 0.3;
/// Share of the slack that buckets hold, so that small accounts have whole requests in each zone.
const SLACK_SHARE: f64 = 0.5;
/// Part of the life of a token for which demand is fetched ahead of need.
const PREFETCH_SHARE: f64 = 0.5;
/// Fewest tokens that a bucket can hold; with less no request would ever pass.
const CAPACITY_MIN: f64 = 1.0;
/// Windows for which a zone keeps its part after its nodes have stopped admitting.
const ZONE_HOLD_WINDOWS: u32 = 2;
/// Least time for which a node that is no longer listed stays in its place.
const MEMBER_HOLD_MIN: Duration = Duration::from_secs(3);
/// Least time after which a node that has lost its place is forgotten.
const FORGET_TIME_MIN: Duration = Duration::from_mins(1);

/// `QuotaRules` bounds the requests of an account: in any `window` no more than
/// `(rate x window + burst) x (1 + overage) + slack` run, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the window.
    pub window: Duration,
    /// Share of the quota by which a window may exceed it.
    pub overage: f64,
    /// Requests by which a window may exceed it besides.
    pub slack: f64,
    /// Time after which a node without contact to others admits no requests of accounts; `None` if it
    /// may go on.
    pub proof_life: Option<Duration>,
    /// Time in which each node that is not cut off learns of a change of the list of nodes.
    pub view_time: Duration,
}

/// `SuccessionTimes` says when a node counts in the place of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuccessionTimes {
    /// Time for which a node that is no longer listed stays in its place.
    pub member_hold: Duration,
    /// Time for which a new counter grants nothing, while other nodes may still use the one before.
    pub settle_time: Duration,
    /// Time after which a node that has lost its place is forgotten.
    pub forget_time: Duration,
    /// Time for which a zone that is no longer listed keeps its part; `None` if it keeps it for good.
    pub zone_hold: Option<Duration>,
    /// Most zones that hold a part.
    pub zones_max: usize,
}

/// `QuotaPart` is the part of a quota that one zone holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaPart {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens in the bucket.
    pub capacity: f64,
}

impl QuotaRules {
    /// Time from the request for a token until it expires.
    #[must_use]
    pub fn token_life(&self) -> Duration {
        self.overrun_time().mul_f64(LIFE_SHARE)
    }

    /// Time whose demand is fetched ahead of need, or borrowed at once.
    #[must_use]
    pub fn prefetch_time(&self) -> Duration {
        self.token_life().mul_f64(PREFETCH_SHARE)
    }

    /// Times of the succession of counters, and the most zones among which a quota may be divided.
    #[must_use]
    pub fn succession(&self) -> SuccessionTimes {
        SuccessionTimes {
            member_hold: self.member_hold(),
            settle_time: self.settle_time(),
            forget_time: FORGET_TIME_MIN.max(self.window + self.token_life()),
            zone_hold: self.zone_hold(),
            zones_max: self.zones_max(),
        }
    }

    /// A node that is cut off counts for itself until its proof has become too old. Without a bound on
    /// that no time would be long enough.
    fn member_hold(&self) -> Duration {
        let proof_life = self.proof_life.unwrap_or_default();
        MEMBER_HOLD_MIN.max(proof_life)
    }

    /// Two nodes may count for a zone while lists differ, for [`DOUBLE_SHARE`] of the overrun time.
    fn settle_time(&self) -> Duration {
        let doubled = self.overrun_time().mul_f64(DOUBLE_SHARE);
        self.view_time.saturating_sub(doubled)
    }

    /// Nodes of a zone that has vanished may admit requests until their proofs are too old, and without
    /// a bound on that for good.
    fn zone_hold(&self) -> Option<Duration> {
        let proof_life = self.proof_life?;
        let after = self.view_time.max(self.window * ZONE_HOLD_WINDOWS);
        Some(proof_life + after)
    }

    /// The least capacity of all buckets together must stay within the slack that buckets hold.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn zones_max(&self) -> usize {
        let buckets = (self.slack * SLACK_SHARE / CAPACITY_MIN) as usize;
        buckets.max(1)
    }

    /// Part of each of `zones` zones.
    #[must_use]
    pub fn zone_part(&self, quota: AccountQuota, zones: u32) -> QuotaPart {
        let zones = f64::from(zones.max(1));
        let stock = quota.rate * self.overrun_time().as_secs_f64() * STOCK_SHARE;
        let capacity = (quota.burst + stock + self.slack * SLACK_SHARE) / zones;
        QuotaPart {
            rate: quota.rate / zones,
            capacity: capacity.max(CAPACITY_MIN),
        }
    }

    /// Time for which the rate may run beyond the window.
    fn overrun_time(&self) -> Duration {
        self.window.mul_f64(self.overage)
    }
}
