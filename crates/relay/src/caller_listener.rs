//! The listener for callers on the instance and for the calls of its upstream.

use crate::{
    access_gate::{AccessDenial, AccessGate, UNAUTHORIZED},
    calling::{
        request_forwarder::RequestForwarder,
        routed_request::{ForwardOutcome, RoutedRequest},
    },
    decision_log::DecisionLog,
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::{
        credentials::CredentialsUse,
        head::RequestHead,
        request_handler::{
            RejectedRequest, RejectionReason, RequestHandler, ServerPhase, ServerRequest,
            ServerResponse,
        },
    },
    quota::quota_gate::{QuotaGate, QuotaPermit, QuotaRefusal},
    request_expectation::RequestExpectation,
    serving::{refusals::MEMORY_RETRY_AFTER, running_table::RunningTable},
};

use bytes::{BufMut, Bytes, BytesMut};
use compact_str::CompactString;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_state::{
    account::AccountEntry,
    route_table::{CallerLimits, RouteEntry, RouteTable},
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Write,
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;

/// `Retry-After` of a node that does not know the fleet yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Routes whose longest time limit is kept.
const TRACKED_ROUTES_MAX: usize = 2048;
/// `Retry-After` of a node that is about to exit.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `CallerListener` answers the requests of callers.
pub struct CallerListener {
    scheme: HeaderScheme,
    directory: Rc<FleetDirectory>,
    gate: AccessGate,
    log: Rc<DecisionLog>,
    forwarder: RequestForwarder,
    quotas: Rc<QuotaGate>,
    time_limits: RefCell<HashMap<CompactString, Duration>>,
    phase: watch::Sender<ServerPhase>,
    is_refusing: Cell<bool>,
}

impl CallerListener {
    /// Creates the listener of a node. `running_table` holds the requests that its upstream is
    /// running, by which calls are matched to their parent requests.
    #[must_use]
    pub fn new(
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        running_table: Rc<RunningTable>,
        log: Rc<DecisionLog>,
        forwarder: RequestForwarder,
        quotas: Rc<QuotaGate>,
    ) -> Self {
        let fleet = Rc::clone(&directory);
        Self {
            scheme,
            directory,
            gate: AccessGate::new(scheme.call_separator, fleet, running_table),
            log,
            forwarder,
            quotas,
            time_limits: RefCell::default(),
            phase: watch::channel(ServerPhase::Open).0,
            is_refusing: Cell::new(false),
        }
    }

    /// The side that forwards requests to instances.
    #[must_use]
    pub const fn forwarder(&self) -> &RequestForwarder {
        &self.forwarder
    }

    /// Sets the phase of the server, which says when connections are closed.
    pub fn set_phase(&self, phase: ServerPhase) {
        self.phase.send_replace(phase);
    }

    /// Makes every later request be refused with 503.
    pub fn start_refusing(&self) {
        self.is_refusing.set(true);
    }

    /// Returns what would happen now to a new request with a key of `account`, or without one. Nothing is
    /// taken. `is_anonymous` says whether anyone may use its route.
    #[must_use]
    pub fn expect(
        &self,
        account: Option<&Rc<AccountEntry>>,
        is_anonymous: bool,
    ) -> RequestExpectation {
        if self.is_refusing.get() {
            return RequestExpectation::refused(503, "draining", Some(STOPPING_RETRY_AFTER));
        }
        if let Err(denial) = self.gate.expect(account, is_anonymous) {
            return RequestExpectation::of_denial(denial);
        }
        account.map_or(RequestExpectation::ADMITTED, |account| {
            RequestExpectation::of_quota(self.quotas.expect(account))
        })
    }

    async fn handle(&self, request: ServerRequest) -> ServerResponse {
        let ServerRequest {
            head,
            body,
            received,
        } = request;
        let id = head.id.clone().unwrap_or_default();
        if id.is_empty() {
            return self.node_response(&id, 400, None, "no request id");
        }
        if self.is_refusing.get() {
            return self.node_response(&id, 503, Some(STOPPING_RETRY_AFTER), "draining");
        }
        let routes = self.directory.routes();
        if routes.version() == 0 {
            return self.node_response(&id, 503, Some(STARTING_RETRY_AFTER), "starting");
        }
        let Some(route) = routes.find(&head.host, &head.target) else {
            return self.node_response(&id, 404, None, "no route");
        };
        let key = head.credentials.key;
        let caller = match self.gate.admit(&routes, &route, &id, key) {
            Ok(caller) => caller,
            Err(denial) => return self.denial_response(&id, &route, denial),
        };
        let limit = head.time_limit.unwrap_or(route.timeout);
        let spent = match caller.parent {
            Some(_) => Duration::ZERO,
            None => self.time_spent(&route, limit),
        };
        let RequestHead {
            method,
            target,
            fields,
            credentials,
            ..
        } = head;
        let fields = if routes.has_accounts() {
            fields
        } else {
            joined(fields, &credentials.fields)
        };
        let request = RoutedRequest {
            id: id.clone(),
            version: routes.version(),
            method,
            target,
            fields,
            body,
            account: caller.account,
            importance: caller.importance,
            parent: caller.parent,
            spent,
            received,
            deadline: received + limit.min(route.timeout),
            route,
        };
        let permit = match self.admit(&routes, &request).await {
            Ok(permit) => permit,
            Err(refusal) => return self.quota_response(&id, refusal),
        };
        let outcome = self.forwarder.forward(request).await;
        if let (ForwardOutcome::NotRun(..), Some(permit)) = (&outcome, permit) {
            permit.give_back();
        }
        self.to_response(&id, outcome)
    }

    /// Counts a request against the quota of its account. Calls of a running request were counted with the
    /// request at the root of their chain.
    async fn admit(
        &self,
        routes: &RouteTable,
        request: &RoutedRequest,
    ) -> Result<Option<QuotaPermit>, QuotaRefusal> {
        let account = match &request.account {
            Some(account) if request.parent.is_none() => routes.account(account),
            _ => None,
        };
        match account {
            Some(account) => self.quotas.admit(account, request.deadline).await,
            None => Ok(None),
        }
    }

    /// Returns the time that a caller had spent on a request before this attempt. Callers of a route
    /// start with the same time limit and send what is left of it with each retry, so the
    /// difference from the longest limit of the route is the time already spent.
    fn time_spent(&self, route: &RouteEntry, limit: Duration) -> Duration {
        let mut limits = self.time_limits.borrow_mut();
        if limits.len() >= TRACKED_ROUTES_MAX {
            limits.clear();
        }
        let longest = limits.entry(route.name.clone()).or_insert(limit);
        *longest = limit.max(*longest);
        longest.saturating_sub(limit)
    }

    fn to_response(&self, id: &CompactString, outcome: ForwardOutcome) -> ServerResponse {
        match outcome {
            ForwardOutcome::Answered(response) => ServerResponse {
                status: response.status,
                fields: response.fields.bytes(),
                body: response.body.bytes(),
            },
            ForwardOutcome::NotRun(reason, retry_after) => {
                self.node_response(id, 503, retry_after, reason.as_str())
            }
            ForwardOutcome::Unknown(reason) => {
                let status = match reason {
                    RefusalReason::Timeout => 504,
                    _ => 502,
                };
                self.node_response(id, status, None, reason.as_str())
            }
        }
    }

    fn quota_response(&self, id: &str, refusal: QuotaRefusal) -> ServerResponse {
        let QuotaRefusal {
            reason,
            retry_after,
        } = refusal;
        self.node_response(id, reason.status(), Some(retry_after), reason.as_str())
    }

    fn denial_response(
        &self,
        id: &str,
        route: &RouteEntry,
        denial: AccessDenial,
    ) -> ServerResponse {
        self.log.log_denied(id, &route.name, &denial);
        self.node_response(id, denial.status, denial.retry_after, denial.reason)
    }

    /// Creates a response of the node itself, as opposed to one of an upstream.
    fn node_response(
        &self,
        id: &str,
        status: u16,
        retry_after: Option<Duration>,
        reason: &str,
    ) -> ServerResponse {
        let mut fields = BytesMut::with_capacity(128);
        // Writing to a buffer in memory cannot fail.
        if !id.is_empty() {
            let _ = write!(fields, "{}: {id}\r\n", self.scheme.request_id);
        }
        if let Some(retry_after) = retry_after {
            let _ = write!(fields, "Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
        }
        if status == UNAUTHORIZED {
            let _ = write!(fields, "WWW-Authenticate: {}\r\n", self.scheme.key_scheme);
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

/// Returns `fields` followed by `more`.
fn joined(fields: Bytes, more: &[u8]) -> Bytes {
    if more.is_empty() {
        return fields;
    }
    [&fields, more].concat().into()
}

impl RequestHandler for CallerListener {
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        async move { self.handle(request).await }.boxed_local()
    }

    fn reject(&self, request: RejectedRequest<'_>) -> ServerResponse {
        if request.reason != RejectionReason::Failed {
            self.forwarder.log_unread(request);
        }
        let RejectedRequest { status, id, .. } = request;
        if status == 503 {
            return self.node_response(id, status, Some(MEMORY_RETRY_AFTER), "memory");
        }
        self.node_response(id, status, None, "unreadable request")
    }

    fn limits(&self) -> CallerLimits {
        self.directory.routes().limits()
    }

    fn credentials_use(&self) -> CredentialsUse {
        if self.directory.routes().has_accounts() {
            CredentialsUse::Node
        } else {
            CredentialsUse::Upstream
        }
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}
