//! Which nodes watch the store with short waits, and how all others follow them.
//!
//! A connection that has gone silent looks like a store without changes, and a watch on it like one that
//! waits. The watchers of an availability zone notice that within a short wait. Every other node keeps
//! one call open to a watcher of its zone, which returns when the watcher learns of a change, or after
//! a short time. A node whose call is not answered, or whose watcher has not read the store lately,
//! reads the store itself until it has a watcher again. So the age of a node's view has a bound that
//! depends neither on its traffic nor on other nodes, and the reads of the store grow with the number of
//! watchers, the messages with that of nodes.

use super::read_schedule::WATCH_TIMEOUT_MARGIN;

use std::time::Duration;

/// Most nodes of an availability zone for each of its watchers.
const NODES_PER_WATCHER: usize = 32;
/// Time that an answer of a watcher may take beyond the wait that it was asked for.
pub const FOLLOW_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
/// Time for the read of the store after the last answer was missed.
const REREAD_TIME: Duration = Duration::from_millis(300);
/// Shortest wait of one call to a watcher.
const FOLLOW_WAIT_MIN: Duration = Duration::from_millis(300);

/// Number of watchers in an availability zone with `nodes` nodes.
#[must_use]
pub const fn watcher_count(nodes: usize) -> usize {
    nodes.div_ceil(NODES_PER_WATCHER)
}

/// `FollowSchedule` holds the times of the calls to a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowSchedule {
    /// Time after which a watcher answers though nothing has changed.
    pub wait: Duration,
    /// Time after which an answer counts as missed.
    pub timeout: Duration,
    /// Longest time since the last read of a watcher that is followed.
    pub read_age_max: Duration,
}

impl FollowSchedule {
    /// Creates the schedule of nodes whose view may be `view_time` old, and whose watchers wait for
    /// `watch_wait` at most.
    #[must_use]
    pub fn new(view_time: Duration, watch_wait: Duration) -> Self {
        let wait = view_time
            .saturating_sub(FOLLOW_TIMEOUT_MARGIN + REREAD_TIME)
            .max(FOLLOW_WAIT_MIN);
        Self {
            wait,
            timeout: wait + FOLLOW_TIMEOUT_MARGIN,
            read_age_max: watch_wait + WATCH_TIMEOUT_MARGIN + REREAD_TIME,
        }
    }
}
