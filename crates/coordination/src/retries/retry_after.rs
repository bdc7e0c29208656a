//! The time after which a refused caller may try again.

use crate::request::outcome::RefusalReason;

use rand::{Rng, RngCore};
use std::time::Duration;

/// Range of the jitter that is added, in whole seconds, so that refused callers do not come back
/// in step.
const JITTER_SECONDS_MAX: u64 = 2;

/// Whole seconds for `Retry-After` (RFC 9110, section 10.2.3); `None` where trying again cannot
/// help.
pub fn delay(reason: RefusalReason, random: &mut dyn RngCore) -> Option<Duration> {
    let shortest = reason.retry_after()?;
    let jitter = random.random_range(0..=JITTER_SECONDS_MAX);
    Some(shortest + Duration::from_secs(jitter))
}
