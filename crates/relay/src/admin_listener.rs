//! The listener for operators: metrics and the state of the node.

use crate::{
    http1::request_handler::{
        self, RejectedRequest, RequestHandler, ServerPhase, ServerRequest, ServerResponse,
    },
    state_dump::StateDump,
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_state::route_table::CallerLimits;
use metrics_exporter_prometheus::PrometheusHandle;
use std::rc::Rc;
use tokio::sync::watch;

/// Reads the current state of the node, once per request.
pub type StateReader = Box<dyn Fn() -> StateDump>;

/// `AdminListener` answers `GET /metrics` and `GET /state`.
pub struct AdminListener {
    metrics: PrometheusHandle,
    state: StateReader,
    phase: watch::Sender<ServerPhase>,
}

impl AdminListener {
    /// Creates the listener of a node.
    #[must_use]
    pub fn new(metrics: PrometheusHandle, state: StateReader) -> Self {
        Self {
            metrics,
            state,
            phase: watch::channel(ServerPhase::Open).0,
        }
    }

    fn page(&self, path: &str) -> ServerResponse {
        match path {
            "/metrics" => text_response(200, "text/plain; version=0.0.4", self.metrics.render()),
            "/state" => match serde_json::to_string_pretty(&(self.state)()) {
                Ok(text) => text_response(200, "application/json", text),
                Err(error) => text_response(500, "text/plain", error.to_string()),
            },
            _ => text_response(404, "text/plain", "ask for /metrics or /state\n".to_owned()),
        }
    }
}

impl RequestHandler for AdminListener {
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let path = request.head.target.split('?').next().unwrap_or_default();
        request_handler::ready_response(self.page(path))
    }

    fn reject(&self, request: RejectedRequest<'_>) -> ServerResponse {
        text_response(
            request.status,
            "text/plain",
            "unreadable request\n".to_owned(),
        )
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}

fn text_response(status: u16, content_type: &str, text: String) -> ServerResponse {
    ServerResponse {
        status,
        fields: Bytes::from(format!("Content-Type: {content_type}\r\n")),
        body: Bytes::from(text),
    }
}
