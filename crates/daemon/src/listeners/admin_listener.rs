//! The listener for operators. It is read-only.

use crate::{
    node::SharedNode,
    observation::{explanation, node_metrics, state_dump},
};

use bytes::Bytes;
use lagoonshore_protocol::headers::HeaderField;
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

/// Handles one request of an operator.
#[must_use]
pub fn handle(
    node: &SharedNode,
    metrics: &PrometheusHandle,
    request: &HttpRequest,
) -> HttpResponse {
    if request.method != "GET" {
        return text(405, "only GET is served here\n");
    }
    if let Some(target) = request.path.strip_prefix("/explain/") {
        return explain(node, target);
    }
    match request.path.split('?').next().unwrap_or_default() {
        "/health" => text(200, "ok\n"),
        "/ready" => ready(node),
        "/metrics" => text(200, &node_metrics::render(node, metrics)),
        "/state" => json(200, &state_dump::collect(node)),
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

/// Explains a request given as `SERVICE/METHOD/PATH`.
fn explain(node: &SharedNode, target: &str) -> HttpResponse {
    let mut parts = target.splitn(3, '/');
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
        Ok(body) => build_response(status, "application/json", body.into()),
        Err(error) => text(500, &format!("{error}\n")),
    }
}

fn text(status: u16, body: &str) -> HttpResponse {
    build_response(
        status,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

fn build_response(status: u16, media_type: &str, body: Bytes) -> HttpResponse {
    HttpResponse {
        status,
        headers: vec![HeaderField::new("content-type", media_type)],
        body,
    }
}
