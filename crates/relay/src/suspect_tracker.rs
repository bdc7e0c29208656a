//! The suspects that a node knows, shared by the side that forwards requests and the side that runs
//! them.

use crate::suspect_log::SuspectLog;

use lagoonshore_coordination::protection::{
    crash_set::{CrashId, CrashReport},
    fingerprint::{self, RequestFingerprint},
    suspects::{SuspectReport, SuspectRules, SuspectState, SuspectTable},
};
use lagoonshore_state::ids::ServiceName;
use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Suspects run beside other requests, so that it takes several crashes to tell the cause from what
/// was in progress with it.
const RULES: SuspectRules = SuspectRules {
    quarantine_crashes: 3,
    suspect_time: Duration::from_mins(10),
    quarantine_growth: 12,
    quarantine_max: Duration::from_hours(24),
};

/// `SuspectStatus` says whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It may run like any other.
    Clear,
    /// Its quarantine is over: it may run once at a time, on one instance of the fleet.
    Probation(SuspectState),
    /// It may not run.
    Quarantined(SuspectState),
}

/// `SuspectTracker` holds the suspects and their runs on probation.
#[derive(Debug)]
pub struct SuspectTracker {
    table: RefCell<SuspectTable>,
    trials: RefCell<BTreeSet<RequestFingerprint>>,
    log: SuspectLog,
}

/// `TrialGuard` marks the run of a request on probation until it is dropped.
#[derive(Debug)]
pub(crate) struct TrialGuard {
    tracker: Rc<SuspectTracker>,
    fingerprint: RequestFingerprint,
}

impl Default for SuspectTracker {
    fn default() -> Self {
        Self {
            table: RefCell::new(SuspectTable::new(RULES)),
            trials: RefCell::default(),
            log: SuspectLog::default(),
        }
    }
}

impl SuspectTracker {
    /// Returns whether nothing is known of any request, so that no fingerprint need be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Returns whether a request may run.
    #[must_use]
    pub fn status(&self, fingerprint: RequestFingerprint) -> SuspectStatus {
        let state = self.table.borrow().state(Instant::now(), fingerprint);
        let Some((state, left)) = state.and_then(|state| Some((state, state.quarantine_left?)))
        else {
            return SuspectStatus::Clear;
        };
        if left.is_zero() {
            SuspectStatus::Probation(state)
        } else {
            SuspectStatus::Quarantined(state)
        }
    }

    /// Returns whether a request may run once at a time, on the instance chosen for that.
    #[must_use]
    pub fn is_on_probation(&self, fingerprint: RequestFingerprint) -> bool {
        matches!(self.status(fingerprint), SuspectStatus::Probation(_))
    }

    /// What is known of a request, as a report for other nodes; `None` if nothing is.
    #[must_use]
    pub fn report(&self, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        self.table.borrow().report(Instant::now(), fingerprint)
    }

    /// Merges the reports of other nodes.
    pub fn merge(&self, reports: &[SuspectReport]) {
        let mut table = self.table.borrow_mut();
        for report in reports {
            table.merge(Instant::now(), report);
        }
    }

    /// Merges the crashes that another node knows of for one request.
    pub fn merge_crashes(&self, fingerprint: RequestFingerprint, crashes: &[CrashReport]) {
        if crashes.is_empty() {
            return;
        }
        let crashes = crashes.to_vec();
        self.merge(&[SuspectReport {
            fingerprint,
            crashes,
        }]);
    }

    /// Reports of what was learned recently, to send to other nodes.
    #[must_use]
    pub fn reports(&self) -> Vec<SuspectReport> {
        self.table.borrow().reports(Instant::now())
    }

    /// Reports of all quarantines, for a node that has started again.
    #[must_use]
    pub fn quarantine_reports(&self) -> Vec<SuspectReport> {
        self.table.borrow().quarantine_reports(Instant::now())
    }

    /// Starts the run of the request `id` on probation; `None` if another one is in progress.
    pub(crate) fn start_trial(
        self: &Rc<Self>,
        id: &str,
        fingerprint: RequestFingerprint,
        state: SuspectState,
    ) -> Option<TrialGuard> {
        let is_first = self.trials.borrow_mut().insert(fingerprint);
        if !is_first {
            return None;
        }
        self.log.log_trial(id, fingerprint, state);
        Some(TrialGuard {
            tracker: Rc::clone(self),
            fingerprint,
        })
    }

    /// Logs that the request `id` is refused because of its quarantine.
    pub(crate) fn log_quarantined(
        &self,
        id: &str,
        fingerprint: RequestFingerprint,
        state: SuspectState,
    ) {
        self.log.log_quarantined(id, fingerprint, state);
    }

    /// Records a request that ran to its end without a failure, which clears it.
    pub(crate) fn record_success(&self, fingerprint: RequestFingerprint) {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let state = table.state(now, fingerprint);
        if table.record_success(now, fingerprint)
            && let Some(state) = state
        {
            self.log.log_cleared(fingerprint, state);
        }
    }

    /// Counts a crash of the upstream during a run of the request with this `id`.
    pub(crate) fn record_crash(&self, id: &str, fingerprint: RequestFingerprint, crash: CrashId) {
        let mut table = self.table.borrow_mut();
        let count = table.record_crash(Instant::now(), fingerprint, crash);
        self.log.log_crash(id, fingerprint, crash, count);
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut trials = self.tracker.trials.borrow_mut();
        trials.remove(&self.fingerprint);
    }
}

/// Fingerprint of a request; a retry has the same one at all nodes.
#[must_use]
pub fn fingerprint_of(
    origin: &ServiceName,
    method: &str,
    target: &str,
    body: &[u8],
) -> RequestFingerprint {
    fingerprint::of_request(None, origin, method, target, body)
}
