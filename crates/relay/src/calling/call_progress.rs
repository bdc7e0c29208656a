//! State of one request across its attempts at different instances.

use super::{
    peer_links::LinkError,
    peer_table::PeerTarget,
    routed_request::{ForwardOutcome, RoutedRequest},
};

use crate::serving::running_table::CallTotals;

use compact_str::CompactString;
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{
    CallFailure, DeliveryStatus, NodeStatus, RelayRefusal, RelayResponse,
};
use lagoonshore_state::{ids::ServiceName, instance_table::InstanceKey};
use std::time::Duration;

/// Shortest `Retry-After` sent with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Longest `Retry-After` sent with a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// `Retry-After` sent when no instance gave an estimate.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);

/// `AttemptStage` is how far an attempt got that has no result yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// Nothing of the request was sent.
    Unsent,
    /// The request was sent and may run.
    Sent,
}

/// `CallProgress` records what the attempts of one request have led to so far.
pub(crate) struct CallProgress {
    pub(crate) service: ServiceName,
    pub(crate) tried: Vec<InstanceKey>,
    /// Attempts that an upstream received or may have received, rejected ones included.
    pub(crate) deliveries: u32,
    /// Instances whose upstreams received or may have received the request.
    pub(crate) receivers: Vec<InstanceKey>,
    /// Instances whose upstreams rejected the request for overload; they may be tried again.
    pub(crate) rejected: Vec<InstanceKey>,
    /// Instance of the attempt in progress.
    current: Option<InstanceKey>,
    pub(crate) may_have_run: bool,
    /// How far the attempt in progress got.
    pub(crate) stage: AttemptStage,
    /// Whether the last attempt ended with a rejection by the upstream itself.
    pub(crate) is_rejected: bool,
    /// Totals of the nested calls that all attempts made.
    pub(crate) nested_calls: CallTotals,
    /// Whether the overload is at a service that the instances call, so that other instances are no
    /// better.
    pub(crate) is_nested_overload: bool,
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Option<Duration>,
    /// Failure response of an upstream, kept while other instances are tried.
    pub(crate) failure: Option<RelayResponse>,
    pub(crate) last_instance: CompactString,
    /// Load reported by the node of the last instance.
    pub(crate) load: NodeStatus,
}

impl CallProgress {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            tried: Vec::new(),
            deliveries: 0,
            receivers: Vec::new(),
            rejected: Vec::new(),
            current: None,
            may_have_run: false,
            stage: AttemptStage::Unsent,
            is_rejected: false,
            nested_calls: CallTotals::default(),
            is_nested_overload: false,
            reason: RefusalReason::NoInstance,
            retry_after: None,
            failure: None,
            last_instance: CompactString::default(),
            load: NodeStatus::default(),
        }
    }

    /// Records that no reply to an attempt arrived.
    pub(crate) fn record_link_error(&mut self, error: LinkError) {
        match error {
            LinkError::Connect => self.reason = RefusalReason::UpstreamUnreachable,
            LinkError::Lost => self.record_lost(RefusalReason::ConnectionLost),
            LinkError::TimedOut => self.record_lost(RefusalReason::Timeout),
        }
    }

    /// Records the start of an attempt at `target`.
    pub(crate) fn start_attempt(&mut self, target: &PeerTarget) {
        self.current = Some(target.key);
        self.stage = AttemptStage::Unsent;
        push_unique(&mut self.tried, target.key);
        self.last_instance.clone_from(&target.name);
    }

    /// Records that the upstream of the current instance received or may have received the request.
    pub(crate) fn record_delivery(&mut self) {
        self.deliveries += 1;
        if let Some(key) = self.current {
            push_unique(&mut self.receivers, key);
        }
    }

    fn record_rejection(&mut self, reason: RefusalReason) {
        self.record_delivery();
        self.reason = reason;
        if let Some(key) = self.current
            && reason == RefusalReason::Overload
        {
            push_unique(&mut self.rejected, key);
        }
    }

    pub(crate) fn record_refusal(&mut self, refusal: RelayRefusal) {
        if refusal.reason == RefusalReason::RetryLimit {
            // A refused retry is not the reason why the request failed: keep the reason of the
            // attempt before.
            self.rejected.clear();
            return;
        }
        self.is_nested_overload |= refusal.is_below;
        self.is_rejected = refusal.reach == DeliveryStatus::Rejected;
        match refusal.reach {
            DeliveryStatus::Unsent => self.reason = refusal.reason,
            DeliveryStatus::Rejected => self.record_rejection(refusal.reason),
            DeliveryStatus::Unknown => self.record_lost(refusal.reason),
        }
        if refusal.retry_ms > 0 {
            let retry_after = Duration::from_millis(refusal.retry_ms.into());
            self.retry_after = Some(
                self.retry_after
                    .map_or(retry_after, |known| known.min(retry_after)),
            );
        }
    }

    pub(crate) fn record_lost(&mut self, reason: RefusalReason) {
        self.record_delivery();
        self.may_have_run = true;
        self.reason = reason;
    }

    /// Classifies the result for the running request that made this call.
    pub(crate) fn call_failure(&self, outcome: &ForwardOutcome) -> CallFailure {
        let reason = match outcome {
            // If nested calls failed as well, their failure is more specific than the response
            // caused by it.
            ForwardOutcome::Answered(response)
                if response.is_failure()
                    && self.nested_calls.worst_failure == CallFailure::None =>
            {
                return CallFailure::Failed;
            }
            ForwardOutcome::Answered(_) => return CallFailure::None,
            ForwardOutcome::NotRun(reason, _) | ForwardOutcome::Unknown(reason) => *reason,
        };
        match reason {
            RefusalReason::Overload if !self.is_rejected => CallFailure::Starved,
            RefusalReason::NoInstance | RefusalReason::UpstreamUnreachable
                if self.deliveries == 0 =>
            {
                CallFailure::CutOff
            }
            _ => CallFailure::Failed,
        }
    }

    pub(crate) fn can_continue(&self, request: &RoutedRequest) -> bool {
        let is_safe = !self.may_have_run || request.route.is_idempotent;
        is_safe && !self.is_nested_overload
    }

    /// Result once no further instance is tried. A failure response of an upstream takes precedence
    /// over an error response of the node itself.
    pub(crate) fn finish(&mut self) -> ForwardOutcome {
        if let Some(failure) = self.failure.take() {
            return ForwardOutcome::Answered(failure);
        }
        if self.may_have_run {
            return ForwardOutcome::Unknown(self.reason);
        }
        let retry_after = self.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
        let can_retry = self.reason != RefusalReason::Quarantined;
        ForwardOutcome::NotRun(
            self.reason,
            can_retry.then(|| retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)),
        )
    }

    /// Result if an attempt was ended for `reason` before its reply: the deadline passed, or the
    /// process is about to exit.
    pub(crate) fn finish_interrupted(&mut self, reason: RefusalReason) -> ForwardOutcome {
        if let Some(failure) = self.failure.take() {
            return ForwardOutcome::Answered(failure);
        }
        if self.stage == AttemptStage::Sent || self.may_have_run {
            return ForwardOutcome::Unknown(reason);
        }
        ForwardOutcome::NotRun(reason, None)
    }
}

fn push_unique(keys: &mut Vec<InstanceKey>, key: InstanceKey) {
    if !keys.contains(&key) {
        keys.push(key);
    }
}
