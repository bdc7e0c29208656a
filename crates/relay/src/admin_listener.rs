//! The listener for operators: metrics, the state of the node, and where requests would go.

use crate::{
    explain_page::ExplainPage,
    http1::request_handler::{
        self, RequestHandler, ServerPhase, ServerRequest, ServerResponse, UnreadRequest,
    },
    state_dump::StateDump,
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_state::route_table::CallerLimits;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::rc::Rc;
use tokio::sync::watch;

/// Start of the path of an explanation.
const EXPLAIN_PREFIX: &str = "/explain/";
/// Body of the response to an unknown path.
const UNKNOWN_PAGE: &str = "ask for /metrics, /state or /explain/HOST/PATH\n";

/// Reads the current state of the node, once per request.
pub type StateReader = Box<dyn Fn() -> StateDump>;

/// Explains where a request for a host and a target would go; `None` if it has no route.
pub type ExplainReader = Box<dyn Fn(&str, &str) -> Option<ExplainPage>>;

/// `AdminListener` answers `GET /metrics`, `GET /state` and `GET /explain/HOST/PATH`.
pub struct AdminListener {
    metrics: PrometheusHandle,
    state: StateReader,
    explain: ExplainReader,
    phase: watch::Sender<ServerPhase>,
}

impl AdminListener {
    /// Creates the listener of a node.
    #[must_use]
    pub fn new(metrics: PrometheusHandle, state: StateReader, explain: ExplainReader) -> Self {
        Self {
            metrics,
            state,
            explain,
            phase: watch::channel(ServerPhase::Open).0,
        }
    }

    fn page(&self, path: &str) -> ServerResponse {
        match path {
            "/metrics" => text_response(200, "text/plain; version=0.0.4", self.metrics.render()),
            "/state" => json_response(&(self.state)()),
            _ => match path.strip_prefix(EXPLAIN_PREFIX) {
                Some(request) => self.explain_page(request),
                None => text_response(404, "text/plain", UNKNOWN_PAGE.to_owned()),
            },
        }
    }

    /// Explains where the request `HOST/PATH` would go.
    fn explain_page(&self, request: &str) -> ServerResponse {
        let path_start = request.find('/').unwrap_or(request.len());
        let (host, target) = request.split_at(path_start);
        match (self.explain)(host, target) {
            Some(page) => json_response(&page),
            None => text_response(
                404,
                "application/json",
                "{\"problem\":\"no route\"}\n".to_owned(),
            ),
        }
    }
}

impl RequestHandler for AdminListener {
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let path = request.head.target.split('?').next().unwrap_or_default();
        request_handler::ready_response(self.page(path))
    }

    fn refuse_unread(&self, request: UnreadRequest<'_>) -> ServerResponse {
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

fn json_response(page: &impl Serialize) -> ServerResponse {
    match serde_json::to_string_pretty(page) {
        Ok(text) => text_response(200, "application/json", text),
        Err(error) => text_response(500, "text/plain", error.to_string()),
    }
}

fn text_response(status: u16, content_type: &str, text: String) -> ServerResponse {
    ServerResponse {
        status,
        fields: Bytes::from(format!("Content-Type: {content_type}\r\n")),
        body: Bytes::from(text),
    }
}
