//! A request at the upstream, from its hand-over to its end.

use crate::{
    guards::{crash_response, health_probe},
    node::SharedNode,
};

use lagoonshore_coordination::protection::{
    fingerprint::RequestFingerprint, upstream_health::DispatchResult,
};
use lagoonshore_transport::TransportError;
use tokio::time::Instant;

/// `HandOverMark` follows one request at the upstream. Dropped before its end was noted, it
/// counts as given up.
pub struct HandOverMark {
    node: SharedNode,
    fingerprint: RequestFingerprint,
    is_open: bool,
}

impl HandOverMark {
    /// Notes a hand-over.
    #[must_use]
    pub fn open(node: &SharedNode, fingerprint: RequestFingerprint) -> Self {
        node.guard.crashes.borrow_mut().record_dispatch();
        Self {
            node: node.clone(),
            fingerprint,
            is_open: true,
        }
    }

    /// Notes a whole answer: the upstream is alive and the request is cleared.
    pub fn answered(mut self) {
        self.is_open = false;
        let guard = &self.node.guard;
        guard.crashes.borrow_mut().record_response();
        guard.suspects.borrow_mut().record_success(self.fingerprint);
        health_probe::note_hand_over(&self.node, DispatchResult::Answered);
    }

    /// Notes that no whole answer came. Returns once a crash, if it was one, is counted and other
    /// nodes were told; that goes on also if the caller leaves meanwhile. `held` is dropped as
    /// soon as the crash is counted.
    pub async fn failed<H: 'static>(mut self, fault: &TransportError, held: H) {
        match fault {
            TransportError::Connect { .. } => {
                self.is_open = false;
                self.node.guard.crashes.borrow_mut().record_undelivered();
                health_probe::note_hand_over(&self.node, DispatchResult::Refused);
            }
            TransportError::TimedOut { .. } => {}
            _ => {
                self.is_open = false;
                let (node, fingerprint) = (self.node.clone(), self.fingerprint);
                node.guard.crashes.borrow_mut().record_loss(Instant::now());
                // A task that was not cancelled ends without an error.
                let _ = actix_rt::spawn(crash_response::follow_loss(node, fingerprint, held)).await;
            }
        }
    }
}

impl Drop for HandOverMark {
    fn drop(&mut self) {
        if self.is_open {
            let mut crashes = self.node.guard.crashes.borrow_mut();
            crashes.record_abandoned(Instant::now(), self.fingerprint);
        }
    }
}
