//! Has the own upstream run requests: suspects, slots, the exchange, and what it says.

use super::{
    entry_gate::{EntryGate, EntryMark, RunSummary},
    own_upstream::OwnUpstream,
    refusals::{full_below, refused, unknown},
    run_marks::RunMark,
    running_table::{CallSum, RunningRequest, RunningTable},
    sent_head,
    slot_gate::{SlotGate, SlotPermit},
};

use crate::{
    decision_log::DecisionLog,
    directory::FleetDirectory,
    events,
    header_scheme::HeaderScheme,
    http1::{
        exchange::{ExchangeFault, SentRequest, WholeAnswer},
        pool::{ConnectionPool, IDLE_ANY, SendFault},
    },
    relay_metrics,
};

use lagoonshore_coordination::{
    forwarding::{
        arrival_budget::{ArrivalBudget, BudgetRules, RepeatClaim},
        slot_queue::{SlotOffer, SlotRank},
    },
    protection::{
        fingerprint::{self, RequestFingerprint},
        suspects::{SuspectReport, SuspectTable},
    },
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{
    NodeNews, RelayAnswer, RelayRefusal, RelayReply, RelayRequest, RelayResult, RequestReach,
};
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RepeatSettings};
use lagoonshore_state::{ids::ServiceName, units::whole_millis};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Slots that are assumed until the upstream is listed.
const SLOTS_UNLISTED: u32 = 8;
/// Idle time of a connection that a request may use which must not run twice.
const IDLE_ONCE: Duration = Duration::from_millis(500);
/// Share of the listed slots that are used: some upstreams slow down when they are nearly full.
const SLOTS_SHARE: f64 = 0.95;
/// Least time in which an upstream can do anything; a request with less left is not sent.
const SEND_TIME_MIN: Duration = Duration::from_millis(4);
/// Crashes after which a request is not run any more.
const CRASHES_MAX: u8 = 3;
/// Time after which a caller may come back to an upstream that is down or leaving.
const AWAY_RETRY: Duration = Duration::from_millis(300);
/// Requests of one kind, running and waiting, in multiples of the slots.
const PACE_SLOTS: u32 = 3;
/// Status by which an upstream says that another one was expected (RFC 9110, section 15.5.20).
const MISDIRECTED: u16 = 421;

/// `UpstreamServer` runs requests on the upstream beside the node.
pub struct UpstreamServer {
    directory: Rc<FleetDirectory>,
    log: Rc<DecisionLog>,
    scheme: HeaderScheme,
    control: ControlMode,
    service: ServiceName,
    gate: SlotGate,
    pool: Rc<ConnectionPool>,
    own: Rc<OwnUpstream>,
    suspects: RefCell<SuspectTable>,
    entry: EntryGate,
    budget: RefCell<ArrivalBudget>,
    table: Rc<RunningTable>,
    is_leaving: Cell<bool>,
    is_closed: Cell<bool>,
    running: Cell<u32>,
}

