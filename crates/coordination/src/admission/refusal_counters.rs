//! Counters of refusals.

use crate::request::outcome::RefusalReason;

use std::collections::BTreeMap;

/// `RefusalCounters` counts the requests that a node refused or lost, by reason.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounters {
    counts: BTreeMap<RefusalReason, u64>,
}

impl RefusalCounters {
    /// Counts one request that was refused or lost for `reason`.
    pub fn record(&mut self, reason: RefusalReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Counts by reason; reasons that have not occurred are left out.
    pub fn iter(&self) -> impl Iterator<Item = (RefusalReason, u64)> + '_ {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}
