//! Recognition of callers that come back after a refusal.

use crate::calling::routed_request::RoutedRequest;

use lagoonshore_coordination::{
    forwarding::return_table::{RefusedAttempt, ReturnTable},
    protection::fingerprint::{self, RequestFingerprint},
};
use std::{cell::RefCell, time::Duration};
use tokio::time::Instant;

/// Bytes at the start of a body that are compared.
const BODY_BYTES_MAX: usize = 4096;

/// `ReturnRecognition` tells the returns of refused callers from first attempts. The calls of running
/// requests are not compared with earlier ones.
#[derive(Debug, Default)]
pub(crate) struct ReturnRecognition {
    returns: RefCell<ReturnTable>,
}

impl ReturnRecognition {
    /// Returns the time that a caller had spent on a request before this attempt, if the node refused
    /// it before and its return is due. `caller_deadline` is the time until which the caller waits.
    pub(crate) fn time_spent(&self, request: &RoutedRequest, caller_deadline: Instant) -> Duration {
        let now = Instant::now();
        let mut returns = self.returns.borrow_mut();
        if request.parent.is_some() || returns.is_empty(now) {
            return Duration::ZERO;
        }
        let first_received = returns.take_return(now, fingerprint_of(request), caller_deadline);
        first_received.map_or(Duration::ZERO, |first| request.received - first)
    }

    /// Records that the caller of a request was told to come back after `retry_after`.
    pub(crate) fn expect_return(
        &self,
        request: &RoutedRequest,
        caller_deadline: Instant,
        retry_after: Duration,
    ) {
        if request.parent.is_some() {
            return;
        }
        let attempt = RefusedAttempt {
            first_received: request.received - request.spent,
            caller_deadline,
            retry_after,
        };
        let mut returns = self.returns.borrow_mut();
        returns.record_refusal(Instant::now(), fingerprint_of(request), attempt);
    }
}

/// Fingerprint of a request and its account, by which its return is recognised.
fn fingerprint_of(request: &RoutedRequest) -> RequestFingerprint {
    let account = request.account.as_deref().unwrap_or_default();
    let RoutedRequest {
        method,
        target,
        body,
        ..
    } = request;
    let body_start = &body[..body.len().min(BODY_BYTES_MAX)];
    fingerprint::of_request(None, account, method, target, body_start)
}
