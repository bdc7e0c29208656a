//! Admission of requests before they wait for a slot of the local upstream.

use super::{
    local_upstream::LocalUpstream,
    refusals::{MEMORY_RETRY_AFTER, UNAVAILABLE_RETRY_AFTER, nested_overload, refusal},
    retry_gate::RetryGate,
    route_gate::{RouteGate, RoutePermit},
    slot_limiter::SlotLimiter,
};

use crate::{
    directory::FleetDirectory,
    suspect_tracker::{SuspectStatus, SuspectTracker, TrialGuard},
};

use lagoonshore_coordination::{
    protection::fingerprint::RequestFingerprint, request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{RelayRequest, RelayResult};
use lagoonshore_settings::ControlMode;
use lagoonshore_state::ids::ServiceName;
use std::{cell::Cell, rc::Rc, time::Duration};

/// Most requests of one route, running and waiting, in multiples of the slots.
const ROUTE_REQUESTS_PER_SLOT: u32 = 3;

/// `RequestAdmission` decides which requests may wait for a slot.
pub(crate) struct RequestAdmission {
    pub(crate) directory: Rc<FleetDirectory>,
    pub(crate) control: ControlMode,
    pub(crate) service: ServiceName,
    pub(crate) limiter: SlotLimiter,
    pub(crate) upstream: Rc<LocalUpstream>,
    pub(crate) suspects: Rc<SuspectTracker>,
    pub(crate) retry_gate: Rc<RetryGate>,
    pub(crate) route_gate: Rc<RouteGate>,
    pub(crate) is_refusing: Cell<bool>,
}

/// `AdmittedRequest` holds what an admitted request occupies until its end.
pub(crate) struct AdmittedRequest<'a> {
    _route_permit: Option<RoutePermit<'a>>,
    _trial: Option<TrialGuard>,
}

impl RequestAdmission {
    /// Makes every later request be refused.
    pub(crate) fn start_refusing(&self) {
        self.is_refusing.set(true);
    }

    /// Admits a request.
    ///
    /// # Errors
    /// The refusal of a request that may not run here now.
    pub(crate) fn admit(
        &self,
        request: &RelayRequest,
        fingerprint: RequestFingerprint,
    ) -> Result<AdmittedRequest<'_>, RelayResult> {
        self.check_message(request)?;
        self.check_upstream(request)?;
        let trial = self.admit_suspect(request, fingerprint)?;
        if !self.retry_gate.can_retry(request) {
            return Err(refusal(RefusalReason::RetryLimit, Duration::ZERO));
        }
        let route_permit = self.admit_route(request)?;
        Ok(AdmittedRequest {
            _route_permit: route_permit,
            _trial: trial,
        })
    }

    /// Refuses a request that did not arrive whole, or that is meant for another service.
    fn check_message(&self, request: &RelayRequest) -> Result<(), RelayResult> {
        if !request.is_whole() {
            return Err(refusal(RefusalReason::Overload, MEMORY_RETRY_AFTER));
        }
        // Without a document the calls of the run would find no routes.
        if self.directory.version() == 0 {
            return Err(refusal(RefusalReason::Starting, UNAVAILABLE_RETRY_AFTER));
        }
        // The sender's upstream list may predate the reuse of this address by another service.
        if request.service != self.service {
            return Err(refusal(RefusalReason::NoInstance, Duration::ZERO));
        }
        Ok(())
    }

    /// Refuses a request whose upstream is leaving or does not accept connections.
    fn check_upstream(&self, request: &RelayRequest) -> Result<(), RelayResult> {
        if self.is_refusing.get() || self.upstream.has_departed(&request.instance) {
            return Err(refusal(RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER));
        }
        if self.upstream.is_down() {
            let reason = RefusalReason::UpstreamUnreachable;
            return Err(refusal(reason, UNAVAILABLE_RETRY_AFTER));
        }
        Ok(())
    }

    /// Admits a request that is not quarantined. After its quarantine it runs once at a time, and only
    /// on the instance that all nodes choose for that.
    fn admit_suspect(
        &self,
        request: &RelayRequest,
        fingerprint: RequestFingerprint,
    ) -> Result<Option<TrialGuard>, RelayResult> {
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
        Err(refusal(RefusalReason::Quarantined, Duration::ZERO))
    }

    /// Admits a new request unless the nested calls of its route fail or are not served in time.
    fn admit_route(&self, request: &RelayRequest) -> Result<Option<RoutePermit<'_>>, RelayResult> {
        if request.is_nested() || self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        let limit_max = self
            .limiter
            .usage()
            .limit
            .saturating_mul(ROUTE_REQUESTS_PER_SLOT);
        let admitted = self.route_gate.admit(request, limit_max);
        admitted.map(Some).map_err(nested_overload)
    }
}
