//! A request at the upstream, from its hand-over to its end.

use crate::{
    node::SharedNode,
    protection::{crash_response, health_probe},
};

use lagoonshore_coordination::protection::{
    fingerprint::RequestFingerprint, upstream_health::DispatchResult,
};
use lagoonshore_transport::TransportError;
use tokio::time::Instant;

/// `DispatchTracker` follows one request at the upstream. Dropped before its end was noted, it
/// counts as given up.
pub struct DispatchTracker {
    node: SharedNode,
    fingerprint: RequestFingerprint,
    is_open: bool,
}

impl DispatchTracker {
    /// Notes a hand-over.
    #[must_use]
    pub fn start(node: &SharedNode, fingerprint: RequestFingerprint) -> Self {
        node.protection.crashes.borrow_mut().record_dispatch();
        Self {
            node: node.clone(),
            fingerprint,
            is_open: true,
        }
    }

    /// Notes a whole answer: the upstream is alive and the request is cleared.
    pub fn record_response(mut self) {
        self.is_open = false;
        let protection = &self.node.protection;
        protection.crashes.borrow_mut().record_response();
        protection
            .suspects
            .borrow_mut()
            .record_success(self.fingerprint);
        health_probe::record_dispatch(&self.node, DispatchResult::Answered);
    }

    /// Notes that no whole answer came. Returns once a crash, if it was one, is counted and other
    /// nodes were told; that goes on also if the caller leaves meanwhile. `held` is dropped as
    /// soon as the crash is counted.
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
                // A task that was not cancelled ends without an error.
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
