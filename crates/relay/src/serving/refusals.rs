//! Replies that stand in place of an answer.

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{DeliveryStatus, RelayRefusal, RelayResult};
use lagoonshore_state::units::whole_millis;
use std::time::Duration;

/// Time after which a caller may come back to an upstream that is down or leaving.
pub(crate) const AWAY_RETRY: Duration = Duration::from_millis(300);

/// Refuses a request of which no byte was sent.
pub(crate) fn refused(reason: RefusalReason, retry: Duration) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: DeliveryStatus::Unsent,
        retry_ms: whole_millis(retry),
        is_below: false,
    })
}

/// Refuses a request because calls like those that it would make are not served in time.
pub(crate) fn full_below(retry: Duration) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason: RefusalReason::Overload,
        reach: DeliveryStatus::Unsent,
        retry_ms: whole_millis(retry),
        is_below: true,
    })
}

/// Says of a request that was sent that it may have run.
pub(crate) const fn unknown(reason: RefusalReason) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: DeliveryStatus::Unknown,
        retry_ms: 0,
        is_below: false,
    })
}
