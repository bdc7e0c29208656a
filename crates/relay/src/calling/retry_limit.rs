//! Retries that the node may send to each service.

use super::{call_progress::CallProgress, routed_request::RoutedRequest};

use crate::serving::retry_gate::retry_quota;

use lagoonshore_coordination::forwarding::retry_allowance::{AllowanceRules, RetryAllowance};
use lagoonshore_settings::relay_settings::RetrySettings;
use lagoonshore_state::ids::ServiceName;
use std::cell::RefCell;
use tokio::time::Instant;

/// Nodes that are assumed to share the quota until the fleet is known.
const NODES_DEFAULT: u32 = 1;

/// `RetryLimit` counts the requests of the node, and limits the retries among them.
pub(crate) struct RetryLimit {
    allowance: RefCell<RetryAllowance>,
}

impl RetryLimit {
    pub(crate) fn new(retries: RetrySettings) -> Self {
        let allowance = RetryAllowance::new(allowance_rules(retries), NODES_DEFAULT);
        Self {
            allowance: RefCell::new(allowance),
        }
    }

    /// Applies changed retry settings.
    pub(crate) fn set_retry_settings(&self, retries: RetrySettings) {
        let mut allowance = self.allowance.borrow_mut();
        allowance.set_rules(allowance_rules(retries));
    }

    /// Sets the number of nodes that share the quota.
    pub(crate) fn set_nodes(&self, nodes: u32) {
        self.allowance.borrow_mut().set_nodes(nodes);
    }

    /// Counts the first attempt; it counts as a retry if the running request that makes the call is
    /// one.
    pub(crate) fn record_first_attempt(
        &self,
        now: Instant,
        request: &RoutedRequest,
        service: &ServiceName,
    ) {
        let mut allowance = self.allowance.borrow_mut();
        allowance.record_request(now, service);
        if request.has_retried_parent() {
            allowance.record_retry(now, service);
        }
    }

    /// Returns whether a request whose run made calls may be retried. Its calls would be made again
    /// too, at services further down the call chain where they can no longer be refused, so the
    /// allowance must cover them as well.
    pub(crate) fn can_retry_calls(&self, request: &RoutedRequest, progress: &CallProgress) -> bool {
        let calls = progress.nested_calls.calls;
        if calls == 0 {
            return true;
        }
        let (now, service) = (Instant::now(), &progress.service);
        let mut allowance = self.allowance.borrow_mut();
        allowance.spend(now, service, request.importance, 1 + calls)
    }
}

fn allowance_rules(retries: RetrySettings) -> AllowanceRules {
    AllowanceRules {
        quota: retry_quota(retries),
        ..AllowanceRules::default()
    }
}
