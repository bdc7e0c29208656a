//! Decides which requests the own upstream runs, and when.

use super::{
    entry_gate::{EntryGate, EntryMark, RunSummary},
    own_upstream::OwnUpstream,
    refusals::{AWAY_RETRY, full_below, refused},
    retry_gate::RetryGate,
    running_table::{CallSum, RunningRequest, RunningTable},
    slot_limiter::{SlotLimiter, SlotPermit},
    suspect_tracker::{self, SuspectTracker},
    upstream_exchange::UpstreamExchange,
};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    decision_log::DecisionLog,
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::pool::ConnectionPool,
    relay_metrics,
};

use lagoonshore_coordination::{
    forwarding::slot_queue::{SlotRank, SlotRequest},
    protection::{fingerprint::RequestFingerprint, suspects::SuspectReport},
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayReply, RelayRequest, RelayResult};
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::{ids::ServiceName, units::whole_millis};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Slots that are assumed until the upstream is listed.
const SLOTS_UNLISTED: u32 = 8;
/// Share of the listed slots that are used: some upstreams slow down when they are nearly full.
const SLOTS_SHARE: f64 = 0.95;
/// Crashes after which a request is not run any more.
const CRASHES_MAX: u8 = 3;
/// Requests of one kind, running and waiting, in multiples of the slots.
const PACE_SLOTS: u32 = 3;

/// `UpstreamServer` runs requests on the upstream beside the node.
pub struct UpstreamServer {
    directory: Rc<FleetDirectory>,
    control: ControlMode,
    service: ServiceName,
    gate: SlotLimiter,
    pool: Rc<ConnectionPool>,
    own: Rc<OwnUpstream>,
    suspects: Rc<SuspectTracker>,
    entry: EntryGate,
    repeats: Rc<RetryGate>,
    exchange: UpstreamExchange,
    running_table: Rc<RunningTable>,
    is_leaving: Cell<bool>,
    is_closed: Cell<bool>,
    running: ActiveCount,
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
        let own = OwnUpstream::new(settings, scheme, Rc::clone(&directory), Rc::clone(&pool));
        let own = Rc::new(own);
        let suspects = Rc::<SuspectTracker>::default();
        let repeats = Rc::new(RetryGate::new(settings, Rc::clone(&log)));
        let exchange = UpstreamExchange {
            scheme,
            pool: Rc::clone(&pool),
            own: Rc::clone(&own),
            suspects: Rc::clone(&suspects),
            repeats: Rc::clone(&repeats),
            log,
        };
        Self {
            directory,
            control: settings.control,
            service: settings.service.clone(),
            gate: SlotLimiter::new(SLOTS_UNLISTED),
            pool,
            own,
            suspects,
            entry: EntryGate::default(),
            repeats,
            exchange,
            running_table: Rc::default(),
            is_leaving: Cell::new(false),
            is_closed: Cell::new(false),
            running: ActiveCount::default(),
        }
    }

    /// Takes over the slots that the list gives the own upstream.
    pub fn apply_upstream_list(&self) {
        if let Some(slots) = self.directory.own_slots() {
            self.gate.set_limit(usable_slots(slots));
        }
        let instances = self.directory.instances();
        let count = instances.of_service(&self.service).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.repeats.set_upstreams(count);
    }

    /// Takes over changed bounds on repeats.
    pub fn set_retry_settings(&self, repeats: RetrySettings) {
        self.repeats.set_retry_settings(repeats);
    }

    /// Tells other nodes that the node is leaving.
    pub fn start_draining(&self) {
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
    pub const fn running_table(&self) -> &Rc<RunningTable> {
        &self.running_table
    }

    /// State of the node, as its replies tell it.
    #[must_use]
    pub fn node_status(&self) -> NodeStatus {
        let load = self.gate.load();
        NodeStatus {
            in_use: load.in_use,
            limit: load.limit,
            queued: load.queued,
            is_leaving: self.is_leaving.get(),
            version: self.directory.version(),
            revision: self.directory.revision(),
        }
    }

    /// What the node holds against requests.
    #[must_use]
    pub const fn suspects(&self) -> &Rc<SuspectTracker> {
        &self.suspects
    }

    /// Runs a request that must be answered before `deadline`.
    pub async fn serve(&self, request: RelayRequest, deadline: Instant) -> RelayReply {
        let running = ActiveGuard::new(&self.running);
        let fingerprint = suspect_tracker::fingerprint_of(&request);
        let mut cost = CallSum::default();
        let result = self.run(request, deadline, fingerprint, &mut cost).await;
        drop(running);
        let suspect = self.suspects.report(fingerprint);
        RelayReply {
            result,
            news: self.node_status(),
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
            self.suspects.merge(&[report]);
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
        if self.suspects.crashes_of(fingerprint) >= CRASHES_MAX {
            return refused(RefusalReason::Quarantined, Duration::ZERO);
        }
        if !self.repeats.may_repeat(&request) {
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
        self.repeats.note_arrival(&request);
        let summary = RunSummary::of(&request);
        let running = RunningRequest {
            importance: request.importance,
            is_repeat: request.is_repeat,
            ..RunningRequest::default()
        };
        let entry = self.running_table.open(&request.id, running);
        let result = self
            .exchange
            .send(request, deadline, permit, fingerprint)
            .await;
        let below = entry.close();
        cost.wait += below.wait;
        cost.calls = below.calls;
        cost.trouble = below.trouble;
        self.entry.learn(&summary, below, &result);
        drop(mark);
        result
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
        let offer = SlotRequest {
            rank: SlotRank {
                is_new: !request.is_nested(),
                importance: request.importance,
            },
            route: request.kind,
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
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_slots(slots: u32) -> u32 {
    ((f64::from(slots) * SLOTS_SHARE) as u32).max(1)
}
