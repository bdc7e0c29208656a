//! Requests that were in progress when an upstream crashed.
//!
//! After one crash a suspect runs only alone on an instance, so that a second crash convicts it
//! and nobody else; after two it is quarantined for a bounded time. A suspect that finishes well
//! is cleared. When its quarantine ends it is on probation: it runs alone, and another crash
//! quarantines it at once for twice the time.

use crate::protection::fingerprint::RequestFingerprint;

use lagoonshore_state::data_type;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u8 = 2;
/// Time for which a suspect is remembered.
pub const SUSPECT_TIME: Duration = Duration::from_mins(1);
/// Length of the first quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Longest quarantine.
pub const QUARANTINE_TIME_MAX: Duration = Duration::from_hours(1);
/// Time after a quarantine for which the request still runs alone.
pub const PROBATION_TIME: Duration = Duration::from_hours(1);
/// Entries that a table holds at most.
pub const SUSPECTS_MAX: usize = 1024;
/// Entries that leave a full table together.
const EVICTED_TOGETHER: usize = 64;
/// Time for which news of a suspect is passed on; far below [`SUSPECT_TIME`], so that news does
/// not come back to a node that has forgotten it.
pub const SPREAD_TIME: Duration = Duration::from_secs(10);
/// Reports that one message carries at most.
pub const REPORTS_MAX: usize = 64;

data_type! {
    /// `SuspectReport` is what one node tells another of a suspect.
    #[derive(Copy, Eq)]
    pub struct SuspectReport {
        /// The request.
        pub fingerprint: RequestFingerprint,
        /// Crashes to its name.
        pub crashes: u8,
    }
}

/// `SuspectDecision` says how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// Beside others.
    Clear,
    /// With nothing else in progress on the instance.
    Alone,
    /// Not now.
    Quarantined,
}

/// `SuspectCounts` is the state of a table as operators see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct SuspectCounts {
    /// Entries held.
    pub held: usize,
    /// Of these, requests that run alone.
    pub alone: usize,
    /// Of these, requests in quarantine.
    pub quarantined: usize,
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    crashes: u8,
    /// Crashes that a good run has cleared; reports of no more are old news.
    cleared: u8,
    learned: Instant,
    quarantined_until: Option<Instant>,
    forget_at: Instant,
}

/// `SuspectTable` holds the suspects that a node knows.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Says how a request may run.
    #[must_use]
    pub fn decide(&self, now: Instant, fingerprint: RequestFingerprint) -> SuspectDecision {
        self.live(now, fingerprint)
            .map_or(SuspectDecision::Clear, |entry| entry.verdict(now))
    }

    /// Counts a crash of an upstream that was running the request.
    pub fn record_crash(&mut self, now: Instant, fingerprint: RequestFingerprint) -> SuspectReport {
        let before = self.live(now, fingerprint).map_or(0, |entry| entry.crashes);
        let crashes = before.saturating_add(1);
        self.set(
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

    /// Clears a suspect whose run ended with a whole answer.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.cleared = entry.cleared.max(entry.crashes);
            entry.crashes = 0;
            entry.quarantined_until = None;
        }
    }

    /// Takes in what another node knows. News is never older than what is held: the higher count
    /// holds, and the time of what is known already is not prolonged.
    pub fn merge(&mut self, now: Instant, report: SuspectReport) {
        let held = self.live(now, report.fingerprint);
        let known = held.map_or(0, |entry| entry.crashes.max(entry.cleared));
        if report.crashes > known {
            self.set(now, report);
        }
    }

    /// News to spread, the most crashes first.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let is_news = |entry: &SuspectEntry| {
            entry.crashes > 0 && now.saturating_duration_since(entry.learned) < SPREAD_TIME
        };
        let news = self.entries.iter().filter(|(_, entry)| is_news(entry));
        let mut news: Vec<_> = news.map(|(key, entry)| entry.report(*key)).collect();
        news.sort_by_key(|report| std::cmp::Reverse(report.crashes));
        news.truncate(REPORTS_MAX);
        news
    }

    /// What is held of one request; `None` if nothing is held against it.
    #[must_use]
    pub fn report(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        let entry = self.live(now, fingerprint)?;
        (entry.crashes > 0).then(|| entry.report(fingerprint))
    }

    /// All suspects with a crash to their name, by fingerprint.
    #[must_use]
    pub fn held(&self, now: Instant) -> Vec<(SuspectReport, SuspectDecision)> {
        let live = self.entries.iter();
        let live = live.filter(|(_, entry)| entry.crashes > 0 && entry.forget_at > now);
        live.map(|(key, entry)| (entry.report(*key), entry.verdict(now)))
            .collect()
    }

    /// Counts for operators.
    #[must_use]
    pub fn counts(&self, now: Instant) -> SuspectCounts {
        let verdicts: Vec<_> = self
            .held(now)
            .into_iter()
            .map(|(_, verdict)| verdict)
            .collect();
        let count = |wanted| verdicts.iter().filter(|found| **found == wanted).count();
        SuspectCounts {
            held: self.entries.len(),
            alone: count(SuspectDecision::Alone),
            quarantined: count(SuspectDecision::Quarantined),
        }
    }

    fn live(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<&SuspectEntry> {
        let entry = self.entries.get(&fingerprint)?;
        (entry.forget_at > now).then_some(entry)
    }

    fn set(&mut self, now: Instant, report: SuspectReport) {
        let SuspectReport {
            fingerprint,
            crashes,
        } = report;
        let cleared = self.live(now, fingerprint).map_or(0, |entry| entry.cleared);
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let quarantine = quarantine_time(crashes);
        let forget_at = now + quarantine.map_or(SUSPECT_TIME, |time| time + PROBATION_TIME);
        let entry = SuspectEntry {
            crashes,
            cleared,
            learned: now,
            quarantined_until: quarantine.map(|time| now + time),
            forget_at,
        };
        self.entries.insert(fingerprint, entry);
    }

    /// Forgets what is past its time; in a full table also the entries with the fewest crashes,
    /// and among these the oldest. Several go at once, so that a flood costs little for each one.
    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        self.entries.retain(|_, entry| entry.forget_at > now);
        if self.entries.len() < SUSPECTS_MAX {
            return;
        }
        let entries = self.entries.iter();
        let mut weakest: Vec<_> = entries
            .map(|(key, entry)| (entry.crashes, entry.learned, *key))
            .collect();
        weakest.sort_unstable();
        for (_, _, fingerprint) in weakest.into_iter().take(EVICTED_TOGETHER) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl SuspectEntry {
    fn verdict(&self, now: Instant) -> SuspectDecision {
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

/// Length of the quarantine that follows a crash; it doubles with each one after the second.
fn quarantine_time(crashes: u8) -> Option<Duration> {
    let doublings = crashes.checked_sub(QUARANTINE_CRASHES)?;
    let factor = 1_u32.checked_shl(doublings.into()).unwrap_or(u32::MAX);
    Some(
        QUARANTINE_TIME
            .saturating_mul(factor)
            .min(QUARANTINE_TIME_MAX),
    )
}
