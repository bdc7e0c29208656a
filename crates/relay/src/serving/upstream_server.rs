//! Admission and execution of requests on the local upstream.

use super::{
    refusals::{UNAVAILABLE_RETRY_AFTER, refusal, unknown_outcome},
    request_admission::RequestAdmission,
    route_gate::RouteGate,
    run_records::RunRecords,
    running_table::{CallTotals, RunningTable},
    slot_gate::SlotGate,
    slot_limiter::SlotPermit,
    upstream_exchange::UpstreamExchange,
    upstream_parts::UpstreamParts,
};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    decision_log::DecisionLog,
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::memory_budget::MemoryBudget,
    lifecycle::request_cutoff::RequestCutoff,
    suspect_tracker::{self, SuspectTracker},
};

use lagoonshore_coordination::{
    protection::fingerprint::RequestFingerprint, request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayReply, RelayRequest, RelayResult};
use lagoonshore_settings::{RelaySettings, relay_settings::RetrySettings};
use lagoonshore_state::{
    ids::ServiceName,
    units::{whole_micros, whole_millis},
};
use std::{cell::Cell, rc::Rc};
use tokio::time::Instant;

/// Share of the listed slots that is used: some upstreams slow down when nearly all are in use.
const USABLE_SLOTS_SHARE: f64 = 0.95;
/// `UpstreamServer` runs requests on the local upstream.
pub struct UpstreamServer {
    directory: Rc<FleetDirectory>,
    service: ServiceName,
    parts: UpstreamParts,
    admission: RequestAdmission,
    slot_gate: SlotGate,
    exchange: UpstreamExchange,
    run_records: RunRecords,
    is_draining: Cell<bool>,
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
        let parts = UpstreamParts::new(settings, scheme, &directory, &log, budget);
        let route_gate = Rc::<RouteGate>::default();
        Self {
            service: settings.service.clone(),
            admission: parts.create_admission(settings, &directory, &route_gate),
            slot_gate: parts.create_slot_gate(settings),
            exchange: parts.create_exchange(scheme, log),
            run_records: RunRecords::new(route_gate),
            directory,
            parts,
            is_draining: Cell::new(false),
            running: ActiveCount::default(),
            cutoff: RequestCutoff::default(),
        }
    }

    /// Applies the upstream list: the slots of the local upstream, and the number of upstreams of
    /// its service.
    pub fn apply_upstream_list(&self) {
        if let Some(slots) = self.directory.local_slots() {
            self.parts
                .limiter
                .set_limit(usable_slots(slots).min(self.parts.connections_max));
        }
        let instances = self.directory.instances();
        let count = instances.of_service(&self.service).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        self.parts.retry_gate.set_upstream_count(count);
    }

    /// Applies changed retry settings.
    pub fn set_retry_settings(&self, retries: RetrySettings) {
        self.parts.retry_gate.set_retry_settings(retries);
    }

    /// Reports the node as draining to other nodes from now on.
    pub fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Makes every later request be refused.
    pub fn start_refusing(&self) {
        self.admission.start_refusing();
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
        self.parts.pool.opened()
    }

    /// Requests that the upstream is running; its calls are matched to them.
    #[must_use]
    pub const fn running_table(&self) -> &Rc<RunningTable> {
        self.run_records.running_table()
    }

    /// Status of the node, as sent with every reply.
    #[must_use]
    pub fn node_status(&self) -> NodeStatus {
        let usage = self.parts.limiter.usage();
        NodeStatus {
            in_use: usage.in_use,
            limit: usage.limit,
            queued: usage.queued,
            hold_micros: whole_micros(self.parts.limiter.mean_hold_time()),
            rate_wait_ms: whole_millis(self.parts.limiter.rate_wait()),
            is_leaving: self.is_draining.get(),
            version: self.directory.version(),
            revision: self.directory.versions().known_revision(),
        }
    }

    /// Returns whether the local upstream refuses connections.
    #[must_use]
    pub fn is_upstream_down(&self) -> bool {
        self.parts.upstream.is_down()
    }

    /// Suspect requests.
    #[must_use]
    pub const fn suspects(&self) -> &Rc<SuspectTracker> {
        &self.parts.suspects
    }

    /// Runs a request, whose response is of use only before `deadline`.
    pub async fn serve(&self, request: RelayRequest, deadline: Instant) -> RelayReply {
        let received = Instant::now();
        let route = request.route;
        let active = ActiveGuard::new(&self.running);
        self.directory.versions().record_known(request.revision);
        // A sender with an old list means the upstream that had this address before.
        if request.service == self.service {
            self.parts.announcements.record_request(&request);
        }
        let fingerprint = suspect_tracker::fingerprint_of(
            &request.origin,
            &request.method,
            &request.target,
            &request.body,
        );
        let mut totals = CallTotals::default();
        let result = self.run(request, deadline, fingerprint, &mut totals).await;
        let result = result.unwrap_or_else(|refused| refused);
        drop(active);
        let suspect = self.parts.suspects.report(fingerprint);
        RelayReply {
            result,
            status: self.node_status(),
            wait_ms: whole_millis(totals.wait),
            calls: totals.calls,
            worst_failure: totals.worst_failure,
            suspect,
            departed: self.parts.announcements.departed_run(),
            limit: self.parts.announcements.limit(),
            work_micros: self
                .parts
                .limiter
                .known_hold_time(route)
                .map_or(0, whole_micros),
            served_micros: whole_micros(received.elapsed()),
        }
    }

    /// Runs a request once it is admitted and has a slot.
    ///
    /// # Errors
    /// The refusal of a request that was not sent to the upstream.
    async fn run(
        &self,
        request: RelayRequest,
        deadline: Instant,
        fingerprint: RequestFingerprint,
        totals: &mut CallTotals,
    ) -> Result<RelayResult, RelayResult> {
        self.parts
            .suspects
            .merge_crashes(fingerprint, &request.crashes);
        let _admitted = self.admission.admit(&request, fingerprint)?;
        let queued_at = Instant::now();
        let permit = self.wait_for_slot(&request, deadline).await?;
        totals.wait = queued_at.elapsed();
        self.check_departure(&request)?;
        self.parts.retry_gate.record_arrival(&request);
        let run = self.run_records.start(&request);
        let result = tokio::select! {
            biased;
            result = self.exchange.send(request, deadline, permit, fingerprint) => result,
            () = self.cutoff.reached() => unknown_outcome(RefusalReason::Draining),
        };
        totals.add(run.finish(&result));
        Ok(result)
    }

    /// Waits for a slot, until the process is about to exit.
    async fn wait_for_slot(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<Option<SlotPermit>, RelayResult> {
        tokio::select! {
            biased;
            acquired = self.slot_gate.acquire(request, deadline) => acquired,
            () = self.cutoff.reached() => {
                Err(refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER))
            }
        }
    }

    /// Refuses a request whose upstream left while it waited; requests that are cut off free their
    /// slots for those that wait.
    fn check_departure(&self, request: &RelayRequest) -> Result<(), RelayResult> {
        if self.cutoff.is_reached() || self.parts.upstream.has_departed(&request.instance) {
            return Err(refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER));
        }
        Ok(())
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn usable_slots(slots: u32) -> u32 {
    ((f64::from(slots) * USABLE_SLOTS_SHARE) as u32).max(1)
}
