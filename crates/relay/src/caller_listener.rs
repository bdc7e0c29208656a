//! The listener for callers on the instance and for the calls of its upstream.

use crate::{
    access_gate::{AccessDenial, AccessGate, AdmittedCaller},
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
            RequestHandler, ServerPhase, ServerRequest, ServerResponse, UnreadReason, UnreadRequest,
        },
    },
    node_response::NodeResponse,
    quota::quota_gate::{QuotaGate, QuotaPermit, QuotaRefusal},
    relay_metrics,
    request_expectation::RequestExpectation,
    return_recognition::ReturnRecognition,
    serving::{refusals::MEMORY_RETRY_AFTER, running_table::RunningTable},
};

use bytes::Bytes;
use compact_str::CompactString;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_state::{
    account::AccountEntry,
    route_table::{CallerLimits, RouteEntry, RouteTable},
};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::sync::watch;

/// `Retry-After` of a node that does not know the fleet yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
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
    returns: ReturnRecognition,
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
            returns: ReturnRecognition::default(),
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
        let id = request.head.id.clone().unwrap_or_default();
        match self.forward(&id, request).await {
            Ok(outcome) => self.to_response(&id, outcome),
            Err(response) => response,
        }
    }

    /// Forwards a request that may run.
    ///
    /// # Errors
    /// The response to a request that is not forwarded.
    async fn forward(
        &self,
        id: &CompactString,
        request: ServerRequest,
    ) -> Result<ForwardOutcome, ServerResponse> {
        self.check_open(id)?;
        let routes = self.directory.routes();
        let route = self.find_route(&routes, id, &request.head)?;
        let caller = self
            .gate
            .admit(&routes, &route, id, &request.head.credentials)
            .map_err(|denial| self.denial_response(id, &route, denial))?;
        let limit = request.head.time_limit.unwrap_or(route.timeout);
        let caller_deadline = request.received + limit;
        let mut request = Self::routed_request(&routes, route, id, caller, request);
        request.spent = self.returns.time_spent(&request, caller_deadline);
        let admitted = self.admit(&routes, &request).await;
        let permit = admitted.map_err(|refusal| self.quota_response(id, refusal))?;
        let outcome = self.forwarder.forward(&request).await;
        if !request.spent.is_zero() {
            relay_metrics::count_return(outcome.as_str());
        }
        if let ForwardOutcome::NotRun(_, Some(retry_after)) = outcome {
            self.returns
                .expect_return(&request, caller_deadline, retry_after);
        }
        if let (ForwardOutcome::NotRun(..), Some(permit)) = (&outcome, permit) {
            permit.give_back();
        }
        Ok(outcome)
    }

    /// Refuses a request without an id, and every request before the exit of the process.
    fn check_open(&self, id: &CompactString) -> Result<(), ServerResponse> {
        if id.is_empty() {
            return Err(self.node_response(id, 400, None, "no request id"));
        }
        if self.is_refusing.get() {
            return Err(self.node_response(id, 503, Some(STOPPING_RETRY_AFTER), "draining"));
        }
        Ok(())
    }

    fn find_route(
        &self,
        routes: &RouteTable,
        id: &CompactString,
        head: &RequestHead,
    ) -> Result<Rc<RouteEntry>, ServerResponse> {
        if routes.version() == 0 {
            return Err(self.node_response(id, 503, Some(STARTING_RETRY_AFTER), "starting"));
        }
        let route = routes.find(&head.host, &head.target);
        route.ok_or_else(|| self.node_response(id, 404, None, "no route"))
    }

    /// Builds the request to forward.
    fn routed_request(
        routes: &RouteTable,
        route: Rc<RouteEntry>,
        id: &CompactString,
        caller: AdmittedCaller,
        request: ServerRequest,
    ) -> RoutedRequest {
        let (head, received) = (request.head, request.received);
        let limit = head.time_limit.unwrap_or(route.timeout);
        let fields = if routes.has_accounts() {
            head.fields
        } else {
            joined(head.fields, &head.credentials.fields)
        };
        RoutedRequest {
            id: id.clone(),
            version: routes.version(),
            method: head.method,
            target: head.target,
            fields,
            body: request.body,
            account: caller.account,
            importance: caller.importance,
            parent: caller.parent,
            spent: Duration::ZERO,
            received,
            deadline: received + limit.min(route.timeout),
            route,
        }
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

    fn node_response(
        &self,
        id: &str,
        status: u16,
        retry_after: Option<Duration>,
        reason: &str,
    ) -> ServerResponse {
        let response = NodeResponse {
            id,
            status,
            retry_after,
            reason,
        };
        response.to_server_response(self.scheme)
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

    fn refuse_unread(&self, request: UnreadRequest<'_>) -> ServerResponse {
        if request.reason != UnreadReason::Failed {
            self.forwarder.log_unread(request);
        }
        let UnreadRequest { status, id, .. } = request;
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
