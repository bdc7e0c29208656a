//! Sends a call to an instance of another service, and again where that is allowed.

use crate::{call_attempt, hedged_call, node::SharedNode, refusals};

use lagoonshore_coordination::{
    outcome::{CallOutcome, RefusalReason},
    request_life::CallRefusal,
    retries::{RouteKey, SharedPurse},
};
use lagoonshore_protocol::messages::{CallRequest, CallResult};
use lagoonshore_state::instance_table::InstanceKey;
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
    /// Instances that were tried before.
    pub tried: Vec<InstanceKey>,
}

/// Sends `call`; tokens of `purse` pay for repeats here and below.
pub async fn route(node: &SharedNode, mut call: RoutedCall, purse: &SharedPurse) -> CallResult {
    let rules = CallRules::of(node, &call);
    count_call(node, rules.ratio, call.idempotent);
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    while let Some(target) = call_attempt::choose(node, &mut call) {
        match hedged_call::send(node, &mut call, &rules.route, target, purse).await {
            CallResult::Answered(answer) => return CallResult::Answered(answer),
            CallResult::Refused(latest) => refusal = combine(refusal, latest),
        }
        if !may_repeat(&call, refusal) || !node.retries.borrow_mut().spend_retry(purse) {
            break;
        }
        node.counters.borrow_mut().retries += 1;
    }
    CallResult::Refused(refusal)
}

fn count_call(node: &SharedNode, ratio: f64, idempotent: bool) {
    node.counters.borrow_mut().calls += 1;
    node.retries.borrow_mut().record_call(ratio, idempotent);
}

/// What the policy of the called service says of a call.
struct CallRules {
    route: RouteKey,
    ratio: f64,
}

impl CallRules {
    fn of(node: &SharedNode, call: &RoutedCall) -> Self {
        let CallRequest {
            service,
            method,
            path,
            ..
        } = &call.request;
        let policy = node.policy(service);
        let class = policy.as_ref().map(|policy| policy.class_of(method, path));
        let route = RouteKey {
            service: service.clone(),
            class: class.map(|class| class.name).unwrap_or_default(),
        };
        let ratio = policy.map_or(DEFAULT_RETRY_RATIO, |policy| policy.retries.ratio);
        Self { route, ratio }
    }
}

/// Joins the refusals of several tries: a call that may have run once is never `not-run`.
#[must_use]
pub const fn combine(before: CallRefusal, latest: CallRefusal) -> CallRefusal {
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
