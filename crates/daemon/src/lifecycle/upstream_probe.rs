//! A single probe of the upstream's health endpoint.

use crate::node::SharedNode;

use lagoonshore_coordination::protection::upstream_health::ProbeResult;
use lagoonshore_transport::{TransportError, upstream_client::UpstreamRequest};
use std::time::Duration;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends one probe; the result is not recorded.
pub async fn probe(node: &SharedNode) -> ProbeResult {
    let request = UpstreamRequest {
        method: "GET".into(),
        path: node.settings.upstream.health.clone(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    };
    match node.upstream.send(request, PROBE_TIMEOUT).await {
        Ok(response) => match response.status {
            503 => ProbeResult::Draining,
            // A client error counts as healthy: an upstream without a health endpoint responds with
            // 404 but is alive.
            200..=499 => ProbeResult::Good,
            _ => ProbeResult::Unclear,
        },
        Err(TransportError::Connect { .. }) => ProbeResult::Refused,
        Err(_) => ProbeResult::Unclear,
    }
}
