//! One request and its answer at the upstream beside the node, and what is made of it.

use super::{
    own_upstream::OwnUpstream,
    refusals::{AWAY_RETRY, refused, unknown},
    retry_gate::RetryGate,
    sent_head,
    slot_limiter::SlotPermit,
    suspect_tracker::SuspectTracker,
};

use crate::{
    decision_log::DecisionLog,
    events,
    header_scheme::HeaderScheme,
    http1::{
        exchange::{ExchangeError, ReceivedResponse, SentRequest},
        pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
    },
    relay_metrics,
};

use lagoonshore_coordination::{
    protection::fingerprint::RequestFingerprint, request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{
    DeliveryStatus, RelayRefusal, RelayRequest, RelayResponse, RelayResult,
};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Idle time of a connection that a request may use which must not run twice.
const IDLE_ONCE: Duration = Duration::from_millis(500);
/// Least time in which an upstream can do anything; a request with less left is not sent.
const SEND_TIME_MIN: Duration = Duration::from_millis(4);
/// Status by which an upstream says that another one was expected (RFC 9110, section 15.5.20).
const MISDIRECTED: u16 = 421;

/// `UpstreamExchange` sends requests to the own upstream.
pub(crate) struct UpstreamExchange {
    pub(crate) scheme: HeaderScheme,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) own: Rc<OwnUpstream>,
    pub(crate) suspects: Rc<SuspectTracker>,
    pub(crate) repeats: Rc<RetryGate>,
    pub(crate) log: Rc<DecisionLog>,
}

impl UpstreamExchange {
    /// Sends a request that holds `permit`, and says what became of it.
    pub(crate) async fn send(
        &self,
        request: RelayRequest,
        deadline: Instant,
        mut permit: Option<SlotPermit>,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < SEND_TIME_MIN {
            return refused(RefusalReason::Timeout, Duration::ZERO);
        }
        let started = Instant::now();
        let exchange = self.exchange(&request, deadline);
        let answer = tokio::time::timeout(left, exchange).await;
        relay_metrics::record_upstream(started.elapsed(), matches!(answer, Ok(Ok(_))));
        match answer {
            Ok(Ok(answer)) => {
                if let Some(permit) = &mut permit
                    && !answer.head.is_not_run
                {
                    permit.finished();
                }
                self.judge(&request, answer, fingerprint)
            }
            Ok(Err(SendError::Connect(kind))) => {
                self.log
                    .log_upstream_failed(&request.id, "connect", &kind.to_string());
                self.own.note_refused();
                refused(RefusalReason::UpstreamUnreachable, AWAY_RETRY)
            }
            Ok(Err(SendError::Exchange(fault))) => {
                drop(permit);
                self.lost(&request, &fault, fingerprint).await
            }
            Err(_) => {
                self.log
                    .log_upstream_failed(&request.id, "timeout", "no answer by the deadline");
                unknown(RefusalReason::Timeout)
            }
        }
    }

    /// Sends the request to the upstream, and once more where another one than expected has taken
    /// its place and may run it as well.
    async fn exchange(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<ReceivedResponse, SendError> {
        let expected = self.own.target(&request.instance);
        let idle_max = if request.is_idempotent {
            ANY_IDLE_TIME
        } else {
            IDLE_ONCE
        };
        let sent = self.sent_request(request, &expected, deadline);
        let answer = self.pool.send(sent, &self.scheme, idle_max).await?;
        if answer.head.status != MISDIRECTED {
            if answer.head.is_signed {
                self.own.note_answer();
            }
            return Ok(answer);
        }
        let found = answer.head.instance.as_ref();
        let Some(found) = found.filter(|found| self.own.adopt(found)) else {
            return Ok(answer);
        };
        let sent = self.sent_request(request, found, deadline);
        // The upstream counts both.
        self.repeats.note_second();
        self.pool.send(sent, &self.scheme, idle_max).await
    }

    /// Turns an answer of the upstream into what is relayed.
    fn judge(
        &self,
        request: &RelayRequest,
        answer: ReceivedResponse,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let head = &answer.head;
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
            return unknown(RefusalReason::BrokenAnswer);
        }
        let answer = RelayResponse {
            status: head.status,
            fields: head.fields.clone(),
            body: answer.body,
        };
        if !answer.is_failure() {
            self.suspects.record_success(fingerprint);
        }
        RelayResult::Answered(answer)
    }

    /// Handles an exchange that failed: the upstream may have crashed while it ran the request.
    async fn lost(
        &self,
        request: &RelayRequest,
        fault: &ExchangeError,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        self.log
            .log_upstream_failed(&request.id, "exchange", &format!("{fault:?}"));
        let may_be_crash = matches!(fault, ExchangeError::Broken(_) | ExchangeError::ClosedEarly);
        if may_be_crash && self.own.look_after_break().await {
            let report = self.suspects.record_crash(fingerprint);
            tracing::warn!(
                event = events::CRASH_COUNTED,
                request = %request.id, fingerprint, crashes = report.crashes,
                "upstream: crashed while it ran the request"
            );
        }
        match fault {
            ExchangeError::NoAnswer => unknown(RefusalReason::BrokenAnswer),
            _ => unknown(RefusalReason::ConnectionLost),
        }
    }

    fn sent_request(
        &self,
        request: &RelayRequest,
        expected: &str,
        deadline: Instant,
    ) -> SentRequest {
        let left = deadline.saturating_duration_since(Instant::now());
        sent_head::sent_request(&self.scheme, request, expected, left)
    }
}
