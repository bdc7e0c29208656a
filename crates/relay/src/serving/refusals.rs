//! Replies that stand in place of an answer.

use lagoonshore_coordination::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{RelayRefusal, RelayResult, RequestReach};
use std::time::Duration;

/// Time after which a caller may come back when calls further down have to wait.
const PACE_RETRY: Duration = Duration::from_millis(250);

/// Refuses a request of which no byte was sent.
pub(crate) fn refused(reason: RefusalReason, retry: Duration) -> RelayResult {
    let retry_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: RequestReach::Unsent,
        retry_ms,
        is_below: false,
    })
}

/// Refuses a request because calls like those that it would make find no slots.
pub(crate) fn full_below() -> RelayResult {
    let retry_ms = u32::try_from(PACE_RETRY.as_millis()).unwrap_or(u32::MAX);
    RelayResult::Refused(RelayRefusal {
        reason: RefusalReason::Overload,
        reach: RequestReach::Unsent,
        retry_ms,
        is_below: true,
    })
}

/// Says of a request that was sent that it may have run.
pub(crate) const fn unknown(reason: RefusalReason) -> RelayResult {
    RelayResult::Refused(RelayRefusal {
        reason,
        reach: RequestReach::Unknown,
        retry_ms: 0,
        is_below: false,
    })
}
