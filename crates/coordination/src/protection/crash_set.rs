//! The crashes that are attributed to one request.
//!
//! Each crash has an id, so that nodes can join what they know as sets: however often and by however
//! many nodes a crash is reported, it counts once, and crashes that several nodes saw add up. A crash
//! that was cleared stays in the set as cleared, so that an outdated report does not bring it back.

use lagoonshore_state::{data_type, id_type, units::whole_millis};
use std::time::Duration;
use tokio::time::Instant;

/// Most crashes that are kept for one request.
pub const CRASHES_MAX: usize = 8;

id_type! {
    /// `CrashId` identifies one crash of one upstream, the same at all nodes.
    #[derive(Default)]
    pub struct CrashId {
        /// Hash of the name of the instance.
        pub instance: u64,
        /// Random number that tells the crashes of the instance apart; `None` for a crash that was not
        /// observed but assumed by a sender whose link to the instance was lost.
        pub number: Option<u32>,
    }
}

data_type! {
    /// `CrashReport` is one crash as a node reports it to another.
    #[derive(Copy, Eq)]
    pub struct CrashReport {
        /// Id of the crash.
        pub id: CrashId,
        /// Time since the crash, in milliseconds.
        pub age_ms: u32,
        /// Whether the request was found not to be the cause.
        pub is_cleared: bool,
    }
}

/// `CrashMark` is one crash that is attributed to a request, or was until it was cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CrashMark {
    pub(crate) id: CrashId,
    pub(crate) at: Instant,
    pub(crate) is_cleared: bool,
}

/// `CrashSet` holds the crashes of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSet {
    marks: Vec<CrashMark>,
}

impl CrashMark {
    /// Creates the mark of a crash that another node reported.
    pub(crate) fn of_report(now: Instant, report: CrashReport) -> Self {
        let age = Duration::from_millis(report.age_ms.into());
        Self {
            id: report.id,
            at: now.checked_sub(age).unwrap_or(now),
            is_cleared: report.is_cleared,
        }
    }
}

impl CrashSet {
    /// Returns whether the crash is in the set, cleared or not.
    pub(crate) fn contains(&self, id: CrashId) -> bool {
        self.marks.iter().any(|mark| mark.id == id)
    }

    /// Adds a crash, or joins it with what is known of it; returns whether the set changed. A full
    /// set drops its oldest crash, a cleared one first.
    pub(crate) fn join(&mut self, mark: CrashMark) -> bool {
        if let Some(known) = self.marks.iter_mut().find(|known| known.id == mark.id) {
            let before = *known;
            known.at = known.at.min(mark.at);
            known.is_cleared |= mark.is_cleared;
            return known.is_cleared != before.is_cleared;
        }
        if self.marks.len() >= CRASHES_MAX {
            let places = self.marks.iter().enumerate();
            let oldest = places.min_by_key(|(_, known)| (!known.is_cleared, known.at));
            if let Some((index, _)) = oldest {
                self.marks.remove(index);
            }
        }
        self.marks.push(mark);
        true
    }

    /// Clears all crashes; returns whether there was one to clear.
    pub(crate) fn clear(&mut self) -> bool {
        let had_crashes = self.count() > 0;
        for mark in &mut self.marks {
            mark.is_cleared = true;
        }
        had_crashes
    }

    /// Number of crashes that are not cleared. An assumed crash of an instance is not counted beside
    /// an observed one, because both may be the same.
    pub(crate) fn count(&self) -> u8 {
        let counted = self.counted().count();
        u8::try_from(counted).unwrap_or(u8::MAX)
    }

    /// Time of the latest crash that is not cleared.
    pub(crate) fn latest(&self) -> Option<Instant> {
        self.counted().map(|mark| mark.at).max()
    }

    /// Time of the latest crash, cleared ones included.
    pub(crate) fn latest_known(&self) -> Option<Instant> {
        self.marks.iter().map(|mark| mark.at).max()
    }

    /// Crashes as they are reported to other nodes.
    pub(crate) fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let report = |mark: &CrashMark| CrashReport {
            id: mark.id,
            age_ms: whole_millis(now.saturating_duration_since(mark.at)),
            is_cleared: mark.is_cleared,
        };
        self.marks.iter().map(report).collect()
    }

    fn counted(&self) -> impl Iterator<Item = &CrashMark> {
        let is_observed = |instance: u64| {
            let marks = self.marks.iter();
            let mut observed = marks.filter(|mark| mark.id.number.is_some() && !mark.is_cleared);
            observed.any(|mark| mark.id.instance == instance)
        };
        self.marks.iter().filter(move |mark| {
            !mark.is_cleared && (mark.id.number.is_some() || !is_observed(mark.id.instance))
        })
    }
}
