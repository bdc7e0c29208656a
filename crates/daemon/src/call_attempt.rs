//! One attempt of a call at one instance, and what the node learns from it.

use crate::{call_router::RoutedCall, node::SharedNode, refusals};

use futures::future::{Either, select};
use lagoonshore_coordination::{
    outcome::{CallOutcome, RefusalReason},
    request_life::CallRefusal,
    retries::RouteKey,
    routing::peer_view::{ReportedLoad, STRAGGLER_SLOWNESS},
};
use lagoonshore_protocol::messages::{CallReply, CallRequest, CallResult, LoadReport};
use lagoonshore_state::{instance_table::InstanceKey, units::TokenCount};
use lagoonshore_transport::{Result, TransportError};
use std::{net::SocketAddr, pin::pin, time::Duration};
use tokio::time::Instant;

/// `AttemptTarget` is the instance that an attempt goes to.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    key: InstanceKey,
    address: SocketAddr,
}

/// `AttemptReply` is what became of one attempt, with the tokens that come back from it.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// What became of the attempt.
    pub result: CallResult,
    /// Tokens that were granted and not spent; none if the attempt was lost.
    pub unspent: TokenCount,
}

/// Chooses an instance that was not tried for `call`, and notes it as tried.
pub fn choose(node: &SharedNode, call: &mut RoutedCall) -> Option<AttemptTarget> {
    let table = node.instances.borrow();
    let mut selector = node.selector.borrow_mut();
    let mut random = node.random.borrow_mut();
    let service = &call.request.service;
    let key = selector.choose(Instant::now(), &table, service, &call.tried, &mut *random)?;
    let address = table.get(key)?.peer;
    call.tried.push(key);
    Some(AttemptTarget { key, address })
}

/// Sends `request` to `target`. Dropping the future cancels the request there.
pub async fn send(
    node: SharedNode,
    mut request: CallRequest,
    deadline: Instant,
    route: RouteKey,
    target: AttemptTarget,
    granted: TokenCount,
) -> AttemptReply {
    request.tokens = granted;
    let record = AttemptRecord::open(node.clone(), route, target.key);
    let calling = node.links.call(target.address, request, deadline);
    match record.watch(calling).await {
        Ok(reply) => {
            record.close_with_reply(&reply);
            AttemptReply {
                result: reply.result,
                unspent: reply.tokens,
            }
        }
        Err(fault) => {
            record.close_with_fault(&fault);
            let refusal = link_refusal(&fault);
            let is_lost = !refusal.is_not_run();
            AttemptReply {
                result: CallResult::Refused(refusal),
                unspent: if is_lost { TokenCount(0) } else { granted },
            }
        }
    }
}

/// Tells the selector how an attempt went, also when its future is dropped.
struct AttemptRecord {
    node: SharedNode,
    route: RouteKey,
    key: InstanceKey,
    started: Instant,
    is_closed: bool,
}

impl AttemptRecord {
    fn open(node: SharedNode, route: RouteKey, key: InstanceKey) -> Self {
        node.selector.borrow_mut().started(key);
        Self {
            node,
            route,
            key,
            started: Instant::now(),
            is_closed: false,
        }
    }

    /// Waits for `calling`, and notes once if it takes as long as at a straggler.
    async fn watch(&self, calling: impl Future<Output = Result<CallReply>>) -> Result<CallReply> {
        let Some(typical) = self.typical() else {
            return calling.await;
        };
        let calling = pin!(calling);
        let late = actix_rt::time::sleep(typical.mul_f64(STRAGGLER_SLOWNESS));
        match select(calling, pin!(late)).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), calling)) => {
                self.note_overdue(typical);
                calling.await
            }
        }
    }

    fn note_overdue(&self, typical: Duration) {
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let mut selector = self.node.selector.borrow_mut();
        selector.overdue(self.key, now, elapsed, typical);
    }

    fn close_with_reply(mut self, reply: &CallReply) {
        self.is_closed = true;
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let typical = self.typical().unwrap_or(elapsed);
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        selector.take_report(self.key, now, reported(reply.load));
        match &reply.result {
            CallResult::Answered(_) => {
                selector.answered(self.key, now, elapsed, typical, &table);
                let mut retries = self.node.retries.borrow_mut();
                retries.record_latency(&self.route, elapsed);
            }
            CallResult::Refused(refusal) => {
                selector.refused(self.key, now, *refusal, &table);
            }
        }
    }

    fn close_with_fault(mut self, fault: &TransportError) {
        self.is_closed = true;
        let now = Instant::now();
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        if matches!(fault, TransportError::Connect { .. }) {
            selector.unreachable(self.key, now);
        } else {
            selector.failed(self.key, now, &table);
        }
    }

    fn typical(&self) -> Option<Duration> {
        self.node.retries.borrow().typical_latency(&self.route)
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let typical = self.typical().unwrap_or(elapsed);
        let mut selector = self.node.selector.borrow_mut();
        selector.abandoned(self.key, now, elapsed, typical);
    }
}

const fn reported(load: LoadReport) -> ReportedLoad {
    ReportedLoad {
        in_progress: load.in_progress,
        limit: load.limit,
        queued: load.queued,
        draining: load.draining,
    }
}

const fn link_refusal(fault: &TransportError) -> CallRefusal {
    match fault {
        TransportError::Connect { .. } => refusals::on_arrival(RefusalReason::UpstreamUnreachable),
        TransportError::TimedOut { .. } => CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::Timeout,
        },
        _ => CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::ConnectionLost,
        },
    }
}
