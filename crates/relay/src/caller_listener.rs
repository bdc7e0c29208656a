//! The door for the callers on the instance and for the calls of its upstream.

use crate::{
    calling::{
        request_forwarder::RequestForwarder,
        routed_request::{ForwardOutcome, RoutedRequest},
    },
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::{
        head::RequestHead,
        server::{CallerHandler, ServerPhase, ServerRequest, ServerResponse},
    },
    serving::running_table::RunningTable,
};

use bytes::{BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_state::route_table::{CallerLimits, RouteEntry};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Write,
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;

/// Time after which a caller may come back to a node that does not know the fleet yet.
const STARTING_RETRY: Duration = Duration::from_millis(300);
/// Routes whose time limits are remembered.
const ROUTES_MAX: usize = 2048;
/// Time after which a caller may come back to a node that is ending.
const ENDING_RETRY: Duration = Duration::from_millis(500);

/// `CallerListener` answers callers.
pub struct CallerListener {
    scheme: HeaderScheme,
    directory: Rc<FleetDirectory>,
    table: Rc<RunningTable>,
    caller: RequestForwarder,
    time_limits: RefCell<HashMap<CompactString, Duration>>,
    phase: watch::Sender<ServerPhase>,
    is_ending: Cell<bool>,
}

impl CallerListener {
    /// Creates the door of a node whose upstream runs what `table` holds.
    #[must_use]
    pub fn new(
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        table: Rc<RunningTable>,
        caller: RequestForwarder,
    ) -> Self {
        Self {
            scheme,
            directory,
            table,
            caller,
            time_limits: RefCell::default(),
            phase: watch::channel(ServerPhase::Open).0,
            is_ending: Cell::new(false),
        }
    }

    /// The sending side.
    #[must_use]
    pub const fn caller(&self) -> &RequestForwarder {
        &self.caller
    }

    /// Changes how connections are treated.
    pub fn set_phase(&self, phase: ServerPhase) {
        self.phase.send_replace(phase);
    }

    /// Refuses new requests from now on.
    pub fn end(&self) {
        self.is_ending.set(true);
    }

    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let ServerRequest {
            head,
            body,
            received,
        } = request;
        let id = head.id.clone().unwrap_or_default();
        if id.is_empty() {
            return self.own_answer(&id, 400, None, "no request id");
        }
        if self.is_ending.get() {
            return self.own_answer(&id, 503, Some(ENDING_RETRY), "draining");
        }
        let routes = self.directory.routes();
        if routes.version() == 0 {
            return self.own_answer(&id, 503, Some(STARTING_RETRY), "starting");
        }
        let Some(route) = routes.find(&head.host, &head.target) else {
            return self.own_answer(&id, 404, None, "no route");
        };
        let parent = self.table.parent_of(&id, self.scheme.call_separator);
        let limit = head.time_limit.unwrap_or(route.timeout);
        let spent = match parent {
            Some(_) => Duration::ZERO,
            None => self.spent(&route, limit),
        };
        let RequestHead {
            method,
            target,
            fields,
            ..
        } = head;
        let request = RoutedRequest {
            id: id.clone(),
            version: routes.version(),
            method,
            target,
            fields,
            body,
            parent,
            spent,
            received,
            deadline: received + limit.min(route.timeout),
            route,
        };
        self.to_answer(&id, self.caller.forward(request).await)
    }

    /// Time that a caller had spent on a request before this try: callers of one route begin with
    /// the same time limit, so that one who comes back names less.
    fn spent(&self, route: &RouteEntry, limit: Duration) -> Duration {
        let mut limits = self.time_limits.borrow_mut();
        if limits.len() >= ROUTES_MAX {
            limits.clear();
        }
        let longest = limits.entry(route.name.clone()).or_insert(limit);
        *longest = limit.max(*longest);
        longest.saturating_sub(limit)
    }

    fn to_answer(&self, id: &CompactString, end: ForwardOutcome) -> ServerResponse {
        match end {
            ForwardOutcome::Answered(answer) => ServerResponse {
                status: answer.status,
                fields: answer.fields,
                body: answer.body,
            },
            ForwardOutcome::NotRun(reason, retry) => {
                self.own_answer(id, 503, retry, reason.as_str())
            }
            ForwardOutcome::Unknown(reason) => {
                let status = match reason {
                    RefusalReason::Timeout => 504,
                    _ => 502,
                };
                self.own_answer(id, status, None, reason.as_str())
            }
        }
    }

    /// An answer that the system makes itself.
    fn own_answer(
        &self,
        id: &CompactString,
        status: u16,
        retry: Option<Duration>,
        reason: &str,
    ) -> ServerResponse {
        let mut fields = BytesMut::with_capacity(128);
        // Writing to a buffer in memory does not fail.
        if !id.is_empty() {
            let _ = write!(fields, "{}: {id}\r\n", self.scheme.request_id);
        }
        if let Some(retry) = retry {
            let _ = write!(fields, "Retry-After: {:.3}\r\n", retry.as_secs_f64());
        }
        let _ = write!(fields, "Lagoonshore-Reason: {reason}\r\n");
        fields.put_slice(b"Content-Type: text/plain\r\n");
        ServerResponse {
            status,
            fields: fields.freeze(),
            body: Bytes::copy_from_slice(reason.as_bytes()),
        }
    }
}

impl CallerHandler for CallerListener {
    fn answer(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        async move { self.handle(request).await }.boxed_local()
    }

    fn reject(&self, status: u16) -> ServerResponse {
        self.own_answer(
            &CompactString::default(),
            status,
            None,
            "unreadable request",
        )
    }

    fn limits(&self) -> CallerLimits {
        self.directory.routes().limits()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}
