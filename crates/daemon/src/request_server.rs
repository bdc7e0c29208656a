//! Serves a request on the node's own upstream: admission, hand-over, whole answer.

use crate::{
    crash_response::HandOverMark, exclusive_gate::RunPass, life_cycle, node::SharedNode, refusals,
    suspect_gate,
};

use lagoonshore_coordination::{
    admission::AdmissionOffer,
    call_table::ServedCall,
    fingerprint::RequestFingerprint,
    outcome::RefusalReason,
    request_life::{AdmittedState, CallRefusal, RequestLife},
    retries::TokenPurse,
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallReply, CallRequest, CallResult, WholeAnswer},
};
use lagoonshore_state::{ids::CallId, units::TokenCount};
use lagoonshore_transport::{TransportError, upstream_client::UpstreamRequest};
use tokio::time::Instant;

/// Serves `request`, which must be answered before `deadline`.
pub async fn serve(node: &SharedNode, request: CallRequest, deadline: Instant) -> CallReply {
    node.counters.borrow_mut().offered += 1;
    let granted = request.tokens;
    let fingerprint = suspect_gate::fingerprint(&request);
    let (result, tokens) = match admit_and_run(node, request, deadline, fingerprint).await {
        Ok((answer, tokens)) => (CallResult::Answered(answer), tokens),
        Err(refusal) => (CallResult::Refused(refusal), granted),
    };
    count(node, &result);
    CallReply {
        result,
        tokens,
        load: node.load(),
        suspect: suspect_gate::report(node, fingerprint),
    }
}

async fn admit_and_run(
    node: &SharedNode,
    request: CallRequest,
    deadline: Instant,
    fingerprint: RequestFingerprint,
) -> Result<(WholeAnswer, TokenCount), CallRefusal> {
    if let Some(reason) = life_cycle::refusal(node) {
        return Err(refusals::on_arrival(reason));
    }
    if !node.is_ready() {
        return Err(refusals::on_arrival(RefusalReason::Starting));
    }
    let Some(policy) = node.policy(&node.settings.service) else {
        return Err(refusals::on_arrival(RefusalReason::NoPolicy));
    };
    suspect_gate::learn(node, fingerprint, request.crashes);
    suspect_gate::check(node, fingerprint).map_err(refusals::on_arrival)?;
    let class = policy.class_of(&request.method, &request.path);
    let deadline = deadline.min(Instant::now() + class.timeout);
    let life = RequestLife::arrived();
    if node.passes_through() {
        let pass = node.guard.exclusive.shared(deadline).await;
        let pass = pass.map_err(refusals::on_arrival)?;
        return run(node, life.admit(), request, deadline, (fingerprint, pass)).await;
    }
    let lane = class.lane;
    let offer = AdmissionOffer {
        importance: request.importance,
        lane,
        deadline,
    };
    let permit = match node.gate.acquire(offer).await {
        Ok(permit) => permit,
        Err(reason) => return Err(life.refuse(reason)),
    };
    let life = life.admit();
    let pass = match suspect_gate::enter(node, fingerprint, deadline).await {
        Ok(pass) => pass,
        Err(reason) => return Err(life.refuse(reason)),
    };
    let mark = (fingerprint, pass);
    let served = run(node, life, request, deadline, mark).await;
    drop(permit);
    served
}

async fn run(
    node: &SharedNode,
    life: RequestLife<AdmittedState>,
    request: CallRequest,
    deadline: Instant,
    (fingerprint, pass): (RequestFingerprint, RunPass),
) -> Result<(WholeAnswer, TokenCount), CallRefusal> {
    let now = Instant::now();
    if deadline <= now {
        return Err(life.refuse(RefusalReason::Timeout));
    }
    let entry = CallEntry::open(node, &request, deadline);
    let life = life.hand_over();
    node.counters.borrow_mut().handed_over += 1;
    let request = upstream_request(request, entry.id);
    let mark = HandOverMark::open(node, fingerprint);
    match node.upstream.send(request, deadline - now).await {
        Ok(answer) => {
            mark.answered();
            Ok((answer, entry.close()))
        }
        Err(fault) => {
            mark.failed(&fault, pass).await;
            Err(match fault {
                TransportError::Connect { .. } => {
                    life.take_back().refuse(RefusalReason::UpstreamUnreachable)
                }
                fault => life.lose(lost_reason(&fault)),
            })
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

/// Keeps a request in the call table until it is answered or its future is dropped.
struct CallEntry {
    node: SharedNode,
    id: CallId,
}

impl CallEntry {
    fn open(node: &SharedNode, request: &CallRequest, deadline: Instant) -> Self {
        let call = ServedCall {
            importance: request.importance,
            deadline,
            caller: request.caller,
            purse: TokenPurse::new(request.tokens),
            key: headers::find(&request.headers, headers::IDEMPOTENCY_KEY).map(Into::into),
            children: 0,
        };
        let id = node.calls.borrow_mut().open(call);
        Self {
            node: node.clone(),
            id,
        }
    }

    /// Removes the request and returns the tokens that it did not spend.
    fn close(self) -> TokenCount {
        self.node.calls.borrow_mut().close(self.id)
    }
}

impl Drop for CallEntry {
    fn drop(&mut self) {
        self.node.calls.borrow_mut().close(self.id);
    }
}
