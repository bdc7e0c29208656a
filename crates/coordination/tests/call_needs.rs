//! Calls that the requests of a route need, and the order of retries that follows.

use lagoonshore_coordination::forwarding::{call_needs::CallNeeds, retry_priority::RetryPriority};
use lagoonshore_state::units::RequestImportance;
use rstest::rstest;

#[test]
fn the_need_of_a_route_follows_its_complete_runs() {
    let mut needs = CallNeeds::default();
    assert_eq!(needs.expected_calls(1), None);
    needs.record_run(1, 4);
    needs.record_run(2, 0);
    assert_eq!(
        (needs.expected_calls(1), needs.expected_calls(2)),
        (Some(4), Some(0))
    );
    for _ in 0..50 {
        needs.record_run(1, 8);
    }
    assert_eq!(needs.expected_calls(1), Some(8));
}

#[test]
fn the_number_of_tracked_routes_is_bounded() {
    let mut needs = CallNeeds::default();
    for route in 0..10_000 {
        needs.record_run(route, 1);
    }
    assert_eq!(needs.expected_calls(0), None);
    assert_eq!(needs.expected_calls(9_999), Some(1));
}

fn priority(importance: u8, calls_before: Option<u32>, calls_left: Option<u32>) -> RetryPriority {
    RetryPriority {
        importance: RequestImportance(importance),
        calls_before,
        calls_left,
    }
}

/// The first priority must rank above the second.
#[rstest]
#[case::importance_first(priority(0, Some(0), Some(20)), priority(1, Some(7), Some(1)))]
#[case::all_levels(priority(1, Some(0), Some(4)), priority(2, None, None))]
#[case::fewer_calls_left(priority(1, Some(2), Some(2)), priority(1, Some(2), Some(6)))]
#[case::unknown_need(priority(1, Some(3), None), priority(1, Some(1), None))]
#[case::without_parent(priority(1, None, None), priority(1, Some(0), Some(4)))]
fn retries_rank_by_importance_and_then_by_the_calls_left(
    #[case] higher: RetryPriority,
    #[case] lower: RetryPriority,
) {
    assert!(higher.rank() > lower.rank(), "{higher:?} {lower:?}");
}
