//! A call that may be hedged: after the high latency quantile of the route a second attempt goes to
//! another instance, the first complete response wins and the other attempt is cancelled (Dean and
//! Barroso, "The Tail at Scale", Communications of the ACM 56(2), 2013).

use crate::{
    calling::{
        call_attempt::{self, AttemptCall, AttemptReply, AttemptTarget},
        routed_call::{self, RoutedCall},
    },
    node::SharedNode,
};

use futures::future::{Either, LocalBoxFuture, select};
use lagoonshore_coordination::retries::{RouteKey, SharedTokens};
use lagoonshore_protocol::messages::CallResult;
use lagoonshore_state::units::TokenCount;
use std::{pin::pin, time::Duration};

/// An attempt in progress and the tokens granted to it.
struct RunningAttempt {
    reply: LocalBoxFuture<'static, AttemptReply>,
    granted: TokenCount,
}

/// Sends `call` to `target`, and hedges to another instance if `target` is slow and the hedge
/// budget allows it.
pub async fn send(
    node: &SharedNode,
    call: &mut RoutedCall,
    route: &RouteKey,
    target: AttemptTarget,
    retry_tokens: &SharedTokens,
) -> CallResult {
    let delay = hedge_delay(node, call, route);
    let mut first = start(node, call, route, target, retry_tokens);
    let Some(delay) = delay else {
        return finish(first, retry_tokens).await;
    };
    let hedge_timer = pin!(actix_rt::time::sleep(delay));
    if let Either::Left((reply, _)) = select(&mut first.reply, hedge_timer).await {
        return return_tokens(reply, first.granted, retry_tokens);
    }
    match start_hedge(node, call, route, retry_tokens) {
        Some(hedge) => race(node, first, hedge, retry_tokens).await,
        None => finish(first, retry_tokens).await,
    }
}

/// Sends `call` to `target` without a hedge.
pub async fn send_once(
    node: &SharedNode,
    call: &RoutedCall,
    route: &RouteKey,
    target: AttemptTarget,
    retry_tokens: &SharedTokens,
) -> CallResult {
    finish(start(node, call, route, target, retry_tokens), retry_tokens).await
}

fn hedge_delay(node: &SharedNode, call: &RoutedCall, route: &RouteKey) -> Option<Duration> {
    let delay = node.retries.borrow().hedge_delay(route);
    delay.filter(|_| call.idempotent && !node.is_pass_through())
}

fn start(
    node: &SharedNode,
    call: &RoutedCall,
    route: &RouteKey,
    target: AttemptTarget,
    retry_tokens: &SharedTokens,
) -> RunningAttempt {
    let granted = retry_tokens.grant();
    let attempt = AttemptCall {
        request: call.request.clone(),
        deadline: call.deadline,
        route: route.clone(),
        parent_class: call.parent_class.clone(),
    };
    let reply = call_attempt::send(node.clone(), attempt, target, granted);
    RunningAttempt {
        reply: Box::pin(reply),
        granted,
    }
}

fn start_hedge(
    node: &SharedNode,
    call: &mut RoutedCall,
    route: &RouteKey,
    retry_tokens: &SharedTokens,
) -> Option<RunningAttempt> {
    let before = call.tried.len();
    let target = call_attempt::choose_target(node, call)?;
    if !node.retries.borrow_mut().spend_hedge(retry_tokens) {
        call.tried.truncate(before);
        return None;
    }
    Some(start(node, call, route, target, retry_tokens))
}

/// Takes the first complete response and cancels the other attempt. If one attempt is refused, the
/// other decides the call.
async fn race(
    node: &SharedNode,
    first: RunningAttempt,
    hedge: RunningAttempt,
    retry_tokens: &SharedTokens,
) -> CallResult {
    let (reply, ended, running, is_hedge) = match select(first.reply, hedge.reply).await {
        Either::Left((reply, running)) => (reply, first.granted, (running, hedge.granted), false),
        Either::Right((reply, running)) => (reply, hedge.granted, (running, first.granted), true),
    };
    let other = RunningAttempt {
        reply: running.0,
        granted: running.1,
    };
    match return_tokens(reply, ended, retry_tokens) {
        CallResult::Answered(response) => {
            drop(other);
            node.retries.borrow_mut().record_cancelled(is_hedge);
            CallResult::Answered(response)
        }
        CallResult::Refused(refusal) => match finish(other, retry_tokens).await {
            CallResult::Answered(response) => CallResult::Answered(response),
            CallResult::Refused(latest) => {
                CallResult::Refused(routed_call::combine_refusals(refusal, latest))
            }
        },
    }
}

async fn finish(attempt: RunningAttempt, retry_tokens: &SharedTokens) -> CallResult {
    let granted = attempt.granted;
    return_tokens(attempt.reply.await, granted, retry_tokens)
}

fn return_tokens(
    reply: AttemptReply,
    granted: TokenCount,
    retry_tokens: &SharedTokens,
) -> CallResult {
    retry_tokens.return_unspent(reply.unspent, granted);
    reply.result
}
