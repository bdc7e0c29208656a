//! Serves a request on the local upstream: admission, dispatch and response.

use crate::{
    calling::refusals,
    lifecycle::node_lifecycle,
    node::{SharedNode, admission_gate::SlotPermit, exclusive_gate::RunPermit},
    observation::node_metrics,
    protection::suspect_gate,
    serving::{dispatch_tracker::DispatchTracker, dispatched_request::DispatchedRequest},
};

use lagoonshore_coordination::{
    admission::admission_control::AdmissionRequest,
    protection::fingerprint::RequestFingerprint,
    request::{
        outcome::RefusalReason,
        request_lifecycle::{AdmittedState, CallRefusal, RequestLifecycle},
    },
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallReply, CallRequest, CallResult, UpstreamResponse},
};
use lagoonshore_state::{
    ids::{CallId, ClassName},
    policy::RequestClass,
    units::TokenCount,
};
use lagoonshore_transport::{TransportError, upstream_client::UpstreamRequest};
use tokio::time::Instant;

/// Serves `request`, which must be answered before `deadline`.
pub async fn serve(node: &SharedNode, request: CallRequest, deadline: Instant) -> CallReply {
    node.counters.borrow_mut().offered += 1;
    let started = Instant::now();
    let mut tokens = request.tokens;
    let fingerprint = suspect_gate::fingerprint(&request);
    let policy = node.policy(&node.settings.service);
    let class = policy.map(|policy| policy.class_of(&request.method, &request.path));
    let name = class.as_ref().map(|class| class.name.clone());
    let run = admit_and_run(node, request, class, deadline, fingerprint, &mut tokens);
    let result = match run.await {
        Ok(response) => CallResult::Answered(response),
        Err(refusal) => CallResult::Refused(refusal),
    };
    record_result(node, &result);
    node_metrics::record_request(started.elapsed(), &result);
    CallReply {
        result,
        tokens,
        load: node.load(&name.unwrap_or_default()),
        suspect: suspect_gate::report(node, fingerprint),
    }
}

async fn admit_and_run(
    node: &SharedNode,
    request: CallRequest,
    class: Option<RequestClass>,
    deadline: Instant,
    fingerprint: RequestFingerprint,
    tokens: &mut TokenCount,
) -> Result<UpstreamResponse, CallRefusal> {
    if let Some(reason) = node_lifecycle::refusal(node) {
        return Err(refusals::on_arrival(reason));
    }
    if !node.is_ready() {
        return Err(refusals::on_arrival(RefusalReason::Starting));
    }
    let Some(class) = class else {
        return Err(refusals::on_arrival(RefusalReason::NoPolicy));
    };
    suspect_gate::merge_report(node, fingerprint, &request.crashes);
    suspect_gate::check(node, fingerprint).map_err(refusals::on_arrival)?;
    let is_refused_early =
        !node.is_pass_through() && !is_admitted_downstream(node, &request, &class);
    if is_refused_early {
        node.counters.borrow_mut().refused_early += 1;
        return Err(refusals::on_arrival(RefusalReason::Overload));
    }
    let deadline = deadline.min(Instant::now() + class.timeout);
    let lifecycle = RequestLifecycle::arrived();
    let offer = AdmissionRequest {
        importance: request.importance,
        class: class.name.clone(),
        caller: request.caller,
        lane: class.lane,
        timeout: class.timeout,
        deadline,
    };
    let permit = match acquire(node, offer).await {
        Ok(permit) => permit,
        Err(reason) => return Err(lifecycle.refuse(reason)),
    };
    let lifecycle = lifecycle.admit();
    let run_permit = match suspect_gate::acquire_permit(node, fingerprint, deadline).await {
        Ok(run_permit) => run_permit,
        Err(reason) => return Err(lifecycle.refuse(reason)),
    };
    let admitted = AdmittedRequest {
        request,
        class: class.name,
        deadline,
        permit,
        fingerprint,
        run_permit,
    };
    run(node, lifecycle, admitted, tokens).await
}

/// Waits for a slot; a node in pass-through mode needs none.
async fn acquire(
    node: &SharedNode,
    offer: AdmissionRequest,
) -> Result<Option<SlotPermit>, RefusalReason> {
    if node.is_pass_through() {
        return Ok(None);
    }
    let started = Instant::now();
    let permit = node.gate.acquire(offer).await;
    node_metrics::record_queue_wait(started.elapsed());
    permit.map(Some)
}

/// Returns whether the services that this route calls admit such a request, by the last admission
/// levels they reported.
fn is_admitted_downstream(node: &SharedNode, request: &CallRequest, class: &RequestClass) -> bool {
    let level = node
        .levels
        .borrow()
        .route_level(Instant::now(), &class.name);
    level.admits(request.importance, request.caller)
}

/// A request that holds a slot and may be dispatched.
struct AdmittedRequest {
    request: CallRequest,
    class: ClassName,
    deadline: Instant,
    permit: Option<SlotPermit>,
    fingerprint: RequestFingerprint,
    run_permit: RunPermit,
}

async fn run(
    node: &SharedNode,
    lifecycle: RequestLifecycle<AdmittedState>,
    admitted: AdmittedRequest,
    tokens: &mut TokenCount,
) -> Result<UpstreamResponse, CallRefusal> {
    let AdmittedRequest {
        request,
        class,
        deadline,
        permit,
        fingerprint,
        run_permit,
    } = admitted;
    let now = Instant::now();
    if deadline <= now {
        return Err(lifecycle.refuse(RefusalReason::Timeout));
    }
    let dispatched = DispatchedRequest::start(node, permit, &request, class, deadline);
    let lifecycle = lifecycle.dispatch();
    node.counters.borrow_mut().dispatched += 1;
    let request = upstream_request(request, dispatched.id());
    let tracker = DispatchTracker::start(node, fingerprint);
    let sent = node.upstream.send(request, deadline - now).await;
    // Whatever the result, tokens that child calls spent or still hold are not returned.
    *tokens = dispatched.close_tokens();
    match sent {
        Ok(response) => {
            tracker.record_response();
            dispatched.finish_answered(response.status);
            Ok(response)
        }
        Err(error @ TransportError::Connect { .. }) => {
            tracker.record_failure(&error, run_permit).await;
            dispatched.finish_undelivered();
            Err(lifecycle
                .undo_dispatch()
                .refuse(RefusalReason::UpstreamUnreachable))
        }
        Err(error) => {
            tracker.record_failure(&error, run_permit).await;
            Err(lifecycle.fail(failure_reason(&error)))
        }
    }
}

fn upstream_request(request: CallRequest, id: CallId) -> UpstreamRequest {
    let mut fields = request.headers;
    fields.push(HeaderField::new(headers::CALL, &id.to_string()));
    UpstreamRequest {
        method: request.method,
        path: request.path,
        headers: fields,
        body: request.body,
    }
}

const fn failure_reason(error: &TransportError) -> RefusalReason {
    match error {
        TransportError::TimedOut { .. } => RefusalReason::Timeout,
        TransportError::InvalidResponse { .. } => RefusalReason::BrokenAnswer,
        _ => RefusalReason::ConnectionLost,
    }
}

fn record_result(node: &SharedNode, result: &CallResult) {
    if let CallResult::Refused(refusal) = result {
        node.refusals.borrow_mut().record(refusal.reason);
    }
    let mut counters = node.counters.borrow_mut();
    match result {
        CallResult::Answered(_) => counters.answered += 1,
        CallResult::Refused(refusal) if refusal.is_not_run() => counters.refused += 1,
        CallResult::Refused(_) => counters.unknown += 1,
    }
}
