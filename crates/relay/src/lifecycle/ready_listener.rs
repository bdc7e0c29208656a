//! The readiness check: whether the node accepts callers.

use crate::{
    directory::FleetDirectory,
    events,
    http1::request_handler::{
        self, RequestHandler, ServerPhase, ServerRequest, ServerResponse, UnreadRequest,
    },
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_state::route_table::CallerLimits;
use std::{cell::Cell, rc::Rc};
use tokio::sync::watch;
use tracing::info;

/// `ReadyListener` answers 200 while the node is ready and 503 otherwise, on every path.
pub struct ReadyListener {
    directory: Rc<FleetDirectory>,
    phase: watch::Sender<ServerPhase>,
    is_draining: Cell<bool>,
    was_ready: Cell<bool>,
    /// Responses sent since the node began to drain.
    refusals: Cell<u32>,
}

impl ReadyListener {
    /// Creates the listener of a node.
    #[must_use]
    pub fn new(directory: Rc<FleetDirectory>) -> Self {
        Self {
            directory,
            phase: watch::channel(ServerPhase::Open).0,
            is_draining: Cell::new(false),
            was_ready: Cell::new(false),
            refusals: Cell::new(0),
        }
    }

    /// Makes every later check answer 503.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Number of responses sent since the node began to drain.
    #[must_use]
    pub const fn refusals(&self) -> u32 {
        self.refusals.get()
    }

    /// Returns whether the node accepts callers: it is not draining and knows routes and upstreams.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining.get() && self.directory.is_complete()
    }
}

impl RequestHandler for ReadyListener {
    fn respond(self: Rc<Self>, _: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let is_ready = self.is_ready();
        if self.is_draining.get() {
            self.refusals.set(self.refusals.get() + 1);
        }
        if self.was_ready.replace(is_ready) != is_ready {
            info!(
                event = events::READINESS_CHANGED,
                is_ready,
                is_leaving = self.is_draining.get(),
                version = self.directory.version(),
                "readiness: changed"
            );
        }
        request_handler::ready_response(empty_response(if is_ready { 200 } else { 503 }))
    }

    fn refuse_unread(&self, request: UnreadRequest<'_>) -> ServerResponse {
        empty_response(request.status)
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}

const fn empty_response(status: u16) -> ServerResponse {
    ServerResponse {
        status,
        fields: Bytes::new(),
        body: Bytes::new(),
    }
}
