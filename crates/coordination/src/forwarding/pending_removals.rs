//! Entries that the list names no longer, and when to believe it.
//!
//! While the store is away, entries of upstreams that live may lapse, and they are back soon after
//! it is. A removal that is seen shortly after an outage is believed only once that time is over;
//! any other is believed at once.

use lagoonshore_state::ids::InstanceName;

use std::time::Duration;
use tokio::time::Instant;

/// Time after an outage in which entries that lapsed meanwhile may come back.
const RETURN_TIME: Duration = Duration::from_millis(2300);

/// `RemovedEntry` is an entry that the list names no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedEntry {
    /// Name of the upstream.
    pub name: InstanceName,
    /// Change of the list by which it went.
    pub revision: u64,
}

/// `PendingRemovals` holds removals until they are believed.
#[derive(Debug, Default)]
pub struct PendingRemovals {
    entries: Vec<(RemovedEntry, Instant)>,
    outage_end: Option<Instant>,
}

impl PendingRemovals {
    /// Notes that the store could not be read until now.
    pub const fn record_outage(&mut self, now: Instant) {
        self.outage_end = Some(now);
    }

    /// Notes that the list names an entry no longer. One that is held already keeps its time.
    pub fn record_removal(&mut self, now: Instant, entry: RemovedEntry) {
        if self.entries.iter().any(|(held, _)| held.name == entry.name) {
            return;
        }
        let returned = self.outage_end.map(|end| end + RETURN_TIME);
        let believed = returned.map_or(now, |returned| returned.max(now));
        self.entries.push((entry, believed));
    }

    /// Notes that an entry is back.
    pub fn record_return(&mut self, name: &str) {
        self.entries.retain(|(held, _)| held.name != name);
    }

    /// Takes the removals that are believed by now.
    pub fn take_confirmed(&mut self, now: Instant) -> Vec<RemovedEntry> {
        let is_due = |believed: &Instant| *believed <= now;
        let due = self.entries.iter().filter(|(_, believed)| is_due(believed));
        let due = due.map(|(entry, _)| entry.clone()).collect();
        self.entries.retain(|(_, believed)| !is_due(believed));
        due
    }

    /// Time at which the next removal is believed.
    #[must_use]
    pub fn next_confirmation(&self) -> Option<Instant> {
        self.entries.iter().map(|(_, believed)| *believed).min()
    }
}
