//! The door for operators: metrics and the state of the node.

use crate::{
    http1::server::{self, CallerHandler, ServerPhase, ServerRequest, ServerResponse},
    state_dump::StateDump,
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_state::route_table::CallerLimits;
use metrics_exporter_prometheus::PrometheusHandle;
use std::rc::Rc;
use tokio::sync::watch;

/// Reads the state of the node as it is asked for.
pub type StateReader = Box<dyn Fn() -> StateDump>;

/// `AdminListener` answers `GET /metrics` and `GET /state`.
pub struct AdminListener {
    metrics: PrometheusHandle,
    state: StateReader,
    phase: watch::Sender<ServerPhase>,
}

impl AdminListener {
    /// Creates the door of a node.
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
            "/metrics" => answer(200, "text/plain; version=0.0.4", self.metrics.render()),
            "/state" => match serde_json::to_string_pretty(&(self.state)()) {
                Ok(text) => answer(200, "application/json", text),
                Err(fault) => answer(500, "text/plain", fault.to_string()),
            },
            _ => answer(404, "text/plain", "ask for /metrics or /state\n".to_owned()),
        }
    }
}

impl CallerHandler for AdminListener {
    fn answer(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let path = request.head.target.split('?').next().unwrap_or_default();
        server::ready(self.page(path))
    }

    fn reject(&self, status: u16) -> ServerResponse {
        answer(status, "text/plain", "unreadable request\n".to_owned())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}

fn answer(status: u16, kind: &str, text: String) -> ServerResponse {
    ServerResponse {
        status,
        fields: Bytes::from(format!("Content-Type: {kind}\r\n")),
        body: Bytes::from(text),
    }
}
