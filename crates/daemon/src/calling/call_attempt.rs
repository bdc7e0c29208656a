//! One attempt of a call at one instance. Its result updates the peer selector, the route latencies,
//! the admission levels and the crash suspects.

use crate::{
    calling::{refusals, routed_call::RoutedCall},
    node::SharedNode,
    protection::suspect_gate,
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
use lagoonshore_state::{
    ids::{ClassName, InstanceName},
    instance_table::InstanceKey,
    units::TokenCount,
};
use lagoonshore_transport::{Result, TransportError};
use rand::seq::IndexedRandom;
use std::{net::SocketAddr, pin::pin, time::Duration};
use tokio::time::Instant;

/// `AttemptTarget` is the instance that an attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Key in the instance table.
    pub key: InstanceKey,
    /// Address of the instance's peer listener.
    pub address: SocketAddr,
}

/// `AttemptCall` is the input of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptCall {
    /// The call; [`send`] overwrites its tokens with the granted ones.
    pub request: CallRequest,
    /// Time by which the response must arrive.
    pub deadline: Instant,
    /// Route that the measured latency is recorded for.
    pub route: RouteKey,
    /// Class of the parent request; `None` for a call without one.
    pub parent_class: Option<ClassName>,
}

/// `AttemptReply` is the result of one attempt and the tokens it returns.
#[derive(Clone, Debug)]
pub struct AttemptReply {
    /// Response or refusal.
    pub result: CallResult,
    /// Granted tokens that were not spent; zero if the outcome of the attempt is unknown.
    pub unspent: TokenCount,
}

/// Chooses an instance that `call` has not tried yet and marks it as tried.
pub fn choose_target(node: &SharedNode, call: &mut RoutedCall) -> Option<AttemptTarget> {
    let table = node.instances.borrow();
    let mut selector = node.selector.borrow_mut();
    let mut random = node.random.borrow_mut();
    let service = &call.request.service;
    let key = if node.is_pass_through() {
        let listed: Vec<_> = table.of_service(service).collect();
        listed.choose(&mut *random).map(|(key, _)| *key)?
    } else {
        selector.choose(Instant::now(), &table, service, &call.tried, &mut *random)?
    };
    let address = table.get(key)?.peer;
    call.tried.push(key);
    Some(AttemptTarget { key, address })
}

/// Sends `call` to `target`. Dropping the future cancels the request there.
pub async fn send(
    node: SharedNode,
    mut call: AttemptCall,
    target: AttemptTarget,
    granted: TokenCount,
) -> AttemptReply {
    call.request.tokens = granted;
    let record = AttemptRecord::open(node.clone(), call.route.clone(), target.key);
    let call_future = node
        .links
        .call(target.address, call.request.clone(), call.deadline);
    match record.wait_for_reply(call_future).await {
        Ok(reply) => {
            record.close_with_reply(&reply);
            suspect_gate::merge_reply(&node, &reply);
            record_level(&node, &call, &reply);
            AttemptReply {
                result: reply.result,
                unspent: reply.tokens,
            }
        }
        Err(error) => {
            record.close_with_error(&error);
            let refusal = refusal_of_error(&error);
            let instance = instance_name(&node, target);
            suspect_gate::record_lost_connection(&node, &instance, &call.request, refusal);
            let is_lost = !refusal.is_not_run();
            AttemptReply {
                result: CallResult::Refused(refusal),
                unspent: if is_lost { TokenCount(0) } else { granted },
            }
        }
    }
}

/// Name of the instance of `target`; empty if it is no longer listed.
fn instance_name(node: &SharedNode, target: AttemptTarget) -> InstanceName {
    let table = node.instances.borrow();
    let record = table.get(target.key);
    record.map_or_else(InstanceName::default, |record| record.name.clone())
}

/// Records the admission level that the called service reported for the class of the parent
/// request.
fn record_level(node: &SharedNode, call: &AttemptCall, reply: &CallReply) {
    if let Some(class) = &call.parent_class {
        let mut levels = node.levels.borrow_mut();
        let service = &call.request.service;
        levels.record(Instant::now(), class, service, reply.load.level);
    }
}

/// Reports the result of an attempt to the selector; an attempt whose future is dropped is reported
/// as abandoned.
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

    /// Waits for `call_future`. An attempt that takes `STRAGGLER_SLOWNESS` times the median latency
    /// is reported as overdue, so that a slow instance is noticed before its reply.
    async fn wait_for_reply(
        &self,
        call_future: impl Future<Output = Result<CallReply>>,
    ) -> Result<CallReply> {
        let Some(median_latency) = self.median_latency() else {
            return call_future.await;
        };
        let call_future = pin!(call_future);
        let overdue_timer = actix_rt::time::sleep(median_latency.mul_f64(STRAGGLER_SLOWNESS));
        match select(call_future, pin!(overdue_timer)).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), call_future)) => {
                self.record_overdue(median_latency);
                call_future.await
            }
        }
    }

    fn record_overdue(&self, median_latency: Duration) {
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let mut selector = self.node.selector.borrow_mut();
        selector.record_overdue(self.key, now, elapsed, median_latency);
    }

    fn close_with_reply(mut self, reply: &CallReply) {
        self.is_closed = true;
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let median_latency = self.median_latency().unwrap_or(elapsed);
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        selector.record_load(self.key, now, to_reported_load(reply.load));
        match &reply.result {
            CallResult::Answered(_) => {
                selector.record_response(self.key, now, elapsed, median_latency, &table);
                let mut retries = self.node.retries.borrow_mut();
                retries.record_latency(&self.route, elapsed);
            }
            CallResult::Refused(refusal) => {
                selector.record_refusal(self.key, now, *refusal, &table);
            }
        }
    }

    fn close_with_error(mut self, error: &TransportError) {
        self.is_closed = true;
        let now = Instant::now();
        let table = self.node.instances.borrow();
        let mut selector = self.node.selector.borrow_mut();
        if matches!(error, TransportError::Connect { .. }) {
            selector.record_unreachable(self.key, now);
        } else {
            selector.record_failure(self.key, now, &table);
        }
    }

    fn median_latency(&self) -> Option<Duration> {
        self.node.retries.borrow().median_latency(&self.route)
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        let (now, elapsed) = (Instant::now(), self.started.elapsed());
        let median_latency = self.median_latency().unwrap_or(elapsed);
        let mut selector = self.node.selector.borrow_mut();
        selector.record_abandoned(self.key, now, elapsed, median_latency);
    }
}

const fn to_reported_load(load: LoadReport) -> ReportedLoad {
    ReportedLoad {
        in_progress: load.in_progress,
        limit: load.limit,
        queued: load.queued,
        draining: load.draining,
    }
}

const fn refusal_of_error(error: &TransportError) -> CallRefusal {
    match error {
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
