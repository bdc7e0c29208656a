//! One attempt of a call at one instance, and what the node learns from it.

use crate::{
    calling::{refusals, routed_call::RoutedCall},
    guards::suspect_gate,
    node::SharedNode,
};

use futures::future::{Either, select};
use lagoonshore_coordination::{
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::CallRefusal,
    },
    retries::RouteKey,
    routing::peer_view::{ReportedLoad, STRAGGLER_SLOWNESS},
};
use lagoonshore_protocol::messages::{CallReply, CallRequest, CallResult, LoadReport};
use lagoonshore_state::{ids::ClassName, instance_table::InstanceKey, units::TokenCount};
use lagoonshore_transport::{Result, TransportError};
use rand::seq::IndexedRandom;
use std::{net::SocketAddr, pin::pin, time::Duration};
use tokio::time::Instant;

/// `AttemptTarget` is the instance that an attempt goes to.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The instance.
    pub key: InstanceKey,
    /// Address of its peer door.
    pub address: SocketAddr,
}

/// `AttemptCall` is a call as one attempt makes it.
#[derive(Clone, Debug)]
pub struct AttemptCall {
    /// The call; its tokens are set by the attempt.
    pub request: CallRequest,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Route whose latency is learned.
    pub route: RouteKey,
    /// Class of the request that the call is made for.
    pub made_for: Option<ClassName>,
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
    let key = if node.passes_through() {
        let listed: Vec<_> = table.of_service(service).collect();
        listed.choose(&mut *random).map(|(key, _)| *key)?
    } else {
        selector.choose(Instant::now(), &table, service, &call.tried, &mut *random)?
    };
    let address = table.get(key)?.peer;
    call.tried.push(key);
    Some(AttemptTarget { key, address })
}

/// Sends `request` to `target`. Dropping the future cancels the request there.
pub async fn send(
    node: SharedNode,
    mut call: AttemptCall,
    target: AttemptTarget,
    granted: TokenCount,
) -> AttemptReply {
    call.request.tokens = granted;
    let record = AttemptRecord::open(node.clone(), call.route.clone(), target.key);
    let calling = node
        .links
        .call(target.address, call.request.clone(), call.deadline);
    match record.watch(calling).await {
        Ok(reply) => {
            record.close_with_reply(&reply);
            suspect_gate::learn_reply(&node, &reply);
            note_level(&node, &call, &reply);
            AttemptReply {
                result: reply.result,
                unspent: reply.tokens,
            }
        }
        Err(fault) => {
            record.close_with_fault(&fault);
            let refusal = link_refusal(&fault);
            suspect_gate::note_lost_link(&node, &call.request, refusal);
            let is_lost = !refusal.is_not_run();
            AttemptReply {
                result: CallResult::Refused(refusal),
                unspent: if is_lost { TokenCount(0) } else { granted },
            }
        }
    }
}

/// Learns which requests the called service takes.
fn note_level(node: &SharedNode, call: &AttemptCall, reply: &CallReply) {
    if let Some(class) = &call.made_for {
        let mut levels = node.levels.borrow_mut();
        let service = &call.request.service;
        levels.record(Instant::now(), class, service, reply.load.level);
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
        node.selector.borrow_mut().record_start(key);
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
        selector.record_overdue(self.key, now, elapsed, typical);
    }

    fn close_with_reply(mut self, reply: &CallReply) {
        self.is_closed = true;
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let typical = self.typical().unwrap_or(elapsed);
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        selector.record_load(self.key, now, reported(reply.load));
        match &reply.result {
            CallResult::Answered(_) => {
                selector.record_response(self.key, now, elapsed, typical, &table);
                let mut retries = self.node.retries.borrow_mut();
                retries.record_latency(&self.route, elapsed);
            }
            CallResult::Refused(refusal) => {
                selector.record_refusal(self.key, now, *refusal, &table);
            }
        }
    }

    fn close_with_fault(mut self, fault: &TransportError) {
        self.is_closed = true;
        let now = Instant::now();
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        if matches!(fault, TransportError::Connect { .. }) {
            selector.record_unreachable(self.key, now);
        } else {
            selector.record_failure(self.key, now, &table);
        }
    }

    fn typical(&self) -> Option<Duration> {
        self.node.retries.borrow().median_latency(&self.route)
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
        selector.record_abandoned(self.key, now, elapsed, typical);
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
