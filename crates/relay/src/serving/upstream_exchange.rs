//! Exchange of one request and its response with the local upstream.

use super::{
    announcements::UpstreamAnnouncements,
    local_upstream::LocalUpstream,
    refusals::{UNAVAILABLE_RETRY_AFTER, refusal, unknown_outcome},
    retry_gate::RetryGate,
    slot_limiter::{SlotLimiter, SlotPermit},
    upstream_request,
};

use crate::{
    decision_log::DecisionLog,
    header_scheme::HeaderScheme,
    http1::{
        exchange::{ExchangeError, ReceivedResponse, SentRequest},
        head::ResponseHead,
        pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
    },
    relay_metrics,
    suspect_tracker::SuspectTracker,
};

use lagoonshore_coordination::{
    protection::fingerprint::RequestFingerprint, request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{
    DeliveryStatus, RelayRefusal, RelayRequest, RelayResponse, RelayResult,
};
use lagoonshore_state::ids::InstanceName;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Longest idle time of a connection that a non-idempotent request may use: a server may have
/// dropped an idle connection, and then it is unknown whether the request ran.
const IDLE_TIME_MAX_NON_IDEMPOTENT: Duration = Duration::from_millis(500);
/// Time left until the deadline below which a request is not sent: no upstream can respond in less.
const SEND_TIME_MIN: Duration = Duration::from_millis(4);
/// Status of an upstream that is not the one named in the request (RFC 9110, section 15.5.20).
const MISDIRECTED: u16 = 421;

/// `UpstreamExchange` sends requests to the local upstream.
pub(crate) struct UpstreamExchange {
    pub(crate) scheme: HeaderScheme,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) upstream: Rc<LocalUpstream>,
    pub(crate) suspects: Rc<SuspectTracker>,
    pub(crate) retry_gate: Rc<RetryGate>,
    pub(crate) limiter: SlotLimiter,
    pub(crate) announcements: Rc<UpstreamAnnouncements>,
    pub(crate) log: Rc<DecisionLog>,
}

impl UpstreamExchange {
    /// Sends a request that holds `permit`, and returns its result.
    pub(crate) async fn send(
        &self,
        request: RelayRequest,
        deadline: Instant,
        mut permit: Option<SlotPermit>,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left < SEND_TIME_MIN {
            return refusal(RefusalReason::Timeout, Duration::ZERO);
        }
        let started = Instant::now();
        let exchange = self.exchange(&request, deadline);
        let response = tokio::time::timeout(time_left, exchange).await;
        relay_metrics::record_upstream(started.elapsed(), matches!(response, Ok(Ok(_))));
        match response {
            Ok(Ok(response)) => {
                if let Some(permit) = &mut permit
                    && !response.head.is_not_run
                {
                    permit.mark_finished();
                }
                self.check_response(&request, response, fingerprint)
            }
            Ok(Err(SendError::Connect(kind))) => {
                self.log
                    .log_upstream_failed(&request.id, "connect", &kind.to_string());
                self.upstream.mark_down();
                refusal(RefusalReason::UpstreamUnreachable, UNAVAILABLE_RETRY_AFTER)
            }
            Ok(Err(SendError::Exchange(error))) => {
                drop(permit);
                self.handle_failure(&request, &error, fingerprint).await
            }
            Err(_) => {
                self.log
                    .log_upstream_failed(&request.id, "timeout", "no response by the deadline");
                unknown_outcome(RefusalReason::Timeout)
            }
        }
    }

    /// Sends the request, and sends it once more if another upstream of the service has taken the
    /// place of the expected one.
    async fn exchange(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<ReceivedResponse, SendError> {
        let expected = self.upstream.target_name(&request.instance);
        let idle_max = if request.is_idempotent {
            ANY_IDLE_TIME
        } else {
            IDLE_TIME_MAX_NON_IDEMPOTENT
        };
        let sent = self.render_request(request, &expected, deadline);
        let response = self.pool.send(sent, &self.scheme, idle_max).await?;
        self.record_announcements(&response.head, &expected);
        if response.head.status != MISDIRECTED {
            if response.head.is_signed {
                self.upstream.record_signed_response();
            }
            return Ok(response);
        }
        let found = response.head.instance.as_ref();
        let Some(found) = found.filter(|found| self.upstream.accept_name(found)) else {
            return Ok(response);
        };
        let sent = self.render_request(request, found, deadline);
        // The upstream counts both attempts as arrivals.
        self.retry_gate.record_second_attempt();
        self.limiter.record_second_attempt();
        let response = self.pool.send(sent, &self.scheme, idle_max).await?;
        self.record_announcements(&response.head, found);
        Ok(response)
    }

    /// Records what the upstream `expected` says of itself in a response. A misdirected request was
    /// answered by another upstream, which may name itself.
    fn record_announcements(&self, head: &ResponseHead, expected: &InstanceName) {
        let name = match head.status {
            MISDIRECTED => head.instance.as_ref(),
            _ => Some(expected),
        };
        if let Some(name) = name {
            self.announcements.record_response(head, name);
        }
    }

    /// Checks a response and turns it into the result to relay.
    fn check_response(
        &self,
        request: &RelayRequest,
        response: ReceivedResponse,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let head = &response.head;
        if head.is_not_run || head.status == MISDIRECTED {
            self.log
                .log_upstream_failed(&request.id, "rejected", &head.status.to_string());
            return RelayResult::Refused(RelayRefusal {
                reason: match head.status {
                    MISDIRECTED => RefusalReason::NoInstance,
                    _ => RefusalReason::Overload,
                },
                reach: DeliveryStatus::Rejected,
                retry_ms: 0,
                is_below: false,
            });
        }
        let is_success = head.status < 300;
        if head.is_encoded || (is_success && !head.is_signed) {
            self.log
                .log_upstream_failed(&request.id, "broken", "encoded or unsigned");
            return unknown_outcome(RefusalReason::BrokenAnswer);
        }
        let response = RelayResponse {
            status: head.status,
            fields: head.fields.clone().into(),
            body: response.body.into(),
        };
        if !response.is_failure() {
            self.suspects.record_success(fingerprint);
        }
        RelayResult::Answered(response)
    }

    /// Handles a failed exchange and counts a crash if the upstream is down afterwards.
    async fn handle_failure(
        &self,
        request: &RelayRequest,
        error: &ExchangeError,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        self.log
            .log_upstream_failed(&request.id, "exchange", &format!("{error:?}"));
        let may_be_crash = matches!(error, ExchangeError::Broken(_) | ExchangeError::ClosedEarly);
        if may_be_crash && let Some(crash) = self.upstream.check_after_disconnect().await {
            self.suspects.record_crash(&request.id, fingerprint, crash);
        }
        match error {
            ExchangeError::NoAnswer => unknown_outcome(RefusalReason::BrokenAnswer),
            _ => unknown_outcome(RefusalReason::ConnectionLost),
        }
    }

    fn render_request(
        &self,
        request: &RelayRequest,
        expected: &str,
        deadline: Instant,
    ) -> SentRequest {
        let time_left = deadline.saturating_duration_since(Instant::now());
        upstream_request::render_request(&self.scheme, request, expected, time_left)
    }
}
