//! The door for the calls that the node's own upstream makes.

use crate::{
    call_router::{self, RoutedCall},
    keyed_work,
    node::SharedNode,
    refusals,
};

use compact_str::CompactString;
use lagoonshore_coordination::{child_key, outcome::RefusalReason, retries::TokenPurse};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallRequest, MessageStamp},
};
use lagoonshore_state::{
    ids::{CallId, CallerHash, ClassName},
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
    tokens: TokenCount,
    parent: Option<CallId>,
    child_key: Option<CompactString>,
    made_for: Option<ClassName>,
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
    let Some(context) = inherit(&node, service, &fields, &class) else {
        let refusal = refusals::on_arrival(RefusalReason::Timeout);
        return refusals::refuse(refusal, "the request that the call is made for has ended");
    };
    let mut request = CallRequest {
        service: service.into(),
        method,
        path,
        headers: headers::relayed(fields),
        body,
        importance: context.importance,
        caller: context.caller,
        tokens: TokenCount(0),
        key: None,
        stamp: MessageStamp::default(),
        crashes: 0,
    };
    if !class.idempotent {
        keyed_work::give_call_key(&node, &mut request, context.child_key);
    }
    let call = RoutedCall {
        request,
        deadline: context.deadline,
        idempotent: class.idempotent,
        made_for: context.made_for,
        tried: Vec::new(),
    };
    if !node.passes_through() && !passes_level(&node, &call) {
        node.counters.borrow_mut().refused_early += 1;
        put_back(&node, context.parent, context.tokens, context.tokens);
        return refusals::refuse(refusals::on_arrival(RefusalReason::Overload), "");
    }
    let timer = ChildTimer::start(&node, context.parent);
    let reply = call_router::route(&node, call, TokenPurse::new(context.tokens)).await;
    drop(timer);
    put_back(&node, context.parent, reply.tokens, context.tokens);
    refusals::to_answer(reply.result)
}

/// Tells whether the called service, as far as it is known, takes such a call.
fn passes_level(node: &SharedNode, call: &RoutedCall) -> bool {
    let RoutedCall {
        request, made_for, ..
    } = call;
    let class = made_for.as_deref().unwrap_or_default();
    let levels = node.levels.borrow();
    let level = levels.service(Instant::now(), class, &request.service);
    level.admits(request.importance, request.caller)
}

/// Measures the time of a child call until it is dropped.
struct ChildTimer {
    node: SharedNode,
    parent: Option<CallId>,
}

impl ChildTimer {
    fn start(node: &SharedNode, parent: Option<CallId>) -> Self {
        let mut calls = node.calls.borrow_mut();
        if let Some(call) = parent.and_then(|parent| calls.get_mut(parent)) {
            call.child_clock.start(Instant::now());
        }
        drop(calls);
        let node = node.clone();
        Self { node, parent }
    }
}

impl Drop for ChildTimer {
    fn drop(&mut self) {
        let mut calls = self.node.calls.borrow_mut();
        if let Some(call) = self.parent.and_then(|parent| calls.get_mut(parent)) {
            call.child_clock.finish(Instant::now());
        }
    }
}

fn called_service(fields: &[HeaderField]) -> Option<&str> {
    let host = headers::find(fields, "host")?;
    let name = host.split(':').next()?;
    (!name.is_empty()).then_some(name)
}

/// Takes importance, deadline and a share of the tokens from the request that is being served.
/// A call that names none counts as least important and has no tokens. `None` if the request
/// that it names has ended: nobody waits for such work.
fn inherit(
    node: &SharedNode,
    service: &str,
    fields: &[HeaderField],
    class: &RequestClass,
) -> Option<InheritedContext> {
    let longest = Instant::now() + class.timeout;
    let Some(id) = headers::find(fields, headers::CALL) else {
        return Some(InheritedContext {
            importance: RequestImportance::LEAST,
            deadline: longest,
            caller: CallerHash::default(),
            tokens: TokenCount(0),
            parent: None,
            child_key: None,
            made_for: None,
        });
    };
    let id: CallId = id.parse().ok()?;
    let mut calls = node.calls.borrow_mut();
    let parent = calls.get_mut(id)?;
    parent.children += 1;
    let child_key = parent
        .key
        .as_deref()
        .map(|key| child_key::derive(key, service, parent.children));
    Some(InheritedContext {
        importance: parent.importance,
        deadline: parent.deadline.min(longest),
        caller: parent.caller,
        tokens: parent.purse.split(),
        parent: Some(id),
        child_key,
        made_for: Some(parent.class.clone()),
    })
}

fn put_back(node: &SharedNode, parent: Option<CallId>, unspent: TokenCount, granted: TokenCount) {
    let mut calls = node.calls.borrow_mut();
    if let Some(parent) = parent.and_then(|parent| calls.get_mut(parent)) {
        parent.purse.put_back(unspent, granted);
    }
}
