//! Forwards a request to an instance of its service, and retries at other instances where that is
//! safe.

use super::{
    attempt_record::AttemptRecord,
    call_progress::{AttemptStage, CallProgress},
    cancellation_guard::CancellationGuard,
    latency_table::LatencyTable,
    peer_links::{LinkError, PeerLinks},
    peer_table::{PeerTable, PeerTarget},
    request_message,
    routed_request::{self, ForwardOutcome, RoutedRequest},
};

use crate::{
    active_count::ActiveCount,
    decision_log::{DecisionLog, RequestTrace},
    directory::FleetDirectory,
    explain_page::{ExplainPage, ServiceChoice},
    header_scheme::HeaderScheme,
    http1::request_handler::RejectedRequest,
    lifecycle::request_cutoff::RequestCutoff,
    serving::{
        retry_gate::retry_quota, running_table::CallTotals, upstream_server::UpstreamServer,
    },
    suspect_tracker,
};

use lagoonshore_coordination::{
    forwarding::{
        retry_allowance::{AllowanceRules, RetryAllowance},
        traffic_split::TrafficSplit,
    },
    placing::{PlacingRequest, urgency::RequestTime},
    protection::fingerprint::RequestFingerprint,
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{RelayReply, RelayRequest, RelayResponse, RelayResult};
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::{ids::ServiceName, route_table::RouteTarget};
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Most instances that are tried for one request.
const INSTANCES_MAX: usize = 3;
/// Attempts per request that may end with a rejection by an upstream, several ones at the same
/// upstream included.
const REJECTIONS_MAX: u32 = 7;
/// Time left until the deadline below which no retry is sent, since it cannot end in time.
const RETRY_TIME_MIN: Duration = Duration::from_millis(20);

/// `RequestForwarder` forwards the requests that begin on the local instance.
pub struct RequestForwarder {
    origin: ServiceName,
    call_separator: char,
    peer_address: Cell<SocketAddr>,
    control: ControlMode,
    directory: Rc<FleetDirectory>,
    log: Rc<DecisionLog>,
    peers: Rc<PeerTable>,
    links: Rc<PeerLinks>,
    server: Rc<UpstreamServer>,
    allowance: RefCell<RetryAllowance>,
    split: RefCell<TrafficSplit>,
    latencies: LatencyTable,
    running: ActiveCount,
    cutoff: RequestCutoff,
}

impl RequestForwarder {
    /// Creates the forwarder of a node.
    #[must_use]
    pub fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        log: Rc<DecisionLog>,
        peers: Rc<PeerTable>,
        links: Rc<PeerLinks>,
        server: Rc<UpstreamServer>,
    ) -> Self {
        let rules = allowance_rules(settings.retries);
        Self {
            origin: settings.service.clone(),
            call_separator: scheme.call_separator,
            peer_address: Cell::new(settings.listen.peers),
            control: settings.control,
            directory,
            log,
            peers,
            links,
            server,
            allowance: RefCell::new(RetryAllowance::new(rules, 1)),
            split: RefCell::default(),
            latencies: LatencyTable::default(),
            running: ActiveCount::default(),
            cutoff: RequestCutoff::default(),
        }
    }

    /// Sets the address on which the node itself listens for peers.
    pub fn set_peer_address(&self, address: SocketAddr) {
        self.peer_address.set(address);
    }

    /// Address on which the node itself listens for peers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address.get()
    }

    /// Applies changed retry settings.
    pub fn set_retry_settings(&self, retries: RetrySettings) {
        self.allowance
            .borrow_mut()
            .set_rules(allowance_rules(retries));
    }

    /// Applies a change of the directory: the number of nodes, and the routes in force.
    pub fn apply_directory_change(&self) {
        let nodes = self.directory.node_count();
        self.allowance.borrow_mut().set_nodes(nodes);
        let routes = self.directory.routes();
        let routes = routes.routes();
        let names: HashSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.split.borrow_mut().retain(|name| names.contains(name));
        self.latencies.retain(|name| names.contains(name));
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Ends the requests in flight, so that each is answered before the process exits.
    pub fn cut_off(&self) {
        self.cutoff.trigger();
    }

    /// Logs that a request was refused before it was read to its end.
    pub(crate) fn log_unread(&self, request: RejectedRequest<'_>) {
        self.log.log_unread(request, self.links.free_memory());
    }

    /// Explains where a new request would go now; `None` if it has no route.
    #[must_use]
    pub fn explain(&self, host: &str, target: &str) -> Option<ExplainPage> {
        let routes = self.directory.routes();
        let route = routes.find(host, target)?;
        let choice = |target: &RouteTarget| {
            let placing = PlacingRequest {
                service: &target.service,
                route: routed_request::route_id(&route.name),
                time: RequestTime {
                    left: route.aim.min(route.timeout),
                    may_run_once: !route.is_idempotent,
                    is_nested: false,
                },
                tried: &[],
                is_refused: false,
            };
            let explanation = self.peers.explain(&placing);
            let table = self.directory.instances();
            ServiceChoice::new(target, &explanation, &table, route.timeout)
        };
        Some(ExplainPage {
            version: routes.version(),
            caller: None,
            services: route.targets.iter().map(choice).collect(),
            route: (*route).clone(),
        })
    }

    /// Forwards a request and returns its outcome.
    pub async fn forward(&self, request: RoutedRequest) -> ForwardOutcome {
        let mut guard = CancellationGuard::new(&self.log, &self.running, &request);
        let Some(service) = self.split.borrow_mut().choose(&request.route) else {
            guard.mark_finished();
            return ForwardOutcome::NotRun(RefusalReason::NoInstance, None);
        };
        let mut progress = CallProgress::new(service);
        let attempts = self.try_instances(&request, &mut progress);
        let attempts = tokio::time::timeout_at(request.deadline, attempts);
        let result = tokio::select! {
            biased;
            result = attempts => result.map_err(|_| RefusalReason::Timeout),
            () = self.cutoff.reached() => Err(RefusalReason::Draining),
        };
        guard.mark_finished();
        let outcome = match result {
            Ok(Some(response)) => ForwardOutcome::Answered(response),
            Ok(None) => progress.finish(),
            Err(reason) => progress.finish_interrupted(reason),
        };
        self.log_outcome(&request, &progress, &outcome);
        self.record_nested_call(&request, &progress, &outcome);
        outcome
    }

    /// Adds a finished call to the totals of the running request that made it.
    fn record_nested_call(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
        outcome: &ForwardOutcome,
    ) {
        if request.parent.is_none() {
            return;
        }
        let mut totals = progress.nested_calls;
        totals.worst_failure = totals.worst_failure.max(progress.call_failure(outcome));
        let table = self.server.running_table();
        table.record_call(&request.id, self.call_separator, totals);
    }

    /// Tries one instance after the other; `None` if no attempt gave a final response.
    async fn try_instances(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
    ) -> Option<RelayResponse> {
        let now = Instant::now();
        self.record_first_attempt(now, request, &progress.service);
        while let Some(target) = self.next_target(request, progress) {
            if !self.can_try_next(request, progress) {
                break;
            }
            progress.start_attempt(&target);
            let can_try_more = progress.tried.len() < INSTANCES_MAX;
            let has_others =
                can_try_more && self.peers.has_untried(&progress.service, &progress.tried);
            let reply = self
                .send_attempt(request, progress, &target, has_others)
                .await;
            match reply {
                Ok(reply) => {
                    if let Some(response) = self.process_reply(request, progress, reply) {
                        return Some(response);
                    }
                }
                Err(LinkError::Connect) => progress.reason = RefusalReason::UpstreamUnreachable,
                Err(LinkError::Lost) => progress.record_lost(RefusalReason::ConnectionLost),
                Err(LinkError::TimedOut) => progress.record_lost(RefusalReason::Timeout),
            }
            if !progress.can_continue(request) || self.control == ControlMode::PassThrough {
                break;
            }
        }
        None
    }

    /// Selects the next instance. After its quarantine a suspect goes first to the instance that all
    /// nodes choose for its run on probation. Whether a quarantined request may run is decided beside
    /// the upstream, where it may have run completely; the sender passes on the crashes that it knows.
    fn next_target(&self, request: &RoutedRequest, progress: &CallProgress) -> Option<PeerTarget> {
        if let Some(fingerprint) = self.suspect_fingerprint(request)
            && self.server.suspects().is_on_probation(fingerprint)
            && let Some(target) = self.peers.trial_target(&progress.service, fingerprint)
            && !progress.tried.contains(&target.key)
        {
            return Some(target);
        }
        self.next_instance(request, progress)
    }

    /// Fingerprint of the request; `None` while there are no suspects at all.
    fn suspect_fingerprint(&self, request: &RoutedRequest) -> Option<RequestFingerprint> {
        let RoutedRequest {
            method,
            target,
            body,
            ..
        } = request;
        let has_suspects = !self.server.suspects().is_empty();
        has_suspects.then(|| suspect_tracker::fingerprint_of(&self.origin, method, target, body))
    }

    /// Selects an untried instance, or else one whose upstream rejected the request for overload:
    /// it may reject only a part of the requests.
    fn next_instance(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
    ) -> Option<PeerTarget> {
        let tried = &progress.tried;
        let placing = PlacingRequest {
            service: &progress.service,
            route: request.route_id(),
            time: request.time(),
            tried,
            is_refused: !tried.is_empty() && progress.reason == RefusalReason::Overload,
        };
        let attempts = usize::try_from(request.route.attempts).unwrap_or(usize::MAX);
        if tried.len() < INSTANCES_MAX && progress.receivers.len() < attempts {
            let untried = self.peers.choose(&placing);
            if untried.is_some() {
                return untried;
            }
        }
        let can_retry_rejected = progress.is_rejected && progress.deliveries < REJECTIONS_MAX;
        can_retry_rejected
            .then(|| self.peers.choose_among(&placing, &progress.rejected))
            .flatten()
    }

    /// Counts the first attempt; it counts as a retry if the running request that makes the call is
    /// one.
    fn record_first_attempt(&self, now: Instant, request: &RoutedRequest, service: &ServiceName) {
        let mut allowance = self.allowance.borrow_mut();
        allowance.record_request(now, service);
        if request.has_retried_parent() {
            allowance.record_retry(now, service);
        }
    }

    /// Returns whether another attempt may be made. An attempt after one that reached an upstream
    /// is a retry; the node beside the next upstream checks it against its budget.
    fn can_try_next(&self, request: &RoutedRequest, progress: &CallProgress) -> bool {
        if progress.tried.is_empty() {
            return true;
        }
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        if time_left < RETRY_TIME_MIN {
            return false;
        }
        let is_counted = progress.deliveries > 0;
        if is_counted && !self.can_retry_calls(request, progress) {
            return false;
        }
        let trace = trace(request, progress);
        self.log
            .log_retried(&trace, progress.reason.as_str(), is_counted);
        true
    }

    /// Returns whether a request whose run made calls may be retried. Its calls would be made again
    /// too, at services further down the call chain where they can no longer be refused, so the
    /// allowance must cover them as well.
    fn can_retry_calls(&self, request: &RoutedRequest, progress: &CallProgress) -> bool {
        let calls = progress.nested_calls.calls;
        if calls == 0 {
            return true;
        }
        let (now, service) = (Instant::now(), &progress.service);
        let mut allowance = self.allowance.borrow_mut();
        allowance.spend(now, service, request.importance, 1 + calls)
    }

    async fn send_attempt(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
        target: &PeerTarget,
        has_others: bool,
    ) -> Result<RelayReply, LinkError> {
        let mut message =
            request_message::build_request(request, progress, target, &self.origin, has_others);
        message.revision = self.directory.versions().known_revision();
        message.departed = self.peers.departed_run(target.address);
        message.limit = self.peers.limit(target.address);
        let fingerprint = self.suspect_fingerprint(request);
        let suspect =
            fingerprint.and_then(|fingerprint| self.server.suspects().report(fingerprint));
        message.crashes = suspect.map_or_else(Vec::new, |suspect| suspect.crashes);
        let median_latency = self.latencies.median(&request.route.name);
        let record = AttemptRecord::start(&self.peers, target, message.kind, median_latency);
        let reply = if target.address == self.peer_address.get() {
            progress.stage = AttemptStage::Sent;
            Ok(self.server.serve(message, request.deadline).await)
        } else {
            self.send_to_peer(target.address, message, request, progress)
                .await
        };
        let elapsed = record.finish(&reply);
        if let Ok(reply) = &reply {
            if let Some(report) = &reply.suspect {
                self.server.suspects().merge(std::slice::from_ref(report));
            }
            if matches!(reply.result, RelayResult::Answered(_)) {
                self.latencies.record(&request.route.name, elapsed);
            }
        }
        reply
    }

    async fn send_to_peer(
        &self,
        address: SocketAddr,
        message: RelayRequest,
        request: &RoutedRequest,
        progress: &mut CallProgress,
    ) -> Result<RelayReply, LinkError> {
        let may_run_twice = request.route.is_idempotent;
        let link = self.links.usable_link(address, may_run_twice).await?;
        progress.stage = AttemptStage::Sent;
        self.links
            .relay(&link, message, request.deadline, may_run_twice)
            .await
    }

    /// Processes a reply; returns the response if it is final.
    fn process_reply(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
        reply: RelayReply,
    ) -> Option<RelayResponse> {
        progress.load = reply.news;
        progress.nested_calls.add(CallTotals {
            wait: Duration::from_millis(reply.wait_ms.into()),
            calls: reply.calls,
            worst_failure: reply.trouble,
        });
        match reply.result {
            RelayResult::Answered(response) if !response.is_whole() => {
                progress.record_lost(RefusalReason::BrokenAnswer);
                None
            }
            RelayResult::Answered(response) => {
                let is_exhausted = reply.trouble.is_exhausted();
                let can_retry =
                    request.route.is_idempotent && response.is_failure() && !is_exhausted;
                progress.record_delivery();
                if !can_retry || self.control == ControlMode::PassThrough {
                    return Some(response);
                }
                progress.may_have_run = true;
                progress.reason = RefusalReason::BrokenAnswer;
                progress.failure = Some(response);
                None
            }
            RelayResult::Refused(refusal) => {
                progress.record_refusal(refusal);
                None
            }
        }
    }

    fn log_outcome(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
        outcome: &ForwardOutcome,
    ) {
        let trace = trace(request, progress);
        match outcome {
            ForwardOutcome::Answered(response) => self.log.log_answered(&trace, response),
            ForwardOutcome::NotRun(reason, retry_after) => {
                self.log
                    .log_refused(&trace, reason.as_str(), retry_after.unwrap_or_default());
            }
            ForwardOutcome::Unknown(reason) => self.log.log_failed(&trace, reason.as_str()),
        }
    }
}

fn allowance_rules(retries: RetrySettings) -> AllowanceRules {
    AllowanceRules {
        quota: retry_quota(retries),
        ..AllowanceRules::default()
    }
}

fn trace<'a>(request: &'a RoutedRequest, progress: &'a CallProgress) -> RequestTrace<'a> {
    RequestTrace {
        id: &request.id,
        route: &request.route.name,
        version: request.version,
        elapsed: request.received.elapsed(),
        instance: &progress.last_instance,
        load: progress.load,
    }
}
