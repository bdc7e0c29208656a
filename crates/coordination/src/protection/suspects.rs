//! Suspects: requests that were in progress when an upstream crashed.
//!
//! A crash proves that at most one of the requests in progress caused it, whatever the number of its
//! copies. It counts once for each request, and only several crashes lead to a quarantine. A complete
//! run is evidence for the request, which a request that crashes every upstream never has: it clears
//! all crashes before it, and cancels one within the minute after it.
//!
//! After one crash a suspect may have to run alone on an instance, so that a second crash can be
//! attributed to it and to no other request; after more crashes it is quarantined for a bounded time.
//! After its quarantine it is on probation: another crash quarantines it again, for longer.

use super::{
    crash_set::{CRASHES_MAX, CrashId, CrashMark, CrashReport, CrashSet},
    fingerprint::RequestFingerprint,
    run_history::RunHistory,
};

use lagoonshore_state::data_type;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Duration of the first quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Time after a quarantine during which the request is still on probation.
pub const PROBATION_TIME: Duration = Duration::from_hours(1);
/// Maximum number of entries in a table.
pub const SUSPECTS_MAX: usize = 1024;
/// Number of entries that are evicted from a full table at once.
const EVICTION_BATCH: usize = 64;
/// Time for which a node reports what it has learned of a request to other nodes.
pub const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of reports in one message.
pub const REPORTS_MAX: usize = 64;

data_type! {
    /// `SuspectReport` is a suspect as one node reports it to another.
    #[derive(Eq)]
    pub struct SuspectReport {
        /// Fingerprint of the request.
        pub fingerprint: RequestFingerprint,
        /// Crashes during which it was in progress.
        pub crashes: Vec<CrashReport>,
    }
}

/// `SuspectRules` are the bounds by which a table decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRules {
    /// Crashes after which a request is quarantined.
    pub quarantine_crashes: u8,
    /// Time after the latest crash for which a suspect that is not quarantined is kept.
    pub suspect_time: Duration,
    /// Factor by which each further crash prolongs the quarantine.
    pub quarantine_growth: u32,
    /// Maximum duration of a quarantine.
    pub quarantine_max: Duration,
}

impl Default for SuspectRules {
    /// Rules for nodes that run a suspect alone, so that its second crash is certain to be its own.
    fn default() -> Self {
        Self {
            quarantine_crashes: 2,
            suspect_time: Duration::from_mins(1),
            quarantine_growth: 2,
            quarantine_max: Duration::from_hours(1),
        }
    }
}

/// `SuspectDecision` says whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// Together with other requests.
    Clear,
    /// Only while no other request is in progress on the instance.
    Alone,
    /// Not until the quarantine ends.
    Quarantined,
}

/// `CrashCount` is the result of counting a crash for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Crashes attributed to the request, this one included.
    pub crashes: u8,
    /// Whether this crash is not attributed to the request, because it had just run completely.
    pub is_cleared: bool,
}

/// `SuspectState` is what a table knows of one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectState {
    /// Crashes attributed to the request.
    pub crashes: u8,
    /// Time since the latest of them.
    pub latest_age: Duration,
    /// Time until the end of the quarantine; `None` if too few crashes are attributed to the request
    /// for one, and zero after its end.
    pub quarantine_left: Option<Duration>,
}

/// `SuspectCounts` holds the gauges of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct SuspectCounts {
    /// Entries in the table, cleared and expired ones included.
    pub held: usize,
    /// Suspects that may only run alone.
    pub alone: usize,
    /// Suspects in quarantine.
    pub quarantined: usize,
}

#[derive(Clone, Debug)]
struct SuspectEntry {
    crashes: CrashSet,
    /// Time at which the crashes last changed.
    learned_at: Instant,
}

/// `SuspectTable` holds the suspects known to a node.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rules: SuspectRules,
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
    complete_runs: RunHistory,
}

