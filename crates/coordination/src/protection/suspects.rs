//! Suspects: requests that were in progress when an upstream crashed.
//!
//! After one crash a suspect runs only alone on an instance, so that a second crash can be
//! attributed to it and to no other request; after two crashes it is quarantined for a bounded
//! time. A suspect that finishes with a complete response is cleared. After its quarantine it is on
//! probation: it runs alone, and another crash quarantines it again for twice the time.

use crate::protection::fingerprint::RequestFingerprint;

use lagoonshore_state::data_type;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u8 = 2;
/// Retention time of a suspect that is not quarantined.
pub const SUSPECT_TIME: Duration = Duration::from_mins(1);
/// Duration of the first quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Maximum duration of a quarantine.
pub const QUARANTINE_TIME_MAX: Duration = Duration::from_hours(1);
/// Time after a quarantine during which the request still runs alone.
pub const PROBATION_TIME: Duration = Duration::from_hours(1);
/// Maximum number of entries in a table.
pub const SUSPECTS_MAX: usize = 1024;
/// Number of entries that are evicted from a full table at once.
const EVICTION_BATCH: usize = 64;
/// Time for which a crash is reported to other nodes. It is far below [`SUSPECT_TIME`], so that a
/// report does not return to a node whose entry has expired.
pub const REPORT_TIME: Duration = Duration::from_secs(10);
/// Maximum number of reports in one message.
pub const REPORTS_MAX: usize = 64;

/// `CrashId` identifies one crash of one upstream; random, so that all nodes can tell crashes apart.
pub type CrashId = u64;

data_type! {
    /// `SuspectReport` is a suspect as one node reports it to another.
    #[derive(Copy, Eq)]
    pub struct SuspectReport {
        /// Fingerprint of the request.
        pub fingerprint: RequestFingerprint,
        /// Number of crashes attributed to it.
        pub crashes: u8,
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

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    crashes: u8,
    /// Crashes cleared by a successful run; reports of no more crashes than this are outdated.
    cleared_crashes: u8,
    learned_at: Instant,
    quarantined_until: Option<Instant>,
    expires_at: Instant,
}

/// `SuspectTable` holds the suspects known to a node.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Returns whether and how a request may run.
    #[must_use]
    pub fn decide(&self, now: Instant, fingerprint: RequestFingerprint) -> SuspectDecision {
        self.unexpired(now, fingerprint)
            .map_or(SuspectDecision::Clear, |entry| entry.decide(now))
    }

    /// Counts a crash of an upstream that was running the request and returns the report of it.
    pub fn record_crash(&mut self, now: Instant, fingerprint: RequestFingerprint) -> SuspectReport {
        let before = self
            .unexpired(now, fingerprint)
            .map_or(0, |entry| entry.crashes);
        let crashes = before.saturating_add(1);
        self.insert(
            now,
            SuspectReport {
                fingerprint,
                crashes,
            },
        );
        SuspectReport {
            fingerprint,
            crashes,
        }
    }

    /// Clears a suspect that finished with a complete response.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.cleared_crashes = entry.cleared_crashes.max(entry.crashes);
            entry.crashes = 0;
            entry.quarantined_until = None;
        }
    }

    /// Merges a report of another node: it replaces the entry only if it counts more crashes, so a
    /// report of known crashes does not extend the expiry.
    pub fn merge(&mut self, now: Instant, report: SuspectReport) {
        let held = self.unexpired(now, report.fingerprint);
        let known = held.map_or(0, |entry| entry.crashes.max(entry.cleared_crashes));
        if report.crashes > known {
            self.insert(now, report);
        }
    }

    /// Reports of recent crashes for other nodes, by falling number of crashes.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let is_recent = |entry: &SuspectEntry| {
            entry.crashes > 0 && now.saturating_duration_since(entry.learned_at) < REPORT_TIME
        };
        let reports = self.entries.iter().filter(|(_, entry)| is_recent(entry));
        let mut reports: Vec<_> = reports.map(|(key, entry)| entry.report(*key)).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.crashes));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Report of one request; `None` if no crash is attributed to it.
    #[must_use]
    pub fn report(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        let entry = self.unexpired(now, fingerprint)?;
        (entry.crashes > 0).then(|| entry.report(fingerprint))
    }

    /// All suspects with at least one crash, by fingerprint.
    #[must_use]
    pub fn held(&self, now: Instant) -> Vec<(SuspectReport, SuspectDecision)> {
        let listed = self.entries.iter();
        let listed = listed.filter(|(_, entry)| entry.crashes > 0 && entry.expires_at > now);
        listed
            .map(|(key, entry)| (entry.report(*key), entry.decide(now)))
            .collect()
    }

    /// Gauges of the table at `now`.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let decisions: Vec<_> = self
            .held(now)
            .into_iter()
            .map(|(_, decision)| decision)
            .collect();
        let count = |wanted| decisions.iter().filter(|found| **found == wanted).count();
        SuspectCounts {
            held: self.entries.len(),
            alone: count(SuspectDecision::Alone),
            quarantined: count(SuspectDecision::Quarantined),
        }
    }

    fn unexpired(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.expires_at > now).then_some(entry)
    }

    fn insert(&mut self, now: Instant, report: SuspectReport) {
        let SuspectReport {
            fingerprint,
            crashes,
        } = report;
        let cleared_crashes = self
            .unexpired(now, fingerprint)
            .map_or(0, |entry| entry.cleared_crashes);
        if !self.entries.contains_key(&fingerprint) {
            self.evict(now);
        }
        let quarantine = quarantine_time(crashes);
        let expires_at = now + quarantine.map_or(SUSPECT_TIME, |time| time + PROBATION_TIME);
        let entry = SuspectEntry {
            crashes,
            cleared_crashes,
            learned_at: now,
            quarantined_until: quarantine.map(|time| now + time),
            expires_at,
        };
        self.entries.insert(fingerprint, entry);
    }

    /// Makes room in a full table: removes expired entries, or if none has expired the entries with
    /// the fewest crashes and among these the oldest. It removes several at once, so that a flood
    /// of suspects costs little per entry.
    fn evict(&mut self, now: Instant) {
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        self.entries.retain(|_, entry| entry.expires_at > now);
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        let entries = self.entries.iter();
        let mut candidates: Vec<_> = entries
            .map(|(key, entry)| (entry.crashes, entry.learned_at, *key))
            .collect();
        candidates.sort_unstable();
        for (_, _, fingerprint) in candidates.into_iter().take(EVICTION_BATCH) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl SuspectEntry {
    fn decide(&self, now: Instant) -> SuspectDecision {
        if self.quarantined_until.is_some_and(|until| until > now) {
            SuspectDecision::Quarantined
        } else if self.crashes > 0 {
            SuspectDecision::Alone
        } else {
            SuspectDecision::Clear
        }
    }

    const fn report(&self, fingerprint: RequestFingerprint) -> SuspectReport {
        SuspectReport {
            fingerprint,
            crashes: self.crashes,
        }
    }
}

/// Duration of the quarantine after this many crashes, doubled with each crash after the second;
/// `None` if they are too few for a quarantine.
fn quarantine_time(crashes: u8) -> Option<Duration> {
    let doublings = crashes.checked_sub(QUARANTINE_CRASHES)?;
    let factor = 1_u32.checked_shl(doublings.into()).unwrap_or(u32::MAX);
    Some(
        QUARANTINE_TIME
            .saturating_mul(factor)
            .min(QUARANTINE_TIME_MAX),
    )
}
