//! What a request has come to while it is tried at one instance after the other.

use super::{
    peer_table::PeerTarget,
    routed_request::{ForwardOutcome, RoutedRequest},
};

use crate::serving::running_table::CallSum;

use compact_str::CompactString;
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{
    CallFailure, DeliveryStatus, NodeStatus, RelayRefusal, RelayResponse,
};
use lagoonshore_state::{ids::ServiceName, instance_table::InstanceKey};
use std::time::Duration;

/// Least time to come back after a refusal.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest time to come back after a refusal.
const RETRY_MAX: Duration = Duration::from_secs(2);
/// Time to come back where no instance says more.
const RETRY_DEFAULT: Duration = Duration::from_millis(300);

/// `CallProgress` is what a request has come to so far.
pub(crate) struct CallProgress {
    pub(crate) service: ServiceName,
    pub(crate) asked: Vec<InstanceKey>,
    /// Sendings that an upstream read.
    pub(crate) reached: u32,
    /// Instances whose upstreams read the request.
    pub(crate) readers: Vec<InstanceKey>,
    /// Instances whose upstreams turned the request away, and which may be asked again.
    pub(crate) rejected: Vec<InstanceKey>,
    /// Instance that has the request.
    current: Option<InstanceKey>,
    pub(crate) may_have_run: bool,
    /// Whether the last upstream turned the request away itself.
    pub(crate) is_rejected: bool,
    /// What its runs and their calls came to.
    pub(crate) below: CallSum,
    /// Whether what is full lies below the instances that were asked.
    pub(crate) is_full_below: bool,
    pub(crate) reason: RefusalReason,
    pub(crate) retry: Option<Duration>,
    /// Answer by which an upstream failed the request, while others are asked.
    pub(crate) failure: Option<RelayResponse>,
    pub(crate) last: CompactString,
    /// Load that the node of the last instance told.
    pub(crate) load: NodeStatus,
}

impl CallProgress {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            asked: Vec::new(),
            reached: 0,
            readers: Vec::new(),
            rejected: Vec::new(),
            current: None,
            may_have_run: false,
            is_rejected: false,
            below: CallSum::default(),
            is_full_below: false,
            reason: RefusalReason::NoInstance,
            retry: None,
            failure: None,
            last: CompactString::default(),
            load: NodeStatus::default(),
        }
    }

    /// Notes that the request goes to an instance.
    pub(crate) fn begin(&mut self, target: &PeerTarget) {
        self.current = Some(target.key);
        add_once(&mut self.asked, target.key);
        self.last.clone_from(&target.name);
    }

    /// Notes that the upstream of the last instance read the request.
    pub(crate) fn note_reached(&mut self) {
        self.reached += 1;
        if let Some(key) = self.current {
            add_once(&mut self.readers, key);
        }
    }

    fn note_rejection(&mut self, reason: RefusalReason) {
        self.note_reached();
        self.reason = reason;
        if let Some(key) = self.current
            && reason == RefusalReason::Overload
        {
            add_once(&mut self.rejected, key);
        }
    }

    pub(crate) fn note_refusal(&mut self, refusal: RelayRefusal) {
        if refusal.reason == RefusalReason::RetryLimit {
            // That nothing more may be repeated is not why the request failed.
            self.rejected.clear();
            return;
        }
        self.is_full_below |= refusal.is_below;
        self.is_rejected = refusal.reach == DeliveryStatus::Rejected;
        match refusal.reach {
            DeliveryStatus::Unsent => self.reason = refusal.reason,
            DeliveryStatus::Rejected => self.note_rejection(refusal.reason),
            DeliveryStatus::Unknown => self.note_lost(refusal.reason),
        }
        if refusal.retry_ms > 0 {
            let retry = Duration::from_millis(refusal.retry_ms.into());
            self.retry = Some(self.retry.map_or(retry, |known| known.min(retry)));
        }
    }

    pub(crate) fn note_lost(&mut self, reason: RefusalReason) {
        self.note_reached();
        self.may_have_run = true;
        self.reason = reason;
    }

    /// What befell the request, as a call of the run that made it.
    pub(crate) fn trouble(&self, end: &ForwardOutcome) -> CallFailure {
        let reason = match end {
            // What befell the calls of its run says more than the failure that followed.
            ForwardOutcome::Answered(answer)
                if answer.is_failure() && self.below.trouble == CallFailure::None =>
            {
                return CallFailure::Failed;
            }
            ForwardOutcome::Answered(_) => return CallFailure::None,
            ForwardOutcome::NotRun(reason, _) | ForwardOutcome::Unknown(reason) => *reason,
        };
        match reason {
            RefusalReason::Overload if !self.is_rejected => CallFailure::Starved,
            RefusalReason::NoInstance | RefusalReason::UpstreamUnreachable if self.reached == 0 => {
                CallFailure::CutOff
            }
            _ => CallFailure::Failed,
        }
    }

    pub(crate) fn may_go_on(&self, request: &RoutedRequest) -> bool {
        let is_safe = !self.may_have_run || request.route.is_idempotent;
        is_safe && !self.is_full_below && self.reason != RefusalReason::Quarantined
    }

    /// No further instance is asked. An answer by which an upstream failed the request goes before
    /// one of the system's own.
    pub(crate) fn end(&mut self) -> ForwardOutcome {
        if let Some(failure) = self.failure.take() {
            return ForwardOutcome::Answered(failure);
        }
        if self.may_have_run {
            return ForwardOutcome::Unknown(self.reason);
        }
        let retry = self.retry.unwrap_or(RETRY_DEFAULT);
        let may_come_back = self.reason != RefusalReason::Quarantined;
        ForwardOutcome::NotRun(
            self.reason,
            may_come_back.then(|| retry.clamp(RETRY_MIN, RETRY_MAX)),
        )
    }

    /// The deadline passed while an instance had the request.
    pub(crate) fn end_late(&mut self) -> ForwardOutcome {
        if let Some(failure) = self.failure.take() {
            return ForwardOutcome::Answered(failure);
        }
        if self.asked.is_empty() {
            return ForwardOutcome::NotRun(RefusalReason::Timeout, None);
        }
        ForwardOutcome::Unknown(RefusalReason::Timeout)
    }
}

fn add_once(keys: &mut Vec<InstanceKey>, key: InstanceKey) {
    if !keys.contains(&key) {
        keys.push(key);
    }
}
