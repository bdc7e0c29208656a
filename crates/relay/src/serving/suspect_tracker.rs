//! What the node holds against requests that may have crashed upstreams.

use lagoonshore_coordination::protection::{
    fingerprint::{self, RequestFingerprint},
    suspects::{SuspectReport, SuspectTable},
};
use lagoonshore_protocol::relay_messages::RelayRequest;
use std::cell::RefCell;
use tokio::time::Instant;

/// `SuspectTracker` is shared by the side that sends requests and the one that runs them.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    table: RefCell<SuspectTable>,
}

impl SuspectTracker {
    /// What is held against a request.
    #[must_use]
    pub fn report(&self, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
        self.table.borrow().report(Instant::now(), fingerprint)
    }

    /// Crashes held against a request.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: RequestFingerprint) -> u8 {
        self.report(fingerprint).map_or(0, |report| report.crashes)
    }

    /// Takes in what other nodes hold against requests.
    pub fn merge(&self, reports: &[SuspectReport]) {
        let mut table = self.table.borrow_mut();
        for report in reports {
            table.merge(Instant::now(), *report);
        }
    }

    /// Suspects of which other nodes should hear.
    #[must_use]
    pub fn reports(&self) -> Vec<SuspectReport> {
        self.table.borrow().reports(Instant::now())
    }

    /// Clears a request that ran to a good end.
    pub(crate) fn record_success(&self, fingerprint: RequestFingerprint) {
        self.table.borrow_mut().record_success(fingerprint);
    }

    /// Counts a crash while the request ran.
    pub(crate) fn record_crash(&self, fingerprint: RequestFingerprint) -> SuspectReport {
        let mut table = self.table.borrow_mut();
        table.record_crash(Instant::now(), fingerprint)
    }
}

/// Fingerprint by which all nodes recognise a request that is sent again.
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
