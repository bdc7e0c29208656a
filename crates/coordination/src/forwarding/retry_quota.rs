//! Quota of retries for the whole fleet.

use std::time::Duration;

/// `RetryQuota` defines how many retries the fleet may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryQuota {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio in one window, for all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Whether the requests of the window before, or of the one that began half a window earlier,
    /// count in place of those of the window if they are more.
    pub counts_earlier: bool,
}

impl Default for RetryQuota {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 0.0,
            window: Duration::from_secs(10),
            counts_earlier: false,
        }
    }
}
