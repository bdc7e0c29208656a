//! The wait of admitted requests for a slot of the local upstream.

use super::{
    local_upstream::LocalUpstream,
    refusals::refusal,
    slot_limiter::{SlotLimiter, SlotPermit},
};

use crate::{relay_metrics, stable_hash};

use lagoonshore_coordination::{
    forwarding::slot_queue::{SlotRank, SlotRequest},
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{RelayRequest, RelayResult};
use lagoonshore_settings::ControlMode;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time before the deadline at which a request leaves the queue unsent, so that its sender still
/// learns that it has not run.
const REPLY_TIME: Duration = Duration::from_millis(20);

/// `SlotGate` gives slots to admitted requests.
pub(crate) struct SlotGate {
    control: ControlMode,
    limiter: SlotLimiter,
    upstream: Rc<LocalUpstream>,
}

impl SlotGate {
    pub(crate) const fn new(
        control: ControlMode,
        limiter: SlotLimiter,
        upstream: Rc<LocalUpstream>,
    ) -> Self {
        Self {
            control,
            limiter,
            upstream,
        }
    }

    /// Waits for a slot; `None` if the node forwards everything without one.
    ///
    /// # Errors
    /// The refusal of a request that gets no slot in time.
    pub(crate) async fn acquire(
        &self,
        request: &RelayRequest,
        deadline: Instant,
    ) -> Result<Option<SlotPermit>, RelayResult> {
        if self.control == ControlMode::PassThrough {
            return Ok(None);
        }
        if self.limiter.start_check() {
            actix_rt::spawn(Rc::clone(&self.upstream).check_announcements());
        }
        let started = Instant::now();
        let slot_request = slot_request(request, started, deadline);
        let permit = self.limiter.acquire(slot_request).await;
        relay_metrics::record_queue_wait(started.elapsed());
        permit
            .map(Some)
            .map_err(|retry_after| slot_refusal(deadline, retry_after))
    }
}

/// Rank and time limits of a request in the queue for slots.
fn slot_request(request: &RelayRequest, now: Instant, deadline: Instant) -> SlotRequest {
    let aim = now + Duration::from_millis(request.aim_ms.into());
    let deadline = deadline.checked_sub(REPLY_TIME).unwrap_or(deadline);
    let is_nested = request.is_nested();
    SlotRequest {
        rank: SlotRank {
            is_new: !is_nested,
            importance: request.importance,
        },
        route: request.route,
        account: request.account.as_deref().map(stable_hash::hash_name),
        finish_by: if is_nested {
            deadline
        } else {
            aim.min(deadline)
        },
        late_by: (request.is_returning && !is_nested).then_some(deadline),
        wait_max: Duration::from_millis(request.wait_ms.into()),
    }
}

/// Refusal of a request that got no slot. At the end of its time it has timed out; only an earlier
/// refusal counts as overload.
fn slot_refusal(deadline: Instant, retry_after: Duration) -> RelayResult {
    if deadline.saturating_duration_since(Instant::now()) <= REPLY_TIME {
        return refusal(RefusalReason::Timeout, Duration::ZERO);
    }
    refusal(RefusalReason::Overload, retry_after)
}
