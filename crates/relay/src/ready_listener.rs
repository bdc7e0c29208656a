//! The door that tells whether the node takes callers.

use crate::{
    directory::FleetDirectory,
    events,
    http1::server::{self, CallerHandler, ServerPhase, ServerRequest, ServerResponse},
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
    is_leaving: Cell<bool>,
    said_ready: Cell<bool>,
    /// Answers since the node began to leave.
    refusals: Cell<u32>,
}

impl ReadyListener {
    /// Creates the door of a node.
    #[must_use]
    pub fn new(directory: Rc<FleetDirectory>) -> Self {
        Self {
            directory,
            phase: watch::channel(ServerPhase::Open).0,
            is_leaving: Cell::new(false),
            said_ready: Cell::new(false),
            refusals: Cell::new(0),
        }
    }

    /// Answers 503 from now on.
    pub fn begin_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Answers given since the node began to leave.
    #[must_use]
    pub const fn refusals(&self) -> u32 {
        self.refusals.get()
    }

    /// Tells whether the node takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get() && self.directory.is_complete()
    }
}

impl CallerHandler for ReadyListener {
    fn answer(self: Rc<Self>, _: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let is_ready = self.is_ready();
        if self.is_leaving.get() {
            self.refusals.set(self.refusals.get() + 1);
        }
        if self.said_ready.replace(is_ready) != is_ready {
            info!(
                event = events::READINESS_CHANGED,
                is_ready,
                is_leaving = self.is_leaving.get(),
                version = self.directory.version(),
                "readiness: changed"
            );
        }
        server::ready(self.reject(if is_ready { 200 } else { 503 }))
    }

    fn reject(&self, status: u16) -> ServerResponse {
        ServerResponse {
            status,
            fields: Bytes::new(),
            body: Bytes::new(),
        }
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}
