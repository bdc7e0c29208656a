//! Sends a call to an instance of another service, and again where that is allowed.

use crate::{node::SharedNode, refusals};

use lagoonshore_coordination::{
    outcome::{CallOutcome, RefusalReason},
    request_life::CallRefusal,
    retries::TokenPurse,
};
use lagoonshore_protocol::messages::{CallReply, CallRequest, CallResult};
use lagoonshore_state::{ids::ClassName, instance_table::InstanceKey, units::TokenCount};
use lagoonshore_transport::TransportError;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Retry ratio for a service of which no policy is known.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// `RoutedCall` is a call with what bounds its repeats.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The call; its tokens are set for each try.
    pub request: CallRequest,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Whether the call may be sent again when its outcome is unknown.
    pub idempotent: bool,
    /// Class of the request that the call is made for, if it is made for one.
    pub made_for: Option<ClassName>,
    /// Instances that were tried before.
    pub tried: Vec<InstanceKey>,
}

/// `RoutedReply` is what became of a call, with the retry tokens that are left.
#[derive(Clone, Debug)]
pub struct RoutedReply {
    /// What became of the call.
    pub result: CallResult,
    /// Retry tokens that were not spent.
    pub tokens: TokenCount,
}

/// Sends `call`; tokens of `purse` pay for repeats here and below.
pub async fn route(node: &SharedNode, mut call: RoutedCall, mut purse: TokenPurse) -> RoutedReply {
    let service = call.request.service.clone();
    let policy = node.policy(&service);
    let ratio = policy.map_or(DEFAULT_RETRY_RATIO, |policy| policy.retries.ratio);
    node.budget.borrow_mut().record_call(ratio);
    node.counters.borrow_mut().calls += 1;
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    while let Some((key, address)) = choose(node, &call) {
        call.tried.push(key);
        match try_instance(node, &call, key, address, &mut purse).await {
            CallResult::Answered(answer) => {
                let result = CallResult::Answered(answer);
                return RoutedReply {
                    result,
                    tokens: purse.balance(),
                };
            }
            CallResult::Refused(latest) => refusal = combine(refusal, latest),
        }
        if !may_repeat(&call, refusal) || !spend(node, &mut purse) {
            break;
        }
        node.counters.borrow_mut().retries += 1;
    }
    RoutedReply {
        result: CallResult::Refused(refusal),
        tokens: purse.balance(),
    }
}

/// Joins the refusals of several tries: a call that may have run once is never `not-run`.
const fn combine(before: CallRefusal, latest: CallRefusal) -> CallRefusal {
    match before.outcome {
        CallOutcome::Unknown => CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: latest.reason,
        },
        _ => latest,
    }
}

fn may_repeat(call: &RoutedCall, refusal: CallRefusal) -> bool {
    let is_safe = refusal.is_not_run() || call.idempotent;
    is_safe && refusal.reason.helps_elsewhere() && Instant::now() < call.deadline
}

fn spend(node: &SharedNode, purse: &mut TokenPurse) -> bool {
    purse.balance().0 > 0 && node.budget.borrow_mut().spend() && purse.spend()
}

fn choose(node: &SharedNode, call: &RoutedCall) -> Option<(InstanceKey, SocketAddr)> {
    let table = node.instances.borrow();
    let selector = node.selector.borrow();
    let mut random = node.random.borrow_mut();
    let service = &call.request.service;
    let key = selector.choose(Instant::now(), &table, service, &call.tried, &mut *random)?;
    table.get(key).map(|record| (key, record.peer))
}

async fn try_instance(
    node: &SharedNode,
    call: &RoutedCall,
    key: InstanceKey,
    address: SocketAddr,
    purse: &mut TokenPurse,
) -> CallResult {
    let granted = purse.split();
    let mut request = call.request.clone();
    request.tokens = granted;
    let started = Instant::now();
    node.selector.borrow_mut().started(key);
    match node.links.call(address, request, call.deadline).await {
        Ok(reply) => {
            purse.put_back(reply.tokens, granted);
            note_reply(node, key, started, &reply);
            note_level(node, call, &reply);
            reply.result
        }
        Err(fault) => {
            node.selector.borrow_mut().failed(key, Instant::now());
            let refusal = link_refusal(&fault);
            if refusal.is_not_run() {
                purse.put_back(granted, granted);
            }
            CallResult::Refused(refusal)
        }
    }
}

fn note_reply(node: &SharedNode, key: InstanceKey, started: Instant, reply: &CallReply) {
    let mut selector = node.selector.borrow_mut();
    selector.set_draining(key, reply.load.draining);
    match &reply.result {
        CallResult::Answered(_) => selector.answered(key, started.elapsed()),
        CallResult::Refused(_) => selector.failed(key, Instant::now()),
    }
}

fn note_level(node: &SharedNode, call: &RoutedCall, reply: &CallReply) {
    if let Some(class) = &call.made_for {
        let mut levels = node.levels.borrow_mut();
        let service = &call.request.service;
        levels.note(Instant::now(), class, service, reply.load.level);
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
