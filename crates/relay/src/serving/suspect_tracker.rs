//! Crash counts of requests that may have crashed an upstream.

use lagoonshore_coordination::protection::{
    fingerprint::{self, RequestFingerprint},
    suspects::{SuspectReport, SuspectTable},
};
use lagoonshore_protocol::relay_messages::RelayRequest;
use std::cell::RefCell;
use tokio::time::Instant;

/// `SuspectTracker` is the suspect table shared by forwarding and execution.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    table: RefCell<SuspectTable>,
}

impl SuspectTracker {
    /// Crashes counted for a request, as a report for other nodes; `None` if there are none.
    #[must_use]
    pub fn report(&self, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        self.table.borrow().report(Instant::now(), fingerprint)
    }

    /// Number of crashes counted for a request.
    #[must_use]
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> u8 {
        self.report(fingerprint).map_or(0, |report| report.crashes)
    }

    /// Merges the reports of other nodes.
    pub fn merge(&self, reports: &[SuspectReport]) {
        let mut table = self.table.borrow_mut();
        for report in reports {
            table.merge(Instant::now(), *report);
        }
    }

    /// Reports to send to other nodes.
    #[must_use]
    pub fn reports(&self) -> Vec<SuspectReport> {
        self.table.borrow().reports(Instant::now())
    }

    /// Clears a request that ran to its end without a failure.
    pub(crate) fn record_success(&self, fingerprint: RequestFingerprint) {
        self.table.borrow_mut().record_success(fingerprint);
    }

    /// Counts a crash of the upstream during a run of the request.
    pub(crate) fn record_crash(&self, fingerprint: RequestFingerprint) -> SuspectReport {
        let mut table = self.table.borrow_mut();
        table.record_crash(Instant::now(), fingerprint)
    }
}

/// Fingerprint of a request; a retry has the same one at all nodes.
#[must_use]
pub fn fingerprint_of(request: &RelayRequest) -> RequestFingerprint {
    let RelayRequest {
        origin,
        method,
        target,
        body,
        ..
    } = request;
    fingerprint::of_request(None, origin, method, target, body)
}
