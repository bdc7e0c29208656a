//! How much the fleet may repeat.

use std::time::Duration;

/// `RetryQuota` says how much the fleet may repeat at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryQuota {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in one window, of all nodes together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryQuota {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 0.0,
            window: Duration::from_secs(10),
        }
    }
}
