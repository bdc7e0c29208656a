//! Whether a link is checked before a request is sent on it.
//!
//! The load that this answers: requests that may run only once, in a fleet in which each node sends
//! few requests to each other one. A node that has lost power or is cut off looks like one without
//! traffic, and a request that was sent to it cannot be sent again. In a small fleet earlier requests
//! on the same link reveal the loss; in a large one each sender would lose requests of its own.

use std::time::Duration;

/// Time after the last reply on a link in which the node at its other end counts as reachable.
const REPLY_VALID_TIME: Duration = Duration::from_millis(250);
/// Timeout of a check. It is longer than the pause of a node that has used up its processor share.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns whether a probe has to be answered before a request is sent on a link. `reply_age` is the
/// time since the last reply on it, `None` before the first one.
#[must_use]
pub fn is_needed(reply_age: Option<Duration>, may_run_twice: bool) -> bool {
    !may_run_twice && reply_age.is_none_or(|age| age > REPLY_VALID_TIME)
}
