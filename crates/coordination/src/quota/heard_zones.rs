//! The number of zones that other nodes know of.

use std::time::Duration;
use tokio::time::Instant;

/// Time for which a number is remembered; nodes that use a quota tell theirs several times a second.
const KEPT_TIME: Duration = Duration::from_secs(2);

/// `HeardZones` remembers the largest number of zones that another node has told of a short time ago. A
/// node that has restarted does not know of zones that vanished before, and that still have their parts.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeardZones {
    heard: Option<(u32, Instant)>,
}

impl HeardZones {
    /// Records that a node divides quotas among `zones` by what it knows itself.
    pub fn record(&mut self, now: Instant, zones: u32) {
        if zones >= self.count(now) {
            self.heard = Some((zones, now));
        }
    }

    /// Largest number heard a short time ago; 0 if there is none.
    #[must_use]
    pub fn count(&self, now: Instant) -> u32 {
        let heard = self.heard.filter(|(_, at)| now < *at + KEPT_TIME);
        heard.map_or(0, |(zones, _)| zones)
    }
}
