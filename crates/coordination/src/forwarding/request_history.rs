//! Requests from which a quota of retries is counted.

use super::{retry_quota::RetryQuota, sliding_window::SlidingWindow};

use std::time::Duration;
use tokio::time::Instant;

/// Length of the buckets that requests are counted in.
const BUCKET_TIME: Duration = Duration::from_millis(250);
/// Windows for which requests are kept.
const KEPT_WINDOWS: u32 = 2;
/// Share of the requests of an earlier window that counts. Each node takes the window in which it had
/// most, and these are more in sum than the service had in any one window.
const EARLIER_SHARE: f64 = 0.85;

/// `RequestHistory` counts the first attempts at one upstream.
#[derive(Debug, Default)]
pub struct RequestHistory {
    requests: SlidingWindow<u32>,
}

impl RequestHistory {
    /// Counts a request; `window` is that of the quota.
    pub fn record(&mut self, now: Instant, window: Duration) {
        *self
            .requests
            .current(now, BUCKET_TIME, window * KEPT_WINDOWS) += 1;
    }

    /// Requests from which `quota` is counted for the window that ends `ahead` after `now`, if none
    /// arrives until then.
    #[must_use]
    pub fn counted(&self, now: Instant, quota: &RetryQuota, ahead: Duration) -> f64 {
        let window = quota.window;
        let recent = self.count(now, window.saturating_sub(ahead), Duration::ZERO);
        if !quota.counts_earlier {
            return recent;
        }
        let earlier = [window / 2, window].map(|shift| {
            let age = shift.saturating_sub(ahead);
            let begin = (window + shift).saturating_sub(ahead);
            EARLIER_SHARE * self.count(now, begin.saturating_sub(age), age)
        });
        earlier.into_iter().fold(recent, f64::max)
    }

    /// Requests in the `span` that ended `age` before `now`.
    fn count(&self, now: Instant, span: Duration, age: Duration) -> f64 {
        let requests: u32 = if age.is_zero() {
            self.requests.within(now, span).sum()
        } else {
            self.requests.within_earlier(now, span, age).sum()
        };
        f64::from(requests)
    }
}
