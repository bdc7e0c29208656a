//! What is known of a request as a suspect, before it is sent.

use super::routed_request::RoutedRequest;

use crate::suspect_tracker::{self, SuspectTracker};

use lagoonshore_coordination::protection::{
    crash_set::CrashReport, fingerprint::RequestFingerprint, suspects::SuspectReport,
};
use lagoonshore_state::ids::ServiceName;
use std::rc::Rc;

/// `SuspectLookup` finds the requests of one service among the suspects.
#[derive(Clone)]
pub(crate) struct SuspectLookup {
    origin: ServiceName,
    suspects: Rc<SuspectTracker>,
}

impl SuspectLookup {
    pub(crate) const fn new(origin: ServiceName, suspects: Rc<SuspectTracker>) -> Self {
        Self { origin, suspects }
    }

    /// Service whose requests are looked up.
    pub(crate) const fn origin(&self) -> &ServiceName {
        &self.origin
    }

    /// Fingerprint of the request; `None` unless it may only run on the instance chosen for it.
    pub(crate) fn on_probation(&self, request: &RoutedRequest) -> Option<RequestFingerprint> {
        let fingerprint = self.fingerprint(request);
        fingerprint.filter(|fingerprint| self.suspects.is_on_probation(*fingerprint))
    }

    /// Upstream crashes that are known to have happened during the request.
    pub(crate) fn crashes(&self, request: &RoutedRequest) -> Vec<CrashReport> {
        let fingerprint = self.fingerprint(request);
        let report = fingerprint.and_then(|fingerprint| self.suspects.report(fingerprint));
        report.map_or_else(Vec::new, |report| report.crashes)
    }

    /// Merges what another node reported of a request.
    pub(crate) fn merge(&self, report: &SuspectReport) {
        self.suspects.merge(std::slice::from_ref(report));
    }

    /// Fingerprint of the request; `None` while there are no suspects at all.
    fn fingerprint(&self, request: &RoutedRequest) -> Option<RequestFingerprint> {
        let RoutedRequest {
            method,
            target,
            body,
            ..
        } = request;
        let has_suspects = !self.suspects.is_empty();
        has_suspects.then(|| suspect_tracker::fingerprint_of(&self.origin, method, target, body))
    }
}
