//! The door for the calls that the node's own upstream makes.

use crate::{
    call_router::{self, RoutedCall},
    node::SharedNode,
    refusals,
};

use lagoonshore_coordination::{
    outcome::RefusalReason,
    retries::{
        SharedPurse,
        repeat_table::{self, CallDigest},
    },
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::CallRequest,
};
use lagoonshore_state::{
    ids::CallerHash,
    policy::RequestClass,
    units::{RequestImportance, TokenCount},
};
use lagoonshore_transport::http_door::{DoorAnswer, DoorRequest};
use tokio::time::Instant;

/// What a call inherits from the request that it is made for.
struct InheritedContext {
    importance: RequestImportance,
    deadline: Instant,
    caller: CallerHash,
    purse: SharedPurse,
}

/// Answers one call of the upstream.
pub async fn answer(node: SharedNode, request: DoorRequest) -> DoorAnswer {
    let DoorRequest {
        method,
        path,
        headers: fields,
        body,
    } = request;
    let body = match body {
        Ok(body) => body,
        Err(fault) => return refusals::refuse_body(fault),
    };
    let Some(service) = called_service(&fields) else {
        let refusal = refusals::on_arrival(RefusalReason::BadRequest);
        return refusals::refuse(refusal, "the Host header must name the called service");
    };
    let Some(policy) = node.policy(service) else {
        let detail = format!("no policy is in force for {service}");
        return refusals::refuse(refusals::on_arrival(RefusalReason::NoPolicy), &detail);
    };
    let class = policy.class_of(&method, &path);
    let digest = repeat_table::digest(service, &method, &path, &body);
    let Some(context) = inherit(&node, &fields, &class, digest) else {
        let refusal = refusals::on_arrival(RefusalReason::RetryLimit);
        return refusals::refuse(refusal, "the upstream repeats a call and no retry is left");
    };
    let request = CallRequest {
        service: service.into(),
        method,
        path,
        headers: headers::relayed(fields),
        body,
        importance: context.importance,
        caller: context.caller,
        tokens: TokenCount(0),
    };
    let call = RoutedCall {
        request,
        deadline: context.deadline,
        idempotent: class.idempotent,
        tried: Vec::new(),
    };
    let result = call_router::route(&node, call, &context.purse).await;
    refusals::to_answer(result)
}

fn called_service(fields: &[HeaderField]) -> Option<&str> {
    let host = headers::find(fields, "host")?;
    let name = host.split(':').next()?;
    (!name.is_empty()).then_some(name)
}

/// Takes importance, deadline and the purse of the request that is being served.
/// A call that names none counts as least important and has no tokens. `None` refuses a repeat
/// that the upstream makes itself and that no token is left for.
fn inherit(
    node: &SharedNode,
    fields: &[HeaderField],
    class: &RequestClass,
    digest: CallDigest,
) -> Option<InheritedContext> {
    let longest = Instant::now() + class.timeout;
    let id = headers::find(fields, headers::CALL).and_then(|text| text.parse().ok());
    let mut calls = node.calls.borrow_mut();
    let Some(parent) = id.and_then(|id| calls.get_mut(id)) else {
        return Some(InheritedContext {
            importance: RequestImportance::LEAST,
            deadline: longest,
            caller: CallerHash::default(),
            purse: SharedPurse::new(TokenCount(0)),
        });
    };
    let is_repeat = parent.repeats.record(digest);
    if is_repeat && !node.retries.borrow_mut().spend_repeat(&parent.purse) {
        return None;
    }
    parent.children += 1;
    Some(InheritedContext {
        importance: parent.importance,
        deadline: parent.deadline.min(longest),
        caller: parent.caller,
        purse: parent.purse.clone(),
    })
}
