//! Choice of an instance among a few that are drawn by their free capacity.
//!
//! Each draw takes an instance with the probability of its part of the free capacity. An instance
//! therefore gets at most as many times its part as there are draws, however old the reports are, and
//! less and less as it fills: many senders that prefer the same instance do not flood it.

use super::{
    candidate_table::{CandidateTable, ScoredCandidate},
    urgency::{RequestTime, RequestUrgency},
};

use lagoonshore_state::instance_table::InstanceKey;
use rand::RngCore;

/// Draws for a request that has little time.
const SHORT_TIME_DRAWS: u32 = 4;
/// Draws for other requests (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
/// 2001).
const DRAWS: u32 = 2;
/// Ratio to the mean time of a run from which an instance counts as slow.
const SLOW_WORK_FACTOR: f64 = 1.2;

/// Chooses one of the drawable candidates; `None` if there is none.
pub fn choose(
    table: &CandidateTable,
    time: &RequestTime,
    urgency: RequestUrgency,
    random: &mut dyn RngCore,
) -> Option<InstanceKey> {
    let draws = match urgency {
        RequestUrgency::Short => SHORT_TIME_DRAWS,
        RequestUrgency::Usual | RequestUrgency::Spare => DRAWS,
    };
    let slow_seconds = SLOW_WORK_FACTOR * table.mean_work_seconds();
    let mut best = table.draw(random)?;
    for _ in 1..draws {
        let other = table.draw(random)?;
        let is_better = match urgency {
            RequestUrgency::Spare => is_preferred(other, best, time, slow_seconds),
            _ => other.completion_seconds < best.completion_seconds,
        };
        if is_better {
            best = other;
        }
    }
    Some(best.key)
}

/// Returns whether a request with time to spare goes to `left` rather than to `right`: to a slow
/// instance that completes it in time, or else to the earlier completion.
fn is_preferred(
    left: &ScoredCandidate,
    right: &ScoredCandidate,
    time: &RequestTime,
    slow_seconds: f64,
) -> bool {
    let is_filled = |candidate: &ScoredCandidate| {
        let is_slow = candidate
            .work_seconds
            .is_some_and(|work| work >= slow_seconds);
        is_slow && time.allows(candidate.completion_seconds)
    };
    match (is_filled(left), is_filled(right)) {
        (true, false) => true,
        (false, true) => false,
        _ => left.completion_seconds < right.completion_seconds,
    }
}
