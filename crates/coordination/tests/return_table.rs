//! Which requests are recognised as the returns of callers that were refused.

use lagoonshore_coordination::forwarding::return_table::{RefusedAttempt, ReturnTable};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const REQUEST: u64 = 7;
const RETRY_AFTER: Duration = Duration::from_millis(300);
const TIME_LIMIT: Duration = Duration::from_secs(6);

fn refused(now: Instant) -> RefusedAttempt {
    RefusedAttempt {
        first_received: now,
        caller_deadline: now + TIME_LIMIT,
        retry_after: RETRY_AFTER,
    }
}

#[rstest]
#[case::when_due(REQUEST, 300, TIME_LIMIT, true)]
#[case::a_little_early(REQUEST, 296, TIME_LIMIT, true)]
#[case::a_little_later(REQUEST, 900, TIME_LIMIT, true)]
#[case::another_caller_before(REQUEST, 100, TIME_LIMIT, false)]
#[case::another_caller_with_more_time(REQUEST, 300, TIME_LIMIT + RETRY_AFTER, false)]
#[case::another_caller_with_less_time(REQUEST, 300, TIME_LIMIT / 2, false)]
#[case::another_request(REQUEST + 1, 300, TIME_LIMIT, false)]
#[case::overdue(REQUEST, 1400, TIME_LIMIT, false)]
fn a_return_is_recognised_when_it_is_due(
    #[case] request: u64,
    #[case] after_ms: u64,
    #[case] deadline_after: Duration,
    #[case] is_return: bool,
) {
    let start = Instant::now();
    let mut table = ReturnTable::default();
    assert!(table.is_empty(start));
    table.record_refusal(start, REQUEST, refused(start));
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(
        table.take_return(now, request, start + deadline_after),
        is_return.then_some(start),
        "after {after_ms} ms"
    );
}

#[test]
fn each_return_is_recognised_once() {
    let start = Instant::now();
    let later = start + Duration::from_millis(20);
    let mut table = ReturnTable::default();
    table.record_refusal(start, REQUEST, refused(start));
    table.record_refusal(later, REQUEST, refused(later));
    let now = later + RETRY_AFTER;
    assert_eq!(
        table.take_return(now, REQUEST, start + TIME_LIMIT),
        Some(start)
    );
    assert_eq!(
        table.take_return(now, REQUEST, start + TIME_LIMIT),
        Some(later)
    );
    assert_eq!(table.take_return(now, REQUEST, start + TIME_LIMIT), None);
}

/// Callers wait a third of the time that they have left at most.
#[test]
fn a_caller_with_little_time_returns_sooner_than_it_was_told() {
    let start = Instant::now();
    let mut table = ReturnTable::default();
    let attempt = RefusedAttempt {
        caller_deadline: start + RETRY_AFTER,
        ..refused(start)
    };
    table.record_refusal(start, REQUEST, attempt);
    let now = start + RETRY_AFTER / 3;
    assert_eq!(
        table.take_return(now, REQUEST, attempt.caller_deadline),
        Some(start)
    );
}

#[test]
fn a_surge_of_refusals_leaves_nothing_behind() {
    let start = Instant::now();
    let mut table = ReturnTable::default();
    for request in 0..100_000 {
        table.record_refusal(start, request, refused(start));
    }
    assert!(!table.is_empty(start + RETRY_AFTER));
    assert!(table.is_empty(start + Duration::from_secs(2)));
}
