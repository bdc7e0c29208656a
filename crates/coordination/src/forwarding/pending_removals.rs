//! Removals of entries from the upstream list, and when they are confirmed.
//!
//! While the store is unreachable, entries of live upstreams may expire, and they are registered
//! again soon after the store is back. A removal that is seen shortly after an outage is therefore
//! confirmed only when that recovery time is over; any other removal is confirmed immediately.
//!
//! A node cannot tell an outage of the store from a cut of its own path to it. In a cut no entry expires
//! without cause, and removals have to be applied once the node has settled. The end of either is known only
//! to lie between the start of the last failed read and the first response. A removal is therefore held back
//! for the recovery time from that response, and never longer than it may be if a cut ended right after the
//! start of that read. A failed read is no outage in this sense if the store is known to have answered, this
//! node or another one, more recently than an entry can have expired for lack of a heartbeat.

use lagoonshore_state::ids::InstanceName;

use std::time::Duration;
use tokio::time::Instant;

/// Time after an outage in which entries that expired during the outage may be registered again.
const RECOVERY_TIME: Duration = Duration::from_millis(2300);

/// `RemovedEntry` is an entry that the upstream list no longer contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedEntry {
    /// Name of the upstream.
    pub name: InstanceName,
    /// Revision of the list that removed it.
    pub revision: u64,
}

/// `PendingRemovals` holds removals until they are confirmed.
#[derive(Debug)]
pub struct PendingRemovals {
    entries: Vec<(RemovedEntry, Instant)>,
    hold_max: Duration,
    expiry_min: Duration,
    recovered_at: Option<Instant>,
}

impl PendingRemovals {
    /// Creates an empty set. A removal has to be applied within `hold_max` of the end of a cut.
    #[must_use]
    pub const fn new(hold_max: Duration) -> Self {
        Self {
            entries: Vec::new(),
            hold_max,
            expiry_min: Duration::ZERO,
            recovered_at: None,
        }
    }

    /// Sets the shortest outage in which an entry can expire.
    #[must_use]
    pub const fn with_expiry(mut self, expiry_min: Duration) -> Self {
        self.expiry_min = expiry_min;
        self
    }

    /// Records a read that began at `started` and failed. The first response comes at `now`, and the store is
    /// known to have answered at `answered` before.
    pub fn record_failed_read(&mut self, answered: Instant, started: Instant, now: Instant) {
        if now.saturating_duration_since(answered) >= self.expiry_min {
            self.record_outage(started, now);
        }
    }

    /// Records a failed read of the store that began at `started`; the first response comes at `now`.
    pub fn record_outage(&mut self, started: Instant, now: Instant) {
        let recovered_at = (now + RECOVERY_TIME).min(started + self.hold_max);
        self.recovered_at = Some(recovered_at);
    }

    /// Records that the list no longer contains an entry; returns for how long the removal is held back.
    /// One that is already pending keeps its confirmation time.
    pub fn record_removal(&mut self, now: Instant, entry: RemovedEntry) -> Duration {
        let mut pending = self.entries.iter();
        let known = pending.find(|(pending, _)| pending.name == entry.name);
        if let Some((_, confirmed_at)) = known {
            return confirmed_at.saturating_duration_since(now);
        }
        let confirmed_at = self
            .recovered_at
            .map_or(now, |recovered| recovered.max(now));
        self.entries.push((entry, confirmed_at));
        confirmed_at - now
    }

    /// Records that an entry is listed again, which cancels its removal.
    pub fn record_return(&mut self, name: &str) {
        self.entries.retain(|(pending, _)| pending.name != name);
    }

    /// Takes the removals that are confirmed at `now`.
    pub fn take_confirmed(&mut self, now: Instant) -> Vec<RemovedEntry> {
        let is_due = |confirmed_at: &Instant| *confirmed_at <= now;
        let due = self
            .entries
            .iter()
            .filter(|(_, confirmed_at)| is_due(confirmed_at));
        let due = due.map(|(entry, _)| entry.clone()).collect();
        self.entries
            .retain(|(_, confirmed_at)| !is_due(confirmed_at));
        due
    }

    /// Time at which the next removal is confirmed.
    #[must_use]
    pub fn next_confirmation(&self) -> Option<Instant> {
        self.entries
            .iter()
            .map(|(_, confirmed_at)| *confirmed_at)
            .min()
    }
}
