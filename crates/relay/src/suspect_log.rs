//! Log lines about suspects, limited in number.

use crate::{events, line_budget::LineBudget};

use lagoonshore_coordination::protection::{
    crash_set::CrashId,
    fingerprint::RequestFingerprint,
    suspects::{CrashCount, SuspectState},
};
use lagoonshore_state::units::whole_millis;
use tracing::{info, warn};

/// Lines in one [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const LINES_MAX: u32 = 25;

/// `SuspectLog` logs the decisions on suspects with what they are based on.
#[derive(Debug)]
pub(crate) struct SuspectLog {
    lines: LineBudget,
}

impl Default for SuspectLog {
    fn default() -> Self {
        Self {
            lines: LineBudget::new(LINES_MAX),
        }
    }
}

impl SuspectLog {
    /// Logs that the upstream crashed while it ran the request `id`.
    pub(crate) fn log_crash(
        &self,
        id: &str,
        fingerprint: RequestFingerprint,
        crash: CrashId,
        count: CrashCount,
    ) {
        let Some(left_out) = self.lines.take() else {
            return;
        };
        warn!(
            event = events::CRASH_COUNTED,
            request = id,
            fingerprint,
            crash = crash.number,
            crashes = count.crashes,
            is_cleared = count.is_cleared,
            left_out,
            "upstream: crashed while it ran the request"
        );
    }

    /// Logs that a request is refused because of its quarantine.
    pub(crate) fn log_quarantined(
        &self,
        id: &str,
        fingerprint: RequestFingerprint,
        state: SuspectState,
    ) {
        let Some(left_out) = self.lines.take() else {
            return;
        };
        info!(
            event = events::REQUEST_QUARANTINED,
            request = id,
            fingerprint,
            crashes = state.crashes,
            latest_ms = whole_millis(state.latest_age),
            left_ms = state.quarantine_left.map(whole_millis),
            left_out,
            "suspects: request is quarantined"
        );
    }

    /// Logs that a request runs once after its quarantine.
    pub(crate) fn log_trial(&self, id: &str, fingerprint: RequestFingerprint, state: SuspectState) {
        let Some(left_out) = self.lines.take() else {
            return;
        };
        info!(
            event = events::TRIAL_STARTED,
            request = id,
            fingerprint,
            crashes = state.crashes,
            latest_ms = whole_millis(state.latest_age),
            left_out,
            "suspects: request runs on probation"
        );
    }

    /// Logs that a complete run cleared a suspect.
    pub(crate) fn log_cleared(&self, fingerprint: RequestFingerprint, state: SuspectState) {
        let Some(left_out) = self.lines.take() else {
            return;
        };
        info!(
            event = events::SUSPECT_CLEARED,
            fingerprint,
            crashes = state.crashes,
            latest_ms = whole_millis(state.latest_age),
            left_out,
            "suspects: cleared by a complete run"
        );
    }
}
