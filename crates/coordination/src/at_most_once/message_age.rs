//! Estimates the age of messages between processes whose clocks are not synchronised.
//!
//! The difference between the receiver's clock and the sender's timestamp is the clock offset plus
//! the delay. The smallest difference seen is taken as the offset; the excess over it is the age of
//! a message (Cristian, "Probabilistic clock synchronization", 1989).

use lagoonshore_state::ids::IncarnationId;

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Length of a window. The minimum is taken over the current and the previous window, so that clock
/// drift does not accumulate.
const WINDOW_LENGTH: Duration = Duration::from_mins(1);
/// Maximum number of senders with a clock difference.
const SENDERS_MAX: usize = 4096;

/// Microseconds since the start of the process that reads the clock.
pub type ClockStamp = u64;

#[derive(Clone, Copy, Debug)]
struct ClockDifference {
    previous: i128,
    current: i128,
    window_start: Instant,
    last_seen: Instant,
}

/// `AgeEstimator` estimates the age of messages by sender.
#[derive(Debug)]
pub struct AgeEstimator {
    origin: Instant,
    senders: BTreeMap<IncarnationId, ClockDifference>,
}

impl AgeEstimator {
    /// Creates an estimator whose own clock starts at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            origin: now,
            senders: BTreeMap::new(),
        }
    }

    /// Timestamp of the local clock for a message that is sent at `now`.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> ClockStamp {
        let elapsed = now.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// Estimated age of a message that `sender` stamped with `sent` and that was read at `now`;
    /// zero for the first message of a sender.
    pub fn age(&mut self, now: Instant, sender: IncarnationId, sent: ClockStamp) -> Duration {
        let sample = i128::from(self.stamp(now)) - i128::from(sent);
        self.make_room(sender);
        let initial = ClockDifference {
            previous: sample,
            current: sample,
            window_start: now,
            last_seen: now,
        };
        let difference = self.senders.entry(sender).or_insert(initial);
        difference.last_seen = now;
        if now >= difference.window_start + WINDOW_LENGTH {
            difference.previous = difference.current;
            difference.current = sample;
            difference.window_start = now;
        }
        difference.current = difference.current.min(sample);
        let minimum = difference.current.min(difference.previous);
        Duration::from_micros(u64::try_from(sample - minimum).unwrap_or(0))
    }

    /// Removes the sender that has been silent the longest if the table has no room for `sender`.
    fn make_room(&mut self, sender: IncarnationId) {
        if self.senders.len() < SENDERS_MAX || self.senders.contains_key(&sender) {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, difference)| difference.last_seen);
        if let Some(oldest) = oldest.map(|(sender, _)| *sender) {
            self.senders.remove(&oldest);
        }
    }
}