impl SuspectTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(rules: SuspectRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Returns whether no request is a suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether and how a request may run.
    #[must_use]
    pub fn decide(&self, now: Instant, fingerprint: RequestFingerprint) -> SuspectDecision {
        let Some(state) = self.state(now, fingerprint) else {
            return SuspectDecision::Clear;
        };
        match state.quarantine_left {
            Some(left) if left > Duration::ZERO => SuspectDecision::Quarantined,
            _ => SuspectDecision::Alone,
        }
    }

    /// What is known of a request; `None` if no crash is attributed to it.
    #[must_use]
    pub fn state(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<SuspectState> {
        let entry = self.unexpired(now, fingerprint)?;
        let latest = entry.crashes.latest()?;
        let quarantine_end = self.rules.quarantine_end(&entry.crashes);
        Some(SuspectState {
            crashes: entry.crashes.count(),
            latest_age: now.saturating_duration_since(latest),
            quarantine_left: quarantine_end.map(|end| end.saturating_duration_since(now)),
        })
    }

    /// Counts the crash `id` of the local upstream for a request that it was running. Copies of the
    /// request are counted once.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        id: CrashId,
    ) -> CrashCount {
        let held = self.unexpired(now, fingerprint);
        let is_known = held.is_some_and(|entry| entry.crashes.contains(id));
        let is_cleared = !is_known && self.complete_runs.take(now, fingerprint);
        let mark = CrashMark {
            id,
            at: now,
            is_cleared,
        };
        self.join(now, fingerprint, [mark]);
        let held = self.unexpired(now, fingerprint);
        CrashCount {
            crashes: held.map_or(0, |entry| entry.crashes.count()),
            is_cleared,
        }
    }

    /// Records a complete run of a request, which clears its crashes. Returns whether there were any.
    pub fn record_success(&mut self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        self.complete_runs.record(now, fingerprint);
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let is_changed = entry.crashes.clear();
        if is_changed {
            entry.learned_at = now;
        }
        is_changed
    }

    /// Merges a report of another node. A complete run on this node clears the crashes before it, and
    /// cancels one after it.
    pub fn merge(&mut self, now: Instant, report: &SuspectReport) {
        let fingerprint = report.fingerprint;
        let reported = report.crashes.iter().take(CRASHES_MAX);
        let mut marks: Vec<_> = reported
            .map(|crash| CrashMark::of_report(now, *crash))
            .collect();
        for mark in &mut marks {
            mark.is_cleared |= self.is_refuted(now, fingerprint, *mark);
        }
        self.join(now, fingerprint, marks);
    }

    /// Returns whether a complete run on this node shows that the request did not cause a crash.
    fn is_refuted(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        mark: CrashMark,
    ) -> bool {
        let Some(run_at) = self.complete_runs.latest(now, fingerprint) else {
            return false;
        };
        let held = self.unexpired(now, fingerprint);
        let is_known = held.is_some_and(|entry| entry.crashes.contains(mark.id));
        run_at >= mark.at || (!is_known && self.complete_runs.take(now, fingerprint))
    }

    /// Reports for other nodes of what was learned recently, by falling number of crashes.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let recent = self
            .entries
            .iter()
            .filter(|(_, entry)| now.saturating_duration_since(entry.learned_at) < REPORT_TIME);
        let mut recent: Vec<_> = recent.collect();
        recent
            .sort_by_key(|(_, entry)| std::cmp::Reverse((entry.crashes.count(), entry.learned_at)));
        recent.truncate(REPORTS_MAX);
        let reports = recent.into_iter();
        reports
            .map(|(key, entry)| entry.report(now, *key))
            .collect()
    }

    /// Report of one request; `None` if nothing is known of it.
    #[must_use]
    pub fn report(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        let entry = self.unexpired(now, fingerprint)?;
        Some(entry.report(now, fingerprint))
    }

    /// Reports of all requests in quarantine or on probation, for a node that has lost its own table.
    #[must_use]
    pub fn quarantine_reports(&self, now: Instant) -> Vec<SuspectReport> {
        let keys = self.entries.keys();
        let quarantined = keys.filter(|key| {
            let state = self.state(now, **key);
            state.is_some_and(|state| state.quarantine_left.is_some())
        });
        let reports = quarantined.filter_map(|key| self.report(now, *key));
        reports.take(REPORTS_MAX).collect()
    }

    /// All suspects with at least one crash, by fingerprint.
    #[must_use]
    pub fn held(&self, now: Instant) -> Vec<(RequestFingerprint, SuspectState)> {
        let keys = self.entries.keys();
        keys.filter_map(|key| Some((*key, self.state(now, *key)?)))
            .collect()
    }

    /// Gauges of the table at `now`.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let keys = self.entries.keys();
        let decisions: Vec<_> = keys.map(|key| self.decide(now, *key)).collect();
        let count = |wanted| decisions.iter().filter(|found| **found == wanted).count();
        SuspectCounts {
            held: self.entries.len(),
            alone: count(SuspectDecision::Alone),
            quarantined: count(SuspectDecision::Quarantined),
        }
    }

    fn unexpired(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        let entry = self.entries.get(&fingerprint)?;
        (self.rules.expiry(entry) > now).then_some(entry)
    }

    fn join(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        marks: impl IntoIterator<Item = CrashMark>,
    ) {
        let held = self.unexpired(now, fingerprint);
        let mut crashes = held.map_or_else(CrashSet::default, |entry| entry.crashes.clone());
        let mut is_changed = false;
        for mark in marks {
            is_changed |= crashes.join(mark);
        }
        let learned_at = match held {
            Some(entry) if !is_changed => entry.learned_at,
            _ => now,
        };
        let entry = SuspectEntry {
            crashes,
            learned_at,
        };
        if self.rules.expiry(&entry) <= now {
            return;
        }
        if !self.entries.contains_key(&fingerprint) {
            self.evict(now);
        }
        self.entries.insert(fingerprint, entry);
    }

    /// Makes room in a full table: removes expired entries, or if none has expired the entries with
    /// the fewest crashes and among these the oldest. It removes several at once, so that a flood
    /// of suspects costs little per entry.
    fn evict(&mut self, now: Instant) {
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        let rules = self.rules;
        self.entries.retain(|_, entry| rules.expiry(entry) > now);
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        let entries = self.entries.iter();
        let mut candidates: Vec<_> = entries
            .map(|(key, entry)| (entry.crashes.count(), entry.learned_at, *key))
            .collect();
        candidates.sort_unstable();
        for (_, _, fingerprint) in candidates.into_iter().take(EVICTION_BATCH) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl SuspectRules {
    /// End of the quarantine of a request; `None` if too few crashes are attributed to it for one.
    fn quarantine_end(&self, crashes: &CrashSet) -> Option<Instant> {
        let further = crashes.count().checked_sub(self.quarantine_crashes)?;
        let factor = self.quarantine_growth.saturating_pow(further.into());
        let time = QUARANTINE_TIME.saturating_mul(factor);
        Some(crashes.latest()? + time.min(self.quarantine_max))
    }

    /// Time at which an entry is forgotten.
    fn expiry(&self, entry: &SuspectEntry) -> Instant {
        let crashes = &entry.crashes;
        if let Some(end) = self.quarantine_end(crashes) {
            return end + PROBATION_TIME;
        }
        let latest = crashes.latest_known().unwrap_or(entry.learned_at);
        latest + self.suspect_time
    }
}

impl SuspectEntry {
    fn report(&self, now: Instant, fingerprint: RequestFingerprint) -> SuspectReport {
        SuspectReport {
            fingerprint,
            crashes: self.crashes.reports(now),
        }
    }
}
