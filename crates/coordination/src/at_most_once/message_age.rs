//! How long a message was on its way, from two clocks that are not synchronised.
//!
//! The difference between the receiver's clock and the sender's stamp is the offset of the clocks
//! plus the delay. The smallest difference seen stands for a delay of nearly nothing; what exceeds
//! it is the age of a message (Cristian, "Probabilistic clock synchronization", 1989).

use lagoonshore_state::ids::IncarnationId;

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time after which the older of two minima is given up, so that clock drift does not add up.
const WINDOW_TIME: Duration = Duration::from_mins(1);
/// Senders whose clocks are followed at most.
const SENDERS_MAX: usize = 4096;

/// Microseconds on the clock of one process, from its start.
pub type ClockStamp = u64;

#[derive(Clone, Copy, Debug)]
struct ClockDifference {
    previous: i128,
    current: i128,
    turned: Instant,
    seen: Instant,
}

/// `AgeEstimator` estimates the age of messages of each sender.
#[derive(Debug)]
pub struct AgeEstimator {
    origin: Instant,
    senders: BTreeMap<IncarnationId, ClockDifference>,
}

impl AgeEstimator {
    /// Creates an estimator whose own clock starts `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            origin: now,
            senders: BTreeMap::new(),
        }
    }

    /// Stamp of the own clock, for messages that are sent `now`.
    #[must_use]
    pub fn stamp(&self, now: Instant) -> ClockStamp {
        let elapsed = now.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    /// Age of a message of `sender` that was stamped `sent` and read `now`; zero for the first one.
    pub fn age(&mut self, now: Instant, sender: IncarnationId, sent: ClockStamp) -> Duration {
        let sample = i128::from(self.stamp(now)) - i128::from(sent);
        self.make_room(sender);
        let fresh = ClockDifference {
            previous: sample,
            current: sample,
            turned: now,
            seen: now,
        };
        let difference = self.senders.entry(sender).or_insert(fresh);
        difference.seen = now;
        if now >= difference.turned + WINDOW_TIME {
            difference.previous = difference.current;
            difference.current = sample;
            difference.turned = now;
        }
        difference.current = difference.current.min(sample);
        let least = difference.current.min(difference.previous);
        Duration::from_micros(u64::try_from(sample - least).unwrap_or(0))
    }

    /// Forgets the sender that was silent the longest, where there is no room for a new one.
    fn make_room(&mut self, sender: IncarnationId) {
        if self.senders.len() < SENDERS_MAX || self.senders.contains_key(&sender) {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, held)| held.seen);
        if let Some(oldest) = oldest.map(|(sender, _)| *sender) {
            self.senders.remove(&oldest);
        }
    }
}
