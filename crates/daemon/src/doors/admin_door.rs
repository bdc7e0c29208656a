//! The door for operators. It shows; it changes nothing.

use crate::{
    node::SharedNode,
    observation::{explanation, node_metrics, state_dump},
};

use bytes::Bytes;
use lagoonshore_protocol::headers::HeaderField;
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

/// Answers one request of an operator.
#[must_use]
pub fn answer(
    node: &SharedNode,
    metrics: &PrometheusHandle,
    request: &HttpRequest,
) -> HttpResponse {
    if request.method != "GET" {
        return text(405, "only GET is served here\n");
    }
    if let Some(asked) = request.path.strip_prefix("/explain/") {
        return explain(node, asked);
    }
    match request.path.split('?').next().unwrap_or_default() {
        "/health" => text(200, "ok\n"),
        "/ready" => ready(node),
        "/metrics" => text(200, &node_metrics::render(node, metrics)),
        "/state" => json(200, &state_dump::take(node)),
        _ => text(
            404,
            "no such page; there are /health, /ready, /metrics, /state and /explain\n",
        ),
    }
}

fn ready(node: &SharedNode) -> HttpResponse {
    let has_policy = node.policy(&node.settings.service).is_some();
    if node.drain.borrow().is_draining() {
        text(503, "draining\n")
    } else if !node.is_ready() {
        text(503, "starting\n")
    } else if has_policy {
        text(200, "ready\n")
    } else {
        text(503, "no policy is in force\n")
    }
}

/// Explains `SERVICE/METHOD/PATH`.
fn explain(node: &SharedNode, asked: &str) -> HttpResponse {
    let mut parts = asked.splitn(3, '/');
    let (Some(service), Some(method), Some(path)) = (parts.next(), parts.next(), parts.next())
    else {
        return text(400, "expected /explain/SERVICE/METHOD/PATH\n");
    };
    let Some(explained) = explanation::explain(node, service, method, &format!("/{path}")) else {
        let problem = format!("no policy is in force for {service}");
        return json(404, &serde_json::json!({ "problem": problem }));
    };
    json(200, &explained)
}

fn json(status: u16, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => answer_of(status, "application/json", body.into()),
        Err(fault) => text(500, &format!("{fault}\n")),
    }
}

fn text(status: u16, body: &str) -> HttpResponse {
    answer_of(
        status,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

fn answer_of(status: u16, media_type: &str, body: Bytes) -> HttpResponse {
    HttpResponse {
        status,
        headers: vec![HeaderField::new("content-type", media_type)],
        body,
    }
}
