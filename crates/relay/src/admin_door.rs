//! The door for operators: metrics and the state of the node.

use crate::{
    http1::door::{self, CallerHandler, DoorAnswer, DoorPhase, DoorRequest},
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

/// `AdminDoor` answers `GET /metrics` and `GET /state`.
pub struct AdminDoor {
    metrics: PrometheusHandle,
    state: StateReader,
    phase: watch::Sender<DoorPhase>,
}

impl AdminDoor {
    /// Creates the door of a node.
    #[must_use]
    pub fn new(metrics: PrometheusHandle, state: StateReader) -> Self {
        Self {
            metrics,
            state,
            phase: watch::channel(DoorPhase::Open).0,
        }
    }

    fn page(&self, path: &str) -> DoorAnswer {
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

impl CallerHandler for AdminDoor {
    fn answer(self: Rc<Self>, request: DoorRequest) -> LocalBoxFuture<'static, DoorAnswer> {
        let path = request.head.target.split('?').next().unwrap_or_default();
        door::ready(self.page(path))
    }

    fn reject(&self, status: u16) -> DoorAnswer {
        answer(status, "text/plain", "unreadable request\n".to_owned())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<DoorPhase> {
        self.phase.subscribe()
    }
}

fn answer(status: u16, kind: &str, text: String) -> DoorAnswer {
    DoorAnswer {
        status,
        fields: Bytes::from(format!("Content-Type: {kind}\r\n")),
        body: Bytes::from(text),
    }
}
