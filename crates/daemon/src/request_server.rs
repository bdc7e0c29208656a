//! Serves a request on the node's own upstream: admission, hand-over, whole answer.

use crate::{node::SharedNode, refusals};

use lagoonshore_coordination::{
    admission::AdmissionOffer,
    call_table::ServedCall,
    outcome::RefusalReason,
    request_life::{AdmittedState, CallRefusal, RequestLife},
    retries::{SharedPurse, repeat_table::RepeatTable},
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
    let mut tokens = request.tokens;
    let result = match admit_and_run(node, request, deadline, &mut tokens).await {
        Ok(answer) => CallResult::Answered(answer),
        Err(refusal) => CallResult::Refused(refusal),
    };
    count(node, &result);
    CallReply {
        result,
        tokens,
        load: node.load(),
    }
}

async fn admit_and_run(
    node: &SharedNode,
    request: CallRequest,
    deadline: Instant,
    tokens: &mut TokenCount,
) -> Result<WholeAnswer, CallRefusal> {
    if node.drain.borrow().is_draining() {
        return Err(refusals::on_arrival(RefusalReason::Draining));
    }
    let Some(policy) = node.policy(&node.settings.service) else {
        return Err(refusals::on_arrival(RefusalReason::NoPolicy));
    };
    let class = policy.class_of(&request.method, &request.path);
    let deadline = deadline.min(Instant::now() + class.timeout);
    let life = RequestLife::arrived();
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
    let served = run(node, life.admit(), request, deadline, tokens).await;
    drop(permit);
    served
}

async fn run(
    node: &SharedNode,
    life: RequestLife<AdmittedState>,
    request: CallRequest,
    deadline: Instant,
    tokens: &mut TokenCount,
) -> Result<WholeAnswer, CallRefusal> {
    let now = Instant::now();
    if deadline <= now {
        return Err(life.refuse(RefusalReason::Timeout));
    }
    let entry = CallEntry::open(node, &request, deadline);
    let life = life.hand_over();
    node.counters.borrow_mut().handed_over += 1;
    let request = upstream_request(request, entry.id);
    let sent = node.upstream.send(request, deadline - now).await;
    // Whatever became of the request, tokens that child calls spent or still hold do not return.
    *tokens = entry.close();
    match sent {
        Ok(answer) => Ok(answer),
        Err(TransportError::Connect { .. }) => {
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
            purse: SharedPurse::new(request.tokens),
            children: 0,
            repeats: RepeatTable::default(),
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
