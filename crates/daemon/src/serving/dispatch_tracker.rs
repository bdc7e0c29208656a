//! Crash and health tracking of one request at the upstream.

use crate::{
    node::SharedNode,
    protection::{crash_response, health_probe},
};

use lagoonshore_coordination::protection::{
    fingerprint::RequestFingerprint, upstream_health::DispatchResult,
};
use lagoonshore_transport::TransportError;
use tokio::time::Instant;

/// `DispatchTracker` follows one request at the upstream. Dropped before its end was recorded, the
/// request counts as abandoned.
pub struct DispatchTracker {
    node: SharedNode,
    fingerprint: RequestFingerprint,
    is_open: bool,
}

impl DispatchTracker {
    /// Records the dispatch of a request.
    #[must_use]
    pub fn start(node: &SharedNode, fingerprint: RequestFingerprint) -> Self {
        node.protection.crashes.borrow_mut().record_dispatch();
        Self {
            node: node.clone(),
            fingerprint,
            is_open: true,
        }
    }

    /// Records a complete response: the upstream is alive and the request is cleared.
    pub fn record_response(mut self) {
        self.is_open = false;
        let protection = &self.node.protection;
        protection.crashes.borrow_mut().record_response();
        protection
            .suspects
            .borrow_mut()
            .record_success(Instant::now(), self.fingerprint);
        health_probe::record_dispatch(&self.node, DispatchResult::Answered);
    }

    /// Records that no complete response came. Returns once a crash, if there was one, is counted
    /// and reported to other nodes; that continues even if the caller disconnects. `permit` is
    /// dropped as soon as the crash is counted.
    pub async fn record_failure<H: 'static>(mut self, error: &TransportError, permit: H) {
        match error {
            TransportError::Connect { .. } => {
                self.is_open = false;
                self.node
                    .protection
                    .crashes
                    .borrow_mut()
                    .record_undelivered();
                health_probe::record_dispatch(&self.node, DispatchResult::Refused);
            }
            TransportError::TimedOut { .. } => {}
            _ => {
                self.is_open = false;
                let (node, fingerprint) = (self.node.clone(), self.fingerprint);
                node.protection
                    .crashes
                    .borrow_mut()
                    .record_loss(Instant::now());
                // The spawned task is never cancelled, so joining it does not fail.
                let _ = actix_rt::spawn(crash_response::check_for_crash(node, fingerprint, permit))
                    .await;
            }
        }
    }
}

impl Drop for DispatchTracker {
    fn drop(&mut self) {
        if self.is_open {
            let mut crashes = self.node.protection.crashes.borrow_mut();
            crashes.record_abandoned(Instant::now(), self.fingerprint);
        }
    }
}
