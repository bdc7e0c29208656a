//! Finds an upstream for a request and sends it there, and again where that is allowed.

use super::{
    call_progress::CallProgress,
    latency_table::LatencyTable,
    leaving_note::LeavingNote,
    peer_links::{LinkError, PeerLinks},
    peer_table::{PeerTable, PeerTarget},
    routed_request::{ForwardOutcome, RoutedRequest},
    send_record::SendRecord,
    sent_message,
};

use crate::{
    active_count::ActiveCount,
    decision_log::{DecisionLog, RequestTrace},
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    serving::{
        retry_gate::retry_quota, running_table::CallSum, suspect_tracker,
        upstream_server::UpstreamServer,
    },
};

use lagoonshore_coordination::{
    forwarding::{
        retry_allowance::{AllowanceRules, RetryAllowance},
        traffic_split::TrafficSplit,
    },
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{RelayReply, RelayResponse, RelayResult};
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::ids::ServiceName;
use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Instances that may be asked for a slot before a request is refused.
const ASKED_MAX: usize = 3;
/// Upstreams that may turn a request away before it is refused, some of them more than once.
const REJECTIONS_MAX: u32 = 7;
/// Time below which a second try cannot end in time.
const REPEAT_TIME_MIN: Duration = Duration::from_millis(20);

/// `RequestForwarder` sends the requests that begin on the own instance.
pub struct RequestForwarder {
    origin: ServiceName,
    call_separator: char,
    peer_address: Cell<SocketAddr>,
    control: ControlMode,
    directory: Rc<FleetDirectory>,
    log: Rc<DecisionLog>,
    book: Rc<PeerTable>,
    links: Rc<PeerLinks>,
    server: Rc<UpstreamServer>,
    allowance: RefCell<RetryAllowance>,
    split: RefCell<TrafficSplit>,
    latencies: LatencyTable,
    running: ActiveCount,
}

impl RequestForwarder {
    /// Creates the caller of a node.
    #[must_use]
    pub fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        log: Rc<DecisionLog>,
        book: Rc<PeerTable>,
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
            book,
            links,
            server,
            allowance: RefCell::new(RetryAllowance::new(rules, 1)),
            split: RefCell::default(),
            latencies: LatencyTable::default(),
            running: ActiveCount::default(),
        }
    }

    /// Sets the address at which other nodes reach the own one.
    pub fn set_peer_address(&self, address: SocketAddr) {
        self.peer_address.set(address);
    }

    /// Address at which other nodes reach the own one.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address.get()
    }

    /// Takes over changed bounds on repeats.
    pub fn set_retry_settings(&self, repeats: RetrySettings) {
        self.allowance
            .borrow_mut()
            .set_rules(allowance_rules(repeats));
    }

    /// Takes over what changed in the directory.
    pub fn apply_directory_change(&self) {
        let nodes = self.directory.node_count();
        self.allowance.borrow_mut().set_nodes(nodes);
        let routes = self.directory.routes();
        let routes = routes.routes();
        let names: HashSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        self.split.borrow_mut().retain(|name| names.contains(name));
        self.latencies.retain(|name| names.contains(name));
    }

    /// Requests that are on their way.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Sends a request to an upstream and returns what became of it.
    pub async fn forward(&self, request: RoutedRequest) -> ForwardOutcome {
        let mut leaving = LeavingNote::new(&self.log, &self.running, &request);
        let Some(service) = self.split.borrow_mut().choose(&request.route) else {
            leaving.done();
            return ForwardOutcome::NotRun(RefusalReason::NoInstance, None);
        };
        let mut progress = CallProgress::new(service);
        let trying = self.try_instances(&request, &mut progress);
        let ended = tokio::time::timeout_at(request.deadline, trying).await;
        leaving.done();
        let end = match ended {
            Ok(Some(answer)) => ForwardOutcome::Answered(answer),
            Ok(None) => progress.end(),
            Err(_) => progress.end_late(),
        };
        self.note_end(&request, &progress, &end);
        self.note_call(&request, &progress, &end);
        end
    }

    /// Adds a call of the upstream to the request that it is made for.
    fn note_call(&self, request: &RoutedRequest, progress: &CallProgress, end: &ForwardOutcome) {
        if request.parent.is_none() {
            return;
        }
        let mut below = progress.below;
        below.trouble = below.trouble.max(progress.trouble(end));
        let table = self.server.running_table();
        table.note_call(&request.id, self.call_separator, below);
    }

    /// Asks one instance after the other; `None` if no answer came that ends the request.
    async fn try_instances(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
    ) -> Option<RelayResponse> {
        let now = Instant::now();
        self.note_first(now, request, &progress.service);
        while let Some(target) = self.next_target(request, progress) {
            if !self.may_send(request, progress) {
                break;
            }
            progress.begin(&target);
            let may_ask_more = progress.asked.len() < ASKED_MAX;
            let has_others =
                may_ask_more && self.book.has_untried(&progress.service, &progress.asked);
            let reply = self.send(request, progress, &target, has_others).await;
            match reply {
                Ok(reply) => {
                    if let Some(answer) = self.take_reply(request, progress, reply) {
                        return Some(answer);
                    }
                }
                Err(LinkError::Connect) => progress.reason = RefusalReason::UpstreamUnreachable,
                Err(LinkError::Lost) => progress.note_lost(RefusalReason::ConnectionLost),
                Err(LinkError::TimedOut) => progress.note_lost(RefusalReason::Timeout),
            }
            if !progress.may_go_on(request) || self.control == ControlMode::PassThrough {
                break;
            }
        }
        None
    }

    /// Chooses an instance that was not asked, or else one whose upstream turned the request away: it
    /// may turn away only a part.
    fn next_target(&self, request: &RoutedRequest, progress: &CallProgress) -> Option<PeerTarget> {
        let (service, asked) = (&progress.service, &progress.asked);
        let attempts = usize::try_from(request.route.attempts).unwrap_or(usize::MAX);
        if asked.len() < ASKED_MAX && progress.readers.len() < attempts {
            let fresh = self.book.choose(service, asked);
            if fresh.is_some() {
                return fresh;
            }
        }
        let may_ask_again = progress.is_rejected && progress.reached < REJECTIONS_MAX;
        may_ask_again
            .then(|| self.book.choose_among(service, &progress.rejected))
            .flatten()
    }

    /// Counts the first sending, which is a repeat where the run that makes the call is one.
    fn note_first(&self, now: Instant, request: &RoutedRequest, service: &ServiceName) {
        let mut allowance = self.allowance.borrow_mut();
        allowance.record_request(now, service);
        if request.parent.is_some_and(|parent| parent.is_repeat) {
            allowance.record_retry(now, service);
        }
    }

    /// Tells whether the request may go to one more instance. A sending that follows one which
    /// reached an upstream is a repeat; the node beside the next upstream decides on it.
    fn may_send(&self, request: &RoutedRequest, progress: &CallProgress) -> bool {
        if progress.asked.is_empty() {
            return true;
        }
        let is_counted = progress.reached > 0;
        if is_counted {
            let left = request.deadline.saturating_duration_since(Instant::now());
            let is_late = left < REPEAT_TIME_MIN;
            if is_late {
                return false;
            }
            if !self.may_repeat_calls(request, progress) {
                return false;
            }
        }
        let trace = trace(request, progress);
        self.log
            .log_retried(&trace, progress.reason.as_str(), is_counted);
        true
    }

    /// Tells whether a request whose run made calls may be repeated. The calls are repeats as well,
    /// at services further down, where nobody can refuse them any more.
    fn may_repeat_calls(&self, request: &RoutedRequest, progress: &CallProgress) -> bool {
        let calls = progress.below.calls;
        if calls == 0 {
            return true;
        }
        let (now, service) = (Instant::now(), &progress.service);
        let mut allowance = self.allowance.borrow_mut();
        allowance.spend(now, service, request.importance(), 1 + calls)
    }

    async fn send(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
        target: &PeerTarget,
        has_others: bool,
    ) -> Result<RelayReply, LinkError> {
        let mut message =
            sent_message::relay_request(request, progress, target, &self.origin, has_others);
        if message.is_resent || message.is_idempotent {
            let fingerprint = suspect_tracker::fingerprint_of(&message);
            message.crashes = self.server.suspects().crashes_of(fingerprint);
        }
        let typical = self.latencies.median(&request.route.name);
        let record = SendRecord::open(&self.book, target, typical);
        let may_run_twice = request.route.is_idempotent;
        let reply = if target.address == self.peer_address.get() {
            Ok(self.server.serve(message, request.deadline).await)
        } else {
            self.links
                .relay(target.address, message, request.deadline, may_run_twice)
                .await
        };
        let elapsed = record.close(&reply);
        if let Ok(reply) = &reply {
            if let Some(report) = reply.suspect {
                self.server.suspects().merge(&[report]);
            }
            if matches!(reply.result, RelayResult::Answered(_)) {
                self.latencies.record(&request.route.name, elapsed);
            }
        }
        reply
    }

    /// Takes in a reply; returns the answer that is passed on at once.
    fn take_reply(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
        reply: RelayReply,
    ) -> Option<RelayResponse> {
        progress.load = reply.news;
        progress.below.add(CallSum {
            wait: Duration::from_millis(reply.wait_ms.into()),
            calls: reply.calls,
            trouble: reply.trouble,
        });
        match reply.result {
            RelayResult::Answered(answer) => {
                let is_hopeless = reply.trouble.is_exhausted();
                let may_repeat = request.route.is_idempotent && answer.is_failure() && !is_hopeless;
                progress.note_reached();
                if !may_repeat || self.control == ControlMode::PassThrough {
                    return Some(answer);
                }
                progress.may_have_run = true;
                progress.reason = RefusalReason::BrokenAnswer;
                progress.failure = Some(answer);
                None
            }
            RelayResult::Refused(refusal) => {
                progress.note_refusal(refusal);
                None
            }
        }
    }

    fn note_end(&self, request: &RoutedRequest, progress: &CallProgress, end: &ForwardOutcome) {
        let trace = trace(request, progress);
        match end {
            ForwardOutcome::Answered(answer) => self.log.log_answered(&trace, answer),
            ForwardOutcome::NotRun(reason, retry) => {
                self.log
                    .log_refused(&trace, reason.as_str(), retry.unwrap_or_default());
            }
            ForwardOutcome::Unknown(reason) => self.log.log_failed(&trace, reason.as_str()),
        }
    }
}

fn allowance_rules(repeats: RetrySettings) -> AllowanceRules {
    AllowanceRules {
        quota: retry_quota(repeats),
        ..AllowanceRules::default()
    }
}

fn trace<'a>(request: &'a RoutedRequest, progress: &'a CallProgress) -> RequestTrace<'a> {
    RequestTrace {
        id: &request.id,
        route: &request.route.name,
        version: request.version,
        elapsed: request.received.elapsed(),
        instance: &progress.last,
        load: progress.load,
    }
}
