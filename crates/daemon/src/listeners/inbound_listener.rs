//! The listener for callers: plain HTTP to the local upstream.

use crate::{
    calling::{call_router, refusals, routed_call::RoutedCall},
    node::SharedNode,
    serving::{keyed_ingress, request_server},
};

use lagoonshore_coordination::{request::outcome::RefusalReason, retries::SharedTokens};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallReply, CallRequest, CallResult, MessageStamp},
};
use lagoonshore_state::policy::RequestClass;
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use std::time::Duration;
use tokio::time::Instant;

/// Handles one request of a caller.
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
    if path == headers::KEYS_PATH {
        return keyed_ingress::handle_offer(&node, &method);
    }
    let service = node.settings.service.clone();
    if !node.is_ready() {
        return refusals::refuse(refusals::on_arrival(RefusalReason::Starting), "");
    }
    let Some(policy) = node.policy(&service) else {
        return refusals::refuse(refusals::on_arrival(RefusalReason::NoPolicy), "");
    };
    let class = policy.class_of(&method, &path);
    let timeout = match timeout(&fields, &class) {
        Ok(timeout) => timeout,
        Err(detail) => {
            return refusals::refuse(refusals::on_arrival(RefusalReason::BadRequest), detail);
        }
    };
    let caller = node.caller_hash(headers::find(&fields, headers::CALLER));
    let request = CallRequest {
        service,
        method,
        path,
        headers: headers::forwardable(fields),
        body,
        importance: class.importance,
        caller,
        tokens: policy.retry_limit(&class),
        key: None,
        stamp: MessageStamp::default(),
        crashes: Vec::new(),
    };
    let deadline = Instant::now() + timeout;
    if !class.idempotent {
        return keyed_ingress::handle(&node, request, deadline).await;
    }
    let result = serve(&node, request, &class, deadline).await;
    refusals::to_response(result)
}

/// Serves a request here or, if the local upstream accepts no requests, at another instance.
async fn serve(
    node: &SharedNode,
    request: CallRequest,
    class: &RequestClass,
    deadline: Instant,
) -> CallResult {
    let reply = request_server::serve(node, request.clone(), deadline).await;
    let CallReply {
        result: CallResult::Refused(refusal),
        tokens,
        ..
    } = reply
    else {
        return reply.result;
    };
    let elsewhere = matches!(
        refusal.reason,
        RefusalReason::Draining | RefusalReason::Stale | RefusalReason::UpstreamUnreachable
    );
    let retry_tokens = SharedTokens::new(tokens);
    if !elsewhere || !refusal.is_not_run() || !retry_tokens.spend() {
        return CallResult::Refused(refusal);
    }
    let idempotent = class.idempotent;
    let call = RoutedCall {
        request,
        deadline,
        idempotent,
        parent_class: None,
        tried: Vec::new(),
    };
    call_router::route(node, call, &retry_tokens).await
}

fn timeout(fields: &[HeaderField], class: &RequestClass) -> Result<Duration, &'static str> {
    let Some(text) = headers::find(fields, headers::TIMEOUT_MS) else {
        return Ok(class.timeout);
    };
    match text.parse() {
        Ok(millis) if millis > 0 => Ok(class.timeout.min(Duration::from_millis(millis))),
        _ => Err("Lagoonshore-Timeout-Ms: expected a whole number of milliseconds, 1 or more"),
    }
}
