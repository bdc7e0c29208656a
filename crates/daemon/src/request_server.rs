//! Serves a request on the node's own upstream: admission, hand-over, whole answer.

use crate::{admission_gate::SlotPermit, hand_over::HandOver, node::SharedNode, refusals};

use lagoonshore_coordination::{
    admission::AdmissionOffer,
    outcome::RefusalReason,
    request_life::{AdmittedState, CallRefusal, RequestLife},
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallReply, CallRequest, CallResult, WholeAnswer},
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
    let granted = request.tokens;
    let policy = node.policy(&node.settings.service);
    let class = policy.map(|policy| policy.class_of(&request.method, &request.path));
    let name = class.as_ref().map(|class| class.name.clone());
    let (result, tokens) = match admit_and_run(node, request, class, deadline).await {
        Ok((answer, tokens)) => (CallResult::Answered(answer), tokens),
        Err(refusal) => (CallResult::Refused(refusal), granted),
    };
    count(node, &result);
    CallReply {
        result,
        tokens,
        load: node.load(&name.unwrap_or_default()),
    }
}

async fn admit_and_run(
    node: &SharedNode,
    request: CallRequest,
    class: Option<RequestClass>,
    deadline: Instant,
) -> Result<(WholeAnswer, TokenCount), CallRefusal> {
    if node.drain.borrow().is_draining() {
        return Err(refusals::on_arrival(RefusalReason::Draining));
    }
    let Some(class) = class else {
        return Err(refusals::on_arrival(RefusalReason::NoPolicy));
    };
    if !passes_route(node, &request, &class) {
        node.counters.borrow_mut().refused_early += 1;
        return Err(refusals::on_arrival(RefusalReason::Overload));
    }
    let deadline = deadline.min(Instant::now() + class.timeout);
    let life = RequestLife::arrived();
    let offer = AdmissionOffer {
        importance: request.importance,
        class: class.name.clone(),
        caller: request.caller,
        lane: class.lane,
        timeout: class.timeout,
        deadline,
    };
    let permit = match node.gate.acquire(offer).await {
        Ok(permit) => permit,
        Err(reason) => return Err(life.refuse(reason)),
    };
    let admitted = AdmittedRequest {
        request,
        class: class.name,
        deadline,
        permit,
    };
    run(node, life.admit(), admitted).await
}

/// Tells whether the services behind this one, as far as they are known, take such a request.
fn passes_route(node: &SharedNode, request: &CallRequest, class: &RequestClass) -> bool {
    let level = node.levels.borrow().route(Instant::now(), &class.name);
    level.admits(request.importance, request.caller)
}

/// A request that holds a slot.
struct AdmittedRequest {
    request: CallRequest,
    class: ClassName,
    deadline: Instant,
    permit: SlotPermit,
}

async fn run(
    node: &SharedNode,
    life: RequestLife<AdmittedState>,
    admitted: AdmittedRequest,
) -> Result<(WholeAnswer, TokenCount), CallRefusal> {
    let AdmittedRequest {
        request,
        class,
        deadline,
        permit,
    } = admitted;
    let now = Instant::now();
    if deadline <= now {
        return Err(life.refuse(RefusalReason::Timeout));
    }
    let hand_over = HandOver::open(node, permit, &request, class, deadline);
    let life = life.hand_over();
    node.counters.borrow_mut().handed_over += 1;
    let request = upstream_request(request, hand_over.id());
    match node.upstream.send(request, deadline - now).await {
        Ok(answer) => {
            let unspent = hand_over.answered(answer.status);
            Ok((answer, unspent))
        }
        Err(TransportError::Connect { .. }) => {
            hand_over.taken_back();
            Err(life.take_back().refuse(RefusalReason::UpstreamUnreachable))
        }
        Err(fault) => Err(life.lose(lost_reason(&fault))),
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
        TransportError::BrokenAnswer { .. } => RefusalReason::BrokenAnswer,
        _ => RefusalReason::ConnectionLost,
    }
}

fn count(node: &SharedNode, result: &CallResult) {
    let mut counters = node.counters.borrow_mut();
    match result {
        CallResult::Answered(_) => counters.answered += 1,
        CallResult::Refused(refusal) if refusal.is_not_run() => counters.refused += 1,
        CallResult::Refused(_) => counters.unknown += 1,
    }
}
