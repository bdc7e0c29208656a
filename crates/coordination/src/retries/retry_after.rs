//! Time after which a refused caller may retry.

use crate::request::outcome::RefusalReason;

use rand::{Rng, RngCore};
use std::time::Duration;

/// Upper end of the jitter that is added, in whole seconds, so that refused callers do not retry in
/// step.
const JITTER_SECONDS_MAX: u64 = 2;

/// Delay for `Retry-After`, in whole seconds (RFC 9110, section 10.2.3); `None` if a retry cannot
/// succeed.
pub fn delay(reason: RefusalReason, random: &mut dyn RngCore) -> Option<Duration> {
    let shortest = reason.retry_after()?;
    let jitter = random.random_range(0..=JITTER_SECONDS_MAX);
    Some(shortest + Duration::from_secs(jitter))
}
