//! Admission and execution of requests on the local upstream.

use super::{
    announcements::UpstreamAnnouncements,
    local_upstream::LocalUpstream,
    refusals::{
        MEMORY_RETRY_AFTER, UNAVAILABLE_RETRY_AFTER, nested_overload, refusal, unknown_outcome,
    },
    retry_gate::RetryGate,
    route_gate::{RouteGate, RoutePermit, RunSummary},
    running_table::{CallTotals, RunningRequest, RunningTable},
    slot_limiter::{SlotLimiter, SlotPermit},
    upstream_exchange::UpstreamExchange,
};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    decision_log::DecisionLog,
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::{memory_budget::MemoryBudget, pool::ConnectionPool},
    lifecycle::request_cutoff::RequestCutoff,
    process_limits, relay_metrics, stable_hash,
    suspect_tracker::{self, SuspectStatus, SuspectTracker, TrialGuard},
};

use lagoonshore_coordination::{
    forwarding::{
        call_needs::CallNeeds,
        slot_queue::{SlotRank, SlotRequest},
    },
    protection::fingerprint::RequestFingerprint,
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{
    CallFailure, NodeStatus, RelayReply, RelayRequest, RelayResult,
};
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::{
    ids::ServiceName,
    units::{whole_micros, whole_millis},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Part of the connections to the upstream that may be idle, as a divisor.
const IDLE_DIVISOR: usize = 2;
/// Slots that are assumed until the upstream is listed.
const SLOTS_DEFAULT: u32 = 8;
/// Share of the listed slots that is used: some upstreams slow down when nearly all are in use.
const USABLE_SLOTS_SHARE: f64 = 0.95;
/// Most requests of one route, running and waiting, in multiples of the slots.
const ROUTE_REQUESTS_PER_SLOT: u32 = 3;

/// Time before the deadline at which a request leaves the queue unsent, so that its sender still
/// learns that it has not run.
const REPLY_TIME: Duration = Duration::from_millis(20);

/// A request may not run now, because it crashed upstreams.
struct Quarantined;

/// `UpstreamServer` runs requests on the local upstream.
pub struct UpstreamServer {
    directory: Rc<FleetDirectory>,
    control: ControlMode,
    service: ServiceName,
    limiter: SlotLimiter,
    /// Connections to the upstream that fit the descriptors of the process.
    connections_max: u32,
    announcements: Rc<UpstreamAnnouncements>,
    pool: Rc<ConnectionPool>,
    upstream: Rc<LocalUpstream>,
    suspects: Rc<SuspectTracker>,
    route_gate: RouteGate,
    retry_gate: Rc<RetryGate>,
    exchange: UpstreamExchange,
    running_table: Rc<RunningTable>,
    call_needs: RefCell<CallNeeds>,
    is_draining: Cell<bool>,
    is_refusing: Cell<bool>,
    running: ActiveCount,
    cutoff: RequestCutoff,
}

impl UpstreamServer {
    /// Creates the server of a node. The responses of the upstream share the memory of `budget`.
    #[must_use]
    pub fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        log: Rc<DecisionLog>,
        budget: MemoryBudget,
    ) -> Self {
        let connections_max = process_limits::of_process(settings).upstream_connections();
        let idle_max = usize::try_from(connections_max).unwrap_or(usize::MAX) / IDLE_DIVISOR;
        let pool = ConnectionPool::new(settings.upstream, budget).with_idle_max(idle_max);
        let pool = Rc::new(pool);
        let limiter = SlotLimiter::new(SLOTS_DEFAULT);
        let announcements = UpstreamAnnouncements::new(Rc::clone(&directory), limiter.clone());
        let announcements = Rc::new(announcements);
        let upstream = LocalUpstream::new(
            settings,
            scheme,
            Rc::clone(&directory),
            Rc::clone(&pool),
            Rc::clone(&announcements),
        );
        let upstream = Rc::new(upstream);
        let suspects = Rc::<SuspectTracker>::default();
        let retry_gate = Rc::new(RetryGate::new(settings, Rc::clone(&log)));
        let exchange = UpstreamExchange {
            scheme,
            pool: Rc::clone(&pool),
            upstream: Rc::clone(&upstream),
            suspects: Rc::clone(&suspects),
            retry_gate: Rc::clone(&retry_gate),
            limiter: limiter.clone(),
            announcements: Rc::clone(&announcements),
            log,
        };
        Self {
            directory,
            control: settings.control,
            service: settings.service.clone(),
            limiter,
            connections_max,
            announcements,
            pool,
            upstream,
            suspects,
            route_gate: RouteGate::default(),
            retry_gate,
            exchange,
            running_table: Rc::default(),
            call_needs: RefCell::default(),
            is_draining: Cell::new(false),
            is_refusing: Cell::new(false),
            running: ActiveCount::default(),
            cutoff: RequestCutoff::default(),
        }
    }

    /// Applies the upstream list: the slots of the local upstream, and the number of upstreams of
    /// its service.
    pub fn apply_upstream_list(&self) {
        if let Some(slots) = self.directory.local_slots() {
            self.limiter
                .set_limit(usable_slots(slots).min(self.connections_max));
        }
        let instances = self.directory.instances();
        let count = instances.of_service(&self.service).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.retry_gate.set_upstream_count(count);
    }

    /// Applies changed retry settings.
    pub fn set_retry_settings(&self, retries: RetrySettings) {
        self.retry_gate.set_retry_settings(retries);
    }

    /// Reports the node as draining to other nodes from now on.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Makes every later request be refused.
    pub fn start_refusing(&self) {
        self.is_refusing.set(true);
    }

    /// Ends the requests that are being served, so that each sender gets a reply before the process
    /// exits.
    pub fn cut_off(&self) {
        self.cutoff.trigger();
    }

    /// Number of requests that are being served.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Number of attempts to connect to the local upstream so far.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.pool.opened()
    }

    /// Requests that the upstream is running; its calls are matched to them.
    #[must_use]
    pub const fn running_table(&self) -> &Rc<RunningTable> {
        &self.running_table
    }

    /// Status of the node, as sent with every reply.
    #[must_use]
    pub fn node_status(&self) -> NodeStatus {
        let usage = self.limiter.usage();
        NodeStatus {
            in_use: usage.in_use,
            limit: usage.limit,
            queued: usage.queued,
            hold_micros: whole_micros(self.limiter.mean_hold_time()),
            rate_wait_ms: whole_millis(self.limiter.rate_wait()),
            is_leaving: self.is_draining.get(),
            version: self.directory.version(),
            revision: self.directory.versions().known_revision(),
        }
    }

    /// Returns whether the local upstream refuses connections.
    #[must_use]
    pub fn is_upstream_down(&self) -> bool {
        self.upstream.is_down()
    }

    /// Suspect requests.
    #[must_use]
    pub const fn suspects(&self) -> &Rc<SuspectTracker> {
        &self.suspects
    }

    /// Runs a request, whose response is of use only before `deadline`.
    pub async fn serve(&self, request: RelayRequest, deadline: Instant) -> RelayReply {
        let received = Instant::now();
        let route = request.kind;
        let active = ActiveGuard::new(&self.running);
        self.directory.versions().record_known(request.revision);
        // A sender with an old list means the upstream that had this address before.
        if request.service == self.service {
            self.announcements.record_request(&request);
        }
        let fingerprint = suspect_tracker::fingerprint_of(
            &request.origin,
            &request.method,
            &request.target,
            &request.body,
        );
        let mut totals = CallTotals::default();
        let result = self.run(request, deadline, fingerprint, &mut totals).await;
        drop(active);
        let suspect = self.suspects.report(fingerprint);
        RelayReply {
            result,
            news: self.node_status(),
            wait_ms: whole_millis(totals.wait),
            calls: totals.calls,
            trouble: totals.worst_failure,
            suspect,
            departed: self.announcements.departed_run(),
            limit: self.announcements.limit(),
            work_micros: self.limiter.known_hold_time(route).map_or(0, whole_micros),
            served_micros: whole_micros(received.elapsed()),
        }
    }

    async fn run(
        &self,
        request: RelayRequest,
        deadline: Instant,
        fingerprint: RequestFingerprint,
        totals: &mut CallTotals,
    ) -> RelayResult {
        self.suspects.merge_crashes(fingerprint, &request.crashes);
        if !request.is_whole() {
            return refusal(RefusalReason::Overload, MEMORY_RETRY_AFTER);
        }
        // Without a document the calls of the run would find no routes.
        if self.directory.version() == 0 {
            return refusal(RefusalReason::Starting, UNAVAILABLE_RETRY_AFTER);
        }
        // The sender's upstream list may predate the reuse of this address by another service.
        if request.service != self.service {
            return refusal(RefusalReason::NoInstance, Duration::ZERO);
        }
        if self.is_refusing.get() || self.upstream.has_departed(&request.instance) {
            return refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
        }
        if self.upstream.is_down() {
            return refusal(RefusalReason::UpstreamUnreachable, UNAVAILABLE_RETRY_AFTER);
        }
        let Ok(_trial) = self.admit_suspect(&request, fingerprint) else {
            return refusal(RefusalReason::Quarantined, Duration::ZERO);
        };
        if !self.retry_gate.can_retry(&request) {
            return refusal(RefusalReason::RetryLimit, Duration::ZERO);
        }
        let route_permit = match self.admit(&request) {
            Ok(route_permit) => route_permit,
            Err(retry_after) => return nested_overload(retry_after),
        };
        let queued_at = Instant::now();
        let acquired = tokio::select! {
            biased;
            acquired = self.acquire_slot(&request, deadline) => acquired,
            () = self.cutoff.reached() => {
                return refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
            }
        };
        let permit = match acquired {
            Ok(permit) => permit,
            // At the end of its time a request has timed out; only an earlier refusal counts as overload.
            Err(_) if deadline.saturating_duration_since(Instant::now()) <= REPLY_TIME => {
                return refusal(RefusalReason::Timeout, Duration::ZERO);
            }
            Err(wait) => return refusal(RefusalReason::Overload, wait),
        };
        totals.wait = queued_at.elapsed();
        // The upstream may have left during the wait, and requests that are cut off free their slots
        // for those that wait.
        if self.cutoff.is_reached() || self.upstream.has_departed(&request.instance) {
            return refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
        }
        self.retry_gate.record_arrival(&request);
        let summary = RunSummary::of(&request);
        let running = self.running_request(&request);
        let entry = self.running_table.insert(&request.id, running);
        let result = tokio::select! {
            biased;
            result = self.exchange.send(request, deadline, permit, fingerprint) => result,
            () = self.cutoff.reached() => unknown_outcome(RefusalReason::Draining),
        };
        let nested_calls = entry.finish();
        totals.wait += nested_calls.wait;
        totals.calls = nested_calls.calls;
        totals.worst_failure = nested_calls.worst_failure;
        self.record_need(&summary, nested_calls, &result);
        self.route_gate.record_run(&summary, nested_calls, &result);
        drop(route_permit);
        result
    }

    fn running_request(&self, request: &RelayRequest) -> RunningRequest {
        let calls_expected = self.call_needs.borrow().expected_calls(request.kind);
        let own_calls = calls_expected.unwrap_or_default();
        let calls_left = request.calls_left.unwrap_or_default();
        RunningRequest {
            importance: request.importance,
            account: request.account.clone(),
            is_retry: request.is_repeat,
            calls_expected,
            calls_after: calls_left.saturating_sub(own_calls.saturating_add(1)),
            nested_calls: CallTotals::default(),
        }
    }

    /// Learns how many calls a route needs from a run that was served completely.
    fn record_need(&self, request: &RunSummary, nested_calls: CallTotals, result: &RelayResult) {
        let is_complete = match result {
            RelayResult::Answered(response) => !response.is_failure(),
            RelayResult::Refused(_) => false,
        };
        if is_complete && nested_calls.worst_failure == CallFailure::None {
            let mut call_needs = self.call_needs.borrow_mut();
            call_needs.record_run(request.route(), nested_calls.calls);
        }
    }

    /// Admits a request that is not quarantined. After its quarantine it runs once at a time, and only
    /// on the instance that all nodes choose for that.
    fn admit_suspect(
        &self,
        request: &RelayRequest,
        fingerprint: RequestFingerprint,
    ) -> Result<Option<TrialGuard>, Quarantined> {
        let (id, suspects) = (&request.id, &self.suspects);
        let state = match suspects.status(fingerprint) {
            SuspectStatus::Clear => return Ok(None),
            SuspectStatus::Probation(state) => {
                let chosen = self.directory.trial_instance(&self.service, fingerprint);
                let is_chosen = chosen.is_some_and(|(_, record)| record.name == request.instance);
                if is_chosen && let Some(trial) = suspects.start_trial(id, fingerprint, state) {
                    return Ok(Some(trial));
                }
                state
            }
            SuspectStatus::Quarantined(state) => state,
        };
        suspects.log_quarantined(id, fingerprint, state);
        Err(Quarantined)
    }

    /// Admits a new request unless the nested calls of its route fail or are not served in time.
    fn admit(&self, request: &RelayRequest) -> Result<Option<RoutePermit<'_>>, Duration> {
        if request.is_nested() || self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        let limit_max = self
            .limiter
            .usage()
            .limit
            .saturating_mul(ROUTE_REQUESTS_PER_SLOT);
        self.route_gate.admit(request, limit_max).map(Some)
    }

    async fn acquire_slot(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<Option<SlotPermit>, Duration> {
        if self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        if self.limiter.start_check() {
            actix_rt::spawn(Rc::clone(&self.upstream).check_announcements());
        }
        let now = Instant::now();
        let aim = now + Duration::from_millis(request.aim_ms.into());
        let deadline = deadline.checked_sub(REPLY_TIME).unwrap_or(deadline);
        let slot_request = SlotRequest {
            rank: SlotRank {
                is_new: !request.is_nested(),
                importance: request.importance,
            },
            route: request.kind,
            account: request.account.as_deref().map(stable_hash::hash_name),
            finish_by: if request.is_nested() {
                deadline
            } else {
                aim.min(deadline)
            },
            late_by: (request.is_returning && !request.is_nested()).then_some(deadline),
            wait_max: Duration::from_millis(request.wait_ms.into()),
        };
        let permit = self.limiter.acquire(slot_request).await;
        relay_metrics::record_queue_wait(now.elapsed());
        permit.map(Some)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_slots(slots: u32) -> u32 {
    ((f64::from(slots) * USABLE_SLOTS_SHARE) as u32).max(1)
}
