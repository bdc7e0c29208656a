//! Serves a request on the node's own upstream: admission, hand-over, whole answer.

use crate::{
    calling::refusals,
    guards::{exclusive_gate::RunPass, suspect_gate},
    life::life_cycle,
    node::SharedNode,
    observation::node_metrics,
    serving::{admission_gate::SlotPermit, hand_over::HandOver, hand_over_mark::HandOverMark},
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
        Ok(answer) => CallResult::Answered(answer),
        Err(refusal) => CallResult::Refused(refusal),
    };
    count(node, &result);
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
    if let Some(reason) = life_cycle::refusal(node) {
        return Err(refusals::on_arrival(reason));
    }
    if !node.is_ready() {
        return Err(refusals::on_arrival(RefusalReason::Starting));
    }
    let Some(class) = class else {
        return Err(refusals::on_arrival(RefusalReason::NoPolicy));
    };
    suspect_gate::learn(node, fingerprint, request.crashes);
    suspect_gate::check(node, fingerprint).map_err(refusals::on_arrival)?;
    let is_early = !node.passes_through() && !passes_route(node, &request, &class);
    if is_early {
        node.counters.borrow_mut().refused_early += 1;
        return Err(refusals::on_arrival(RefusalReason::Overload));
    }
    let deadline = deadline.min(Instant::now() + class.timeout);
    let life = RequestLifecycle::arrived();
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
        Err(reason) => return Err(life.refuse(reason)),
    };
    let life = life.admit();
    let pass = match suspect_gate::enter(node, fingerprint, deadline).await {
        Ok(pass) => pass,
        Err(reason) => return Err(life.refuse(reason)),
    };
    let admitted = AdmittedRequest {
        request,
        class: class.name,
        deadline,
        permit,
        fingerprint,
        pass,
    };
    run(node, life, admitted, tokens).await
}

/// Waits for a slot; a node that passes everything through needs none.
async fn acquire(
    node: &SharedNode,
    offer: AdmissionRequest,
) -> Result<Option<SlotPermit>, RefusalReason> {
    if node.passes_through() {
        return Ok(None);
    }
    let started = Instant::now();
    let permit = node.gate.acquire(offer).await;
    node_metrics::record_queue_wait(started.elapsed());
    permit.map(Some)
}

/// Tells whether the services behind this one, as far as they are known, take such a request.
fn passes_route(node: &SharedNode, request: &CallRequest, class: &RequestClass) -> bool {
    let level = node
        .levels
        .borrow()
        .route_level(Instant::now(), &class.name);
    level.admits(request.importance, request.caller)
}

/// A request that holds a slot and may be handed over.
struct AdmittedRequest {
    request: CallRequest,
    class: ClassName,
    deadline: Instant,
    permit: Option<SlotPermit>,
    fingerprint: RequestFingerprint,
    pass: RunPass,
}

async fn run(
    node: &SharedNode,
    life: RequestLifecycle<AdmittedState>,
    admitted: AdmittedRequest,
    tokens: &mut TokenCount,
) -> Result<UpstreamResponse, CallRefusal> {
    let AdmittedRequest {
        request,
        class,
        deadline,
        permit,
        fingerprint,
        pass,
    } = admitted;
    let now = Instant::now();
    if deadline <= now {
        return Err(life.refuse(RefusalReason::Timeout));
    }
    let hand_over = HandOver::open(node, permit, &request, class, deadline);
    let life = life.dispatch();
    node.counters.borrow_mut().handed_over += 1;
    let request = upstream_request(request, hand_over.id());
    let mark = HandOverMark::open(node, fingerprint);
    let sent = node.upstream.send(request, deadline - now).await;
    // Whatever became of the request, tokens that child calls spent or still hold do not return.
    *tokens = hand_over.take_tokens();
    match sent {
        Ok(answer) => {
            mark.answered();
            hand_over.answered(answer.status);
            Ok(answer)
        }
        Err(fault @ TransportError::Connect { .. }) => {
            mark.failed(&fault, pass).await;
            hand_over.taken_back();
            Err(life
                .undo_dispatch()
                .refuse(RefusalReason::UpstreamUnreachable))
        }
        Err(fault) => {
            mark.failed(&fault, pass).await;
            Err(life.fail(lost_reason(&fault)))
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

const fn lost_reason(fault: &TransportError) -> RefusalReason {
    match fault {
        TransportError::TimedOut { .. } => RefusalReason::Timeout,
        TransportError::InvalidResponse { .. } => RefusalReason::BrokenAnswer,
        _ => RefusalReason::ConnectionLost,
    }
}

fn count(node: &SharedNode, result: &CallResult) {
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
