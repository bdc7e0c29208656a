//! Sends a call to an instance of another service, with retries where they are safe.

use crate::{
    calling::{
        bound_call, call_attempt, hedged_call, refusals,
        routed_call::{self, RoutedCall},
    },
    node::SharedNode,
    protection::suspect_gate,
};

use lagoonshore_coordination::{
    request::outcome::RefusalReason,
    retries::{RouteKey, SharedTokens},
};
use lagoonshore_protocol::messages::{CallRequest, CallResult};

/// Retries per call that are allowed to a service whose policy is unknown.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Sends `call`; `retry_tokens` pay for retries here and further down the call chain.
pub async fn route(node: &SharedNode, call: RoutedCall, retry_tokens: &SharedTokens) -> CallResult {
    let rules = CallRules::of(node, &call);
    record_call(node, rules.ratio, call.idempotent);
    if call.request.key.is_some() {
        return bound_call::route(node, call, &rules.route, retry_tokens).await;
    }
    route_idempotent(node, call, &rules.route, retry_tokens).await
}

async fn route_idempotent(
    node: &SharedNode,
    mut call: RoutedCall,
    route: &RouteKey,
    retry_tokens: &SharedTokens,
) -> CallResult {
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    let fingerprint = suspect_gate::fingerprint(&call.request);
    let mut next = call_attempt::choose_target(node, &mut call);
    while let Some(target) = next {
        if let Err(reason) = suspect_gate::attach_report(node, fingerprint, &mut call.request) {
            refusal = routed_call::combine_refusals(refusal, refusals::on_arrival(reason));
            break;
        }
        match hedged_call::send(node, &mut call, route, target, retry_tokens).await {
            CallResult::Answered(response) => return CallResult::Answered(response),
            CallResult::Refused(latest) => refusal = routed_call::combine_refusals(refusal, latest),
        }
        if !routed_call::can_retry(&call, refusal) {
            break;
        }
        next = call_attempt::choose_target(node, &mut call);
        // A token is spent only if there is another instance to try.
        if next.is_none() || !routed_call::spend_retry(node, retry_tokens) {
            break;
        }
        node.counters.borrow_mut().retries += 1;
    }
    CallResult::Refused(refusal)
}

fn record_call(node: &SharedNode, ratio: f64, idempotent: bool) {
    node.counters.borrow_mut().calls += 1;
    node.retries.borrow_mut().record_call(ratio, idempotent);
}

/// Settings of a call from the policy of the called service.
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
