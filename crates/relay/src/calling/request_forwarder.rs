//! Forwards a request to an instance of its service, and retries at other instances where that is
//! safe.

use super::{
    attempt_sender::AttemptSender,
    call_progress::CallProgress,
    cancellation_guard::CancellationGuard,
    outcome_record,
    peer_links::PeerLinks,
    peer_table::PeerTable,
    reply_handling,
    retry_limit::RetryLimit,
    routed_request::{self, ForwardOutcome, RoutedRequest},
    suspect_lookup::SuspectLookup,
    target_selector::TargetSelector,
};

use crate::{
    active_count::ActiveCount,
    decision_log::DecisionLog,
    directory::FleetDirectory,
    explain_page::{ExplainPage, ServiceChoice},
    header_scheme::HeaderScheme,
    http1::request_handler::UnreadRequest,
    lifecycle::request_cutoff::RequestCutoff,
    serving::{running_table::RunningTable, upstream_server::UpstreamServer},
};

use lagoonshore_coordination::{
    forwarding::traffic_split::TrafficSplit,
    placing::{PlacingRequest, urgency::RequestTime},
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::RelayResponse;
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::route_table::RouteTarget;
use std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time left until the deadline below which no retry is sent, since it cannot end in time.
const RETRY_TIME_MIN: Duration = Duration::from_millis(20);

/// `RequestForwarder` forwards the requests that begin on the local instance.
pub struct RequestForwarder {
    call_separator: char,
    control: ControlMode,
    directory: Rc<FleetDirectory>,
    log: Rc<DecisionLog>,
    peers: Rc<PeerTable>,
    links: Rc<PeerLinks>,
    running_table: Rc<RunningTable>,
    selector: TargetSelector,
    sender: AttemptSender,
    retry_limit: RetryLimit,
    split: RefCell<TrafficSplit>,
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
        let suspects = Rc::clone(server.suspects());
        let lookup = SuspectLookup::new(settings.service.clone(), suspects);
        let running_table = Rc::clone(server.running_table());
        let sender = AttemptSender::new(
            settings,
            Rc::clone(&directory),
            Rc::clone(&peers),
            Rc::clone(&links),
            server,
            lookup.clone(),
        );
        Self {
            call_separator: scheme.call_separator,
            control: settings.control,
            directory,
            log,
            selector: TargetSelector::new(Rc::clone(&peers), lookup),
            peers,
            links,
            running_table,
            sender,
            retry_limit: RetryLimit::new(settings.retries),
            split: RefCell::default(),
            running: ActiveCount::default(),
            cutoff: RequestCutoff::default(),
        }
    }

    /// Sets the address on which the node itself listens for peers.
    pub fn set_peer_address(&self, address: SocketAddr) {
        self.sender.set_peer_address(address);
    }

    /// Address on which the node itself listens for peers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.sender.peer_address()
    }

    /// Applies changed retry settings.
    pub fn set_retry_settings(&self, retries: RetrySettings) {
        self.retry_limit.set_retry_settings(retries);
    }

    /// Applies a change of the directory: the number of nodes, and the routes in force.
    pub fn apply_directory_change(&self) {
        self.retry_limit.set_nodes(self.directory.node_count());
        let routes = self.directory.routes();
        let routes = routes.routes();
        let names: HashSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.split.borrow_mut().retain(|name| names.contains(name));
        self.sender.retain_routes(|name| names.contains(name));
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
    pub(crate) fn log_unread(&self, request: UnreadRequest<'_>) {
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
    pub async fn forward(&self, request: &RoutedRequest) -> ForwardOutcome {
        let mut guard = CancellationGuard::new(&self.log, &self.running, request);
        let Some(service) = self.split.borrow_mut().choose(&request.route) else {
            guard.mark_finished();
            return ForwardOutcome::NotRun(RefusalReason::NoInstance, None);
        };
        let mut progress = CallProgress::new(service);
        let attempts = self.try_instances(request, &mut progress);
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
        outcome_record::log(&self.log, request, &progress, &outcome);
        self.record_nested_call(request, &progress, &outcome);
        outcome
    }

    /// Tries one instance after the other; `None` if no attempt gave a final response.
    async fn try_instances(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
    ) -> Option<RelayResponse> {
        let now = Instant::now();
        self.retry_limit
            .record_first_attempt(now, request, &progress.service);
        while let Some(target) = self.selector.next_target(request, progress) {
            if !self.can_try_next(request, progress) {
                break;
            }
            progress.start_attempt(&target);
            let has_others = self.selector.has_others(progress);
            let reply = self.sender.send(request, progress, &target, has_others);
            match reply.await {
                Ok(reply) => {
                    let response = reply_handling::process(request, progress, reply, self.control);
                    if response.is_some() {
                        return response;
                    }
                }
                Err(error) => progress.record_link_error(error),
            }
            if !progress.can_continue(request) || self.control == ControlMode::PassThrough {
                break;
            }
        }
        None
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
        if is_counted && !self.retry_limit.can_retry_calls(request, progress) {
            return false;
        }
        let trace = outcome_record::trace(request, progress);
        let reason = progress.reason.as_str();
        self.log.log_retried(&trace, reason, is_counted);
        true
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
        self.running_table
            .record_call(&request.id, self.call_separator, totals);
    }
}
