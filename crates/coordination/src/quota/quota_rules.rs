//! How much of a quota a zone holds, and for how long, so that no window exceeds its bound.

use lagoonshore_state::account::AccountQuota;

use std::time::Duration;

/// Share of [`QuotaRules::overrun_time`] that a token lives, counted from the request for it.
const LIFE_SHARE: f64 = 0.4;
/// Share of the overrun time for which the rate is held in buckets beside the burst.
const STOCK_SHARE: f64 = 0.2;
/// Share of the slack that buckets hold, so that small accounts have whole requests in each zone.
const SLACK_SHARE: f64 = 0.5;
/// Part of the life of a token for which demand is fetched ahead of need.
const PREFETCH_SHARE: f64 = 0.5;
/// Fewest tokens that a bucket can hold; with less no request would ever pass.
const CAPACITY_MIN: f64 = 1.0;
/// Windows for which a zone keeps its part after its nodes have stopped admitting.
const ZONE_HOLD_WINDOWS: u32 = 2;

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

    /// Time for which a zone that is no longer listed keeps its part; `None` if it keeps it for good,
    /// since its nodes may still admit requests.
    #[must_use]
    pub fn zone_hold(&self) -> Option<Duration> {
        let proof_life = self.proof_life?;
        Some(proof_life + self.window * ZONE_HOLD_WINDOWS)
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
