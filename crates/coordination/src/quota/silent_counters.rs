//! Counters that did not answer.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time for which a counter that did not answer is not asked, if others can be.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// `SilentCounters` remembers for a short time which counters did not answer.
#[derive(Debug, Default)]
pub struct SilentCounters {
    avoided_until: BTreeMap<SocketAddr, Instant>,
}

impl SilentCounters {
    /// Records that a counter did not answer.
    pub fn record_silence(&mut self, now: Instant, counter: SocketAddr) {
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(counter, now + AVOID_TIME);
    }

    /// Records that a counter answered.
    pub fn record_answer(&mut self, counter: SocketAddr) {
        self.avoided_until.remove(&counter);
    }

    /// Returns those of the `counters` to ask, in their order: the ones that answered, or all if none did.
    #[must_use]
    pub fn select(&self, now: Instant, counters: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let is_avoided = |counter: &SocketAddr| {
            let until = self.avoided_until.get(counter);
            until.is_some_and(|until| now < *until)
        };
        if counters.iter().all(is_avoided) {
            return counters;
        }
        let answering = counters.into_iter();
        answering.filter(|counter| !is_avoided(counter)).collect()
    }
}