impl UpstreamServer {
    /// Creates the server of a node.
    #[must_use]
    pub fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        log: Rc<DecisionLog>,
    ) -> Self {
        let pool = Rc::new(ConnectionPool::new(settings.upstream));
        let budget = ArrivalBudget::new(Instant::now(), budget_rules(settings.repeats));
        let own = OwnUpstream::new(settings, scheme, Rc::clone(&directory), Rc::clone(&pool));
        Self {
            directory,
            log,
            scheme,
            control: settings.control,
            service: settings.service.clone(),
            gate: SlotGate::new(SLOTS_UNLISTED),
            pool,
            own: Rc::new(own),
            suspects: RefCell::default(),
            entry: EntryGate::default(),
            budget: RefCell::new(budget),
            table: Rc::default(),
            is_leaving: Cell::new(false),
            is_closed: Cell::new(false),
            running: Cell::new(0),
        }
    }

    /// Takes over the slots that the list gives the own upstream.
    pub fn follow_list(&self) {
        if let Some(slots) = self.directory.own_slots() {
            self.gate.set_limit(usable_slots(slots));
        }
        let instances = self.directory.instances();
        let count = instances.of_service(&self.service).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let mut budget = self.budget.borrow_mut();
        budget.set_upstreams(Instant::now(), count);
    }

    /// Takes over changed bounds on repeats.
    pub fn set_repeats(&self, repeats: RepeatSettings) {
        self.budget.borrow_mut().set_rules(budget_rules(repeats));
    }

    /// Tells other nodes that the node is leaving.
    pub fn begin_leaving(&self) {
        self.is_leaving.set(true);
    }

    /// Refuses all requests from now on.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Requests that are being served.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.get()
    }

    /// Connections to the upstream opened so far.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.pool.opened()
    }

    /// Requests that the upstream is running, to which its calls belong.
    #[must_use]
    pub const fn table(&self) -> &Rc<RunningTable> {
        &self.table
    }

    /// State of the node, as its replies tell it.
    #[must_use]
    pub fn news(&self) -> NodeNews {
        let load = self.gate.load();
        NodeNews {
            in_use: load.in_use,
            limit: load.limit,
            queued: load.queued,
            is_leaving: self.is_leaving.get(),
            version: self.directory.version(),
            revision: self.directory.revision(),
        }
    }

    /// Crashes held against a request, for the nodes that send it.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: RequestFingerprint) -> u8 {
        let report = self.suspects.borrow().report(Instant::now(), fingerprint);
        report.map_or(0, |report| report.crashes)
    }

    /// Takes in what other nodes hold against requests.
    pub fn learn_suspects(&self, reports: &[SuspectReport]) {
        let mut suspects = self.suspects.borrow_mut();
        for report in reports {
            suspects.merge(Instant::now(), *report);
        }
    }

    /// Suspects of which other nodes should hear.
    #[must_use]
    pub fn suspect_news(&self) -> Vec<SuspectReport> {
        self.suspects.borrow().reports(Instant::now())
    }

    /// Runs a request that must be answered before `deadline`.
    pub async fn serve(&self, request: RelayRequest, deadline: Instant) -> RelayReply {
        let running = RunMark::new(&self.running);
        let fingerprint = fingerprint_of(&request);
        let mut cost = CallSum::default();
        let result = self.run(request, deadline, fingerprint, &mut cost).await;
        drop(running);
        let suspect = self.suspects.borrow().report(Instant::now(), fingerprint);
        RelayReply {
            result,
            news: self.news(),
            wait_ms: whole_millis(cost.wait),
            calls: cost.calls,
            trouble: cost.trouble,
            suspect,
        }
    }

    async fn run(
        &self,
        request: RelayRequest,
        deadline: Instant,
        fingerprint: RequestFingerprint,
        cost: &mut CallSum,
    ) -> RelayResult {
        let report = SuspectReport {
            fingerprint,
            crashes: request.crashes,
        };
        if report.crashes > 0 {
            self.suspects.borrow_mut().merge(Instant::now(), report);
        }
        // The calls of a run would find no routes.
        if self.directory.version() == 0 {
            return refused(RefusalReason::Starting, AWAY_RETRY);
        }
        // The sender's list may be older than the use of this address by another service.
        if request.service != self.service {
            return refused(RefusalReason::NoInstance, Duration::ZERO);
        }
        if self.is_closed.get() || self.directory.has_departed(&request.instance) {
            return refused(RefusalReason::Draining, AWAY_RETRY);
        }
        if self.own.is_down() {
            return refused(RefusalReason::UpstreamUnreachable, AWAY_RETRY);
        }
        if self.crashes_of(fingerprint) >= CRASHES_MAX {
            return refused(RefusalReason::Quarantined, Duration::ZERO);
        }
        if !self.may_repeat(&request) {
            return refused(RefusalReason::RetryLimit, Duration::ZERO);
        }
        let mark = match self.enter(&request) {
            Ok(mark) => mark,
            Err(retry) => return full_below(retry),
        };
        let asked = Instant::now();
        let permit = match self.acquire(&request, deadline).await {
            Ok(permit) => permit,
            Err(wait) => return refused(RefusalReason::Overload, wait),
        };
        cost.wait = asked.elapsed();
        // The wait may have been long enough for the upstream to give notice.
        if self.directory.has_departed(&request.instance) {
            return refused(RefusalReason::Draining, AWAY_RETRY);
        }
        self.note_arrival(&request);
        let summary = RunSummary::of(&request);
        let running = RunningRequest {
            importance: request.importance,
            is_repeat: request.is_repeat,
            ..RunningRequest::default()
        };
        let entry = self.table.open(&request.id, running);
        let result = self.send(request, deadline, permit, fingerprint).await;
        let below = entry.close();
        cost.wait += below.wait;
        cost.calls = below.calls;
        cost.trouble = below.trouble;
        self.entry.learn(&summary, below, &result);
        drop(mark);
        result
    }

    /// Tells whether the budget lets a request through that an upstream may have read before.
    fn may_repeat(&self, request: &RelayRequest) -> bool {
        if !request.is_resent || self.control == ControlMode::PassThrough {
            return true;
        }
        let claim = RepeatClaim {
            importance: request.importance,
            calls_before: request.calls_before,
        };
        let is_taken = self.budget.borrow_mut().take(Instant::now(), claim);
        if !is_taken {
            self.log.repeat_refused(&request.id, claim);
        }
        is_taken
    }

    /// Counts a request that goes to the upstream; repeats were counted as they were let through. One
    /// that was refused here may be counted beside another upstream.
    fn note_arrival(&self, request: &RelayRequest) {
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        match (request.is_resent, request.is_repeat) {
            (true, _) => {}
            (false, true) => budget.note_repeat(now),
            (false, false) => budget.note_request(now),
        }
    }

    /// Lets a new request in, if the calls of others of its kind get through in time.
    fn enter(&self, request: &RelayRequest) -> Result<Option<EntryMark<'_>>, Duration> {
        if request.is_nested() || self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        let most = self.gate.load().limit.saturating_mul(PACE_SLOTS);
        self.entry.enter(request, most).map(Some)
    }

    async fn acquire(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<Option<SlotPermit>, Duration> {
        if self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        let now = Instant::now();
        let aim = now + Duration::from_millis(request.aim_ms.into());
        let offer = SlotOffer {
            rank: SlotRank {
                is_new: !request.is_nested(),
                importance: request.importance,
            },
            kind: request.kind,
            finish_by: if request.is_nested() {
                deadline
            } else {
                aim.min(deadline)
            },
            wait_max: Duration::from_millis(request.wait_ms.into()),
        };
        let permit = self.gate.acquire(offer).await;
        relay_metrics::record_queue_wait(now.elapsed());
        permit.map(Some)
    }

    async fn send(
        &self,
        request: RelayRequest,
        deadline: Instant,
        mut permit: Option<SlotPermit>,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < SEND_TIME_MIN {
            return refused(RefusalReason::Timeout, Duration::ZERO);
        }
        let started = Instant::now();
        let exchange = self.exchange(&request, deadline);
        let answer = tokio::time::timeout(left, exchange).await;
        relay_metrics::record_upstream(started.elapsed(), matches!(answer, Ok(Ok(_))));
        match answer {
            Ok(Ok(answer)) => {
                if let Some(permit) = &mut permit
                    && !answer.head.is_not_run
                {
                    permit.finished();
                }
                self.judge(&request, answer, fingerprint)
            }
            Ok(Err(SendFault::Connect(kind))) => {
                self.log
                    .upstream_failed(&request.id, "connect", &kind.to_string());
                self.own.note_refused();
                refused(RefusalReason::UpstreamUnreachable, AWAY_RETRY)
            }
            Ok(Err(SendFault::Exchange(fault))) => {
                drop(permit);
                self.lost(&request, &fault, fingerprint).await
            }
            Err(_) => {
                self.log
                    .upstream_failed(&request.id, "timeout", "no answer by the deadline");
                unknown(RefusalReason::Timeout)
            }
        }
    }

    /// Sends the request to the upstream, and once more where another one than expected has taken
    /// its place and may run it as well.
    async fn exchange(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<WholeAnswer, SendFault> {
        let expected = self.own.target(&request.instance);
        let idle_max = if request.is_idempotent {
            IDLE_ANY
        } else {
            IDLE_ONCE
        };
        let sent = self.sent_request(request, &expected, deadline);
        let answer = self.pool.send(sent, &self.scheme, idle_max).await?;
        if answer.head.status != MISDIRECTED {
            if answer.head.is_signed {
                self.own.note_answer();
            }
            return Ok(answer);
        }
        let found = answer.head.instance.as_ref();
        let Some(found) = found.filter(|found| self.own.adopt(found)) else {
            return Ok(answer);
        };
        let sent = self.sent_request(request, found, deadline);
        // The upstream counts both.
        self.budget.borrow_mut().note_repeat(Instant::now());
        self.pool.send(sent, &self.scheme, idle_max).await
    }

    /// Turns an answer of the upstream into what is relayed.
    fn judge(
        &self,
        request: &RelayRequest,
        answer: WholeAnswer,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        let head = &answer.head;
        if head.is_not_run || head.status == MISDIRECTED {
            self.log
                .upstream_failed(&request.id, "rejected", &head.status.to_string());
            return RelayResult::Refused(RelayRefusal {
                reason: match head.status {
                    MISDIRECTED => RefusalReason::NoInstance,
                    _ => RefusalReason::Overload,
                },
                reach: RequestReach::Rejected,
                retry_ms: 0,
                is_below: false,
            });
        }
        let is_success = head.status < 300;
        if head.is_encoded || (is_success && !head.is_signed) {
            self.log
                .upstream_failed(&request.id, "broken", "encoded or unsigned");
            return unknown(RefusalReason::BrokenAnswer);
        }
        let answer = RelayAnswer {
            status: head.status,
            fields: head.fields.clone(),
            body: answer.body,
        };
        if !answer.is_failure() {
            self.suspects.borrow_mut().finished(fingerprint);
        }
        RelayResult::Answered(answer)
    }

    /// Handles an exchange that failed: the upstream may have crashed while it ran the request.
    async fn lost(
        &self,
        request: &RelayRequest,
        fault: &ExchangeFault,
        fingerprint: RequestFingerprint,
    ) -> RelayResult {
        self.log
            .upstream_failed(&request.id, "exchange", &format!("{fault:?}"));
        let may_be_crash = matches!(fault, ExchangeFault::Broken(_) | ExchangeFault::ClosedEarly);
        if may_be_crash && self.own.look_after_break().await {
            let report = self
                .suspects
                .borrow_mut()
                .crashed(Instant::now(), fingerprint);
            tracing::warn!(
                event = events::CRASH_COUNTED,
                request = %request.id, fingerprint, crashes = report.crashes,
                "upstream: crashed while it ran the request"
            );
        }
        match fault {
            ExchangeFault::NoAnswer => unknown(RefusalReason::BrokenAnswer),
            _ => unknown(RefusalReason::ConnectionLost),
        }
    }

    fn sent_request(
        &self,
        request: &RelayRequest,
        expected: &str,
        deadline: Instant,
    ) -> SentRequest {
        let left = deadline.saturating_duration_since(Instant::now());
        sent_head::sent_request(&self.scheme, request, expected, left)
    }
}

/// Fingerprint by which all nodes recognise a request that is sent again.
#[must_use]
pub fn fingerprint_of(request: &RelayRequest) -> RequestFingerprint {
    let RelayRequest {
        origin,
        method,
        target,
        body,
        ..
    } = request;
    fingerprint::of_request(None, origin, method, target, body)
}

const fn budget_rules(repeats: RepeatSettings) -> BudgetRules {
    BudgetRules {
        ratio: repeats.ratio,
        slack: repeats.slack,
        window: repeats.window,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_slots(slots: u32) -> u32 {
    ((f64::from(slots) * SLOTS_SHARE) as u32).max(1)
}
