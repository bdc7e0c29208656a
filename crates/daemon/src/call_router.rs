//! Sends a call to an instance of another service, and again where that is allowed.

use crate::{bound_call, node::SharedNode, refusals, suspect_gate};

use lagoonshore_coordination::{
    outcome::{CallOutcome, RefusalReason},
    request_life::CallRefusal,
    retries::TokenPurse,
};
use lagoonshore_protocol::messages::{CallReply, CallRequest, CallResult};
use lagoonshore_state::{ids::ClassName, instance_table::InstanceKey, units::TokenCount};
use lagoonshore_transport::TransportError;
use rand::seq::IndexedRandom;
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
pub async fn route(node: &SharedNode, call: RoutedCall, purse: TokenPurse) -> RoutedReply {
    if call.request.key.is_some() {
        return bound_call::route(node, call, purse).await;
    }
    route_idempotent(node, call, purse).await
}

async fn route_idempotent(
    node: &SharedNode,
    mut call: RoutedCall,
    mut purse: TokenPurse,
) -> RoutedReply {
    record_call(node, &call);
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    let fingerprint = suspect_gate::fingerprint(&call.request);
    while let Some((key, address)) = choose(node, &call) {
        if let Err(reason) = suspect_gate::check(node, fingerprint) {
            refusal = combine(refusal, refusals::on_arrival(reason));
            break;
        }
        let held = suspect_gate::report(node, fingerprint);
        call.request.crashes = held.map_or(0, |report| report.crashes);
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

/// Counts a first try and earns its share of a retry.
pub(crate) fn record_call(node: &SharedNode, call: &RoutedCall) {
    let policy = node.policy(&call.request.service);
    let ratio = policy.map_or(DEFAULT_RETRY_RATIO, |policy| policy.retries.ratio);
    node.budget.borrow_mut().record_call(ratio);
    node.counters.borrow_mut().calls += 1;
}

/// Joins the refusals of several tries: a call that may have run once is never `not-run`.
pub(crate) const fn combine(before: CallRefusal, latest: CallRefusal) -> CallRefusal {
    match before.outcome {
        CallOutcome::Unknown => CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: latest.reason,
        },
        _ => latest,
    }
}

pub(crate) fn may_repeat(call: &RoutedCall, refusal: CallRefusal) -> bool {
    let is_safe = refusal.is_not_run() || call.idempotent;
    is_safe && refusal.reason.helps_elsewhere() && Instant::now() < call.deadline
}

pub(crate) fn spend(node: &SharedNode, purse: &mut TokenPurse) -> bool {
    !node.passes_through()
        && purse.balance().0 > 0
        && node.budget.borrow_mut().spend()
        && purse.spend()
}

pub(crate) fn choose(node: &SharedNode, call: &RoutedCall) -> Option<(InstanceKey, SocketAddr)> {
    let table = node.instances.borrow();
    let selector = node.selector.borrow();
    let mut random = node.random.borrow_mut();
    let service = &call.request.service;
    if node.passes_through() {
        let listed: Vec<_> = table.of_service(service).collect();
        return listed
            .choose(&mut *random)
            .map(|(key, record)| (*key, record.peer));
    }
    let key = selector.choose(Instant::now(), &table, service, &call.tried, &mut *random)?;
    table.get(key).map(|record| (key, record.peer))
}

pub(crate) async fn try_instance(
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
            suspect_gate::learn_reply(node, &reply);
            note_level(node, call, &reply);
            reply.result
        }
        Err(fault) => {
            node.selector.borrow_mut().failed(key, Instant::now());
            let refusal = link_refusal(&fault);
            suspect_gate::note_lost_link(node, &call.request, refusal);
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
