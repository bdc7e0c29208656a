//! The listener for the calls that the local upstream makes.

use crate::{
    calling::{call_router, refusals, routed_call::RoutedCall},
    node::SharedNode,
};

use compact_str::CompactString;
use lagoonshore_coordination::{
    at_most_once::child_key,
    request::outcome::RefusalReason,
    retries::{
        SharedTokens,
        retry_detector::{self, CallDigest},
    },
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallRequest, MessageStamp},
};
use lagoonshore_state::{
    ids::{CallId, CallerHash, ClassName},
    policy::RequestClass,
    units::{RequestImportance, TokenCount},
};
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use tokio::time::Instant;

/// What a call inherits from its parent request.
struct InheritedContext {
    importance: RequestImportance,
    deadline: Instant,
    caller: CallerHash,
    retry_tokens: SharedTokens,
    parent: Option<CallId>,
    child_key: Option<CompactString>,
    parent_class: Option<ClassName>,
}

/// Handles one call of the upstream.
pub async fn handle(node: SharedNode, request: HttpRequest) -> HttpResponse {
    let HttpRequest {
        method,
        path,
        headers: fields,
        body,
    } = request;
    let body = match body {
        Ok(body) => body,
        Err(error) => return refusals::refuse_body(error),
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
    let digest = retry_detector::digest(service, &method, &path, &body);
    let context = match inherit(&node, service, &fields, &class, digest) {
        Ok(context) => context,
        Err(error) => return error.to_response(),
    };
    let mut request = CallRequest {
        service: service.into(),
        method,
        path,
        headers: headers::forwardable(fields),
        body,
        importance: context.importance,
        caller: context.caller,
        tokens: TokenCount(0),
        key: None,
        stamp: MessageStamp::default(),
        crashes: Vec::new(),
    };
    if !class.idempotent {
        node.executions
            .set_call_key(&mut request, context.child_key);
    }
    let call = RoutedCall {
        request,
        deadline: context.deadline,
        idempotent: class.idempotent,
        parent_class: context.parent_class,
        tried: Vec::new(),
    };
    if !node.is_pass_through() && !is_admitted_by_service(&node, &call) {
        node.counters.borrow_mut().refused_early += 1;
        return refusals::refuse(refusals::on_arrival(RefusalReason::Overload), "");
    }
    let timer = ChildTimerGuard::start(&node, context.parent);
    let result = call_router::route(&node, call, &context.retry_tokens).await;
    drop(timer);
    refusals::to_response(result)
}

/// Returns whether the called service admits such a call, by the last admission level it reported.
fn is_admitted_by_service(node: &SharedNode, call: &RoutedCall) -> bool {
    let RoutedCall {
        request,
        parent_class,
        ..
    } = call;
    let class = parent_class.as_deref().unwrap_or_default();
    let levels = node.levels.borrow();
    let level = levels.service_level(Instant::now(), class, &request.service);
    level.admits(request.importance, request.caller)
}

/// Measures the time of a child call until it is dropped.
struct ChildTimerGuard {
    node: SharedNode,
    parent: Option<CallId>,
}

impl ChildTimerGuard {
    fn start(node: &SharedNode, parent: Option<CallId>) -> Self {
        let mut calls = node.calls.borrow_mut();
        if let Some(call) = parent.and_then(|parent| calls.get_mut(parent)) {
            call.child_timer.start(Instant::now());
        }
        drop(calls);
        let node = node.clone();
        Self { node, parent }
    }
}

impl Drop for ChildTimerGuard {
    fn drop(&mut self) {
        let mut calls = self.node.calls.borrow_mut();
        if let Some(call) = self.parent.and_then(|parent| calls.get_mut(parent)) {
            call.child_timer.finish(Instant::now());
        }
    }
}

fn called_service(fields: &[HeaderField]) -> Option<&str> {
    let host = headers::find(fields, "host")?;
    let name = host.split(':').next()?;
    (!name.is_empty()).then_some(name)
}

/// Reason why a call inherits nothing and is refused.
enum InheritError {
    /// The parent request has ended, so nobody waits for the result of the call.
    ParentEnded,
    /// The call is a retry by the upstream and no retry token is left.
    NoRetryLeft,
}

impl InheritError {
    fn to_response(&self) -> HttpResponse {
        let (reason, detail) = match self {
            Self::ParentEnded => (
                RefusalReason::Timeout,
                "the request that the call is made for has ended",
            ),
            Self::NoRetryLeft => (
                RefusalReason::RetryLimit,
                "the upstream repeats a call and no retry is left",
            ),
        };
        refusals::refuse(refusals::on_arrival(reason), detail)
    }
}

/// Inherits importance, deadline and retry tokens from the parent request. A call that names no
/// parent gets the lowest importance and no tokens.
fn inherit(
    node: &SharedNode,
    service: &str,
    fields: &[HeaderField],
    class: &RequestClass,
    digest: CallDigest,
) -> Result<InheritedContext, InheritError> {
    let longest = Instant::now() + class.timeout;
    let Some(id) = headers::find(fields, headers::CALL) else {
        return Ok(InheritedContext {
            importance: RequestImportance::LOWEST,
            deadline: longest,
            caller: CallerHash::default(),
            retry_tokens: SharedTokens::new(TokenCount(0)),
            parent: None,
            child_key: None,
            parent_class: None,
        });
    };
    let id: CallId = id.parse().map_err(|_| InheritError::ParentEnded)?;
    let mut calls = node.calls.borrow_mut();
    let parent = calls.get_mut(id).ok_or(InheritError::ParentEnded)?;
    let is_retry = parent.retry_detector.record_call(digest);
    if is_retry
        && !node
            .retries
            .borrow_mut()
            .spend_upstream_retry(&parent.retry_tokens)
    {
        return Err(InheritError::NoRetryLeft);
    }
    parent.child_calls += 1;
    let child_key = parent
        .key
        .as_deref()
        .map(|key| child_key::derive(key, service, parent.child_calls));
    Ok(InheritedContext {
        importance: parent.importance,
        deadline: parent.deadline.min(longest),
        caller: parent.caller,
        retry_tokens: parent.retry_tokens.clone(),
        parent: Some(id),
        child_key,
        parent_class: Some(parent.class.clone()),
    })
}
