//! Entry point of non-idempotent requests: issues keys and forwards each keyed request to its home
//! instance.

use crate::{
    calling::refusals,
    node::{SharedNode, keyed_executions::home_unreachable},
    serving::keyed_server,
};

use bytes::Bytes;
use lagoonshore_coordination::{
    at_most_once::{idempotency_key::IdempotencyKey, key_home},
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::CallRefusal,
    },
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallRequest, CallResult, ExecutionKey},
};
use lagoonshore_state::ids::InstanceName;
use lagoonshore_transport::{TransportError, http_listener::HttpResponse};
use serde_json::json;
use tokio::time::Instant;

/// Handles a request for a new key.
#[must_use]
pub fn handle_offer(node: &SharedNode, method: &str) -> HttpResponse {
    if method != "POST" {
        let refusal = refusals::on_arrival(RefusalReason::BadRequest);
        return refusals::refuse(refusal, "keys are offered to POST");
    }
    if node.drain.borrow().is_draining() {
        return refusals::refuse(refusals::on_arrival(RefusalReason::Draining), "");
    }
    let key = node.executions.offer().to_string();
    HttpResponse {
        status: 200,
        headers: vec![
            HeaderField::new("content-type", "application/json"),
            HeaderField::new(headers::KEY_OFFER, &key),
        ],
        body: Bytes::from(json!({ "key": key }).to_string()),
    }
}

/// Handles a non-idempotent request of a caller and issues a key for the next one.
pub async fn handle(
    node: &SharedNode,
    mut request: CallRequest,
    deadline: Instant,
) -> HttpResponse {
    let mut response = match key_of(&request) {
        Err((reason, detail)) => refusals::refuse(refusals::on_arrival(reason), detail),
        Ok((text, key)) => {
            request.key = Some(ExecutionKey::Home(text.into()));
            let result = pass_to_home(node, request, &key, deadline).await;
            refusals::to_response(result)
        }
    };
    if !node.drain.borrow().is_draining() {
        let key = node.executions.offer().to_string();
        response
            .headers
            .push(HeaderField::new(headers::KEY_OFFER, &key));
    }
    response
}

fn key_of(
    request: &CallRequest,
) -> Result<(String, IdempotencyKey), (RefusalReason, &'static str)> {
    let text = headers::find(&request.headers, headers::IDEMPOTENCY_KEY);
    let Some(text) = text else {
        let detail = "send the request with an Idempotency-Key, such as the one offered here";
        return Err((RefusalReason::KeyRequired, detail));
    };
    let key = IdempotencyKey::parse(text).ok_or((
        RefusalReason::BadRequest,
        "Idempotency-Key: expected 1 to 255 visible ASCII characters, or an offered key unchanged",
    ))?;
    Ok((text.to_owned(), key))
}

async fn pass_to_home(
    node: &SharedNode,
    request: CallRequest,
    key: &IdempotencyKey,
    deadline: Instant,
) -> CallResult {
    let home = match key {
        IdempotencyKey::Offered(key) => key.instance.clone(),
        IdempotencyKey::CallerMade(key) => caller_made_home(node, key),
    };
    if home == node.settings.instance {
        return keyed_server::serve(node, request, deadline).await.result;
    }
    let address = {
        let table = node.instances.borrow();
        table
            .find(&home)
            .and_then(|key| table.get(key))
            .filter(|record| record.service == node.settings.service)
            .map(|record| record.peer)
    };
    let Some(address) = address else {
        return CallResult::Refused(home_unreachable());
    };
    match node.links.call(address, request, deadline).await {
        Ok(reply) => reply.result,
        Err(TransportError::TimedOut { .. }) => CallResult::Refused(CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: RefusalReason::Timeout,
        }),
        // The request may have reached its home earlier, through another node.
        Err(_) => CallResult::Refused(home_unreachable()),
    }
}

fn caller_made_home(node: &SharedNode, key: &str) -> InstanceName {
    let members = node.home_members();
    let home = key_home::choose(key, &members.names);
    home.unwrap_or(&members.own).clone()
}
