//! Results that replace a response.

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{DeliveryStatus, RelayRefusal, RelayResult};
use lagoonshore_state::units::whole_millis;
use std::time::Duration;

/// Time after which a caller may retry when the upstream is down or draining.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a caller may retry when the node has no memory for the request.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refusal of a request of which no byte was sent to the upstream.
pub(crate) fn refusal(reason: RefusalReason, retry_after: Duration) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: DeliveryStatus::Unsent,
        retry_ms: whole_millis(retry_after),
        is_below: false,
    })
}

/// Refusal of a request because the nested calls of its route are not served in time.
pub(crate) fn nested_overload(retry_after: Duration) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason: RefusalReason::Overload,
        reach: DeliveryStatus::Unsent,
        retry_ms: whole_millis(retry_after),
        is_below: true,
    })
}

/// Result of a request that was sent and may have run.
pub(crate) const fn unknown_outcome(reason: RefusalReason) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: DeliveryStatus::Unknown,
        retry_ms: 0,
        is_below: false,
    })
}
