//! Order of retries that compete for a budget.

use lagoonshore_coordination::forwarding::retry_priority::RetryPriority;
use lagoonshore_state::units::RequestImportance;

fn rank(importance: RequestImportance, calls_left: u32) -> usize {
    RetryPriority {
        importance,
        calls_before: Some(0),
        calls_left: Some(calls_left),
    }
    .rank()
}

fn of_account(account: u8, route: u8) -> RequestImportance {
    RequestImportance::of_account(RequestImportance(account), RequestImportance(route))
}

/// Retries of all accounts of one rank used to share one level, whatever their routes.
#[test]
fn routes_are_told_apart_within_a_rank_of_accounts() {
    let in_order = [
        rank(of_account(0, 3), 1),
        rank(of_account(1, 0), 1),
        rank(of_account(1, 0), 4),
        rank(of_account(1, 1), 1),
        rank(of_account(1, 2), 1),
        rank(of_account(2, 0), 1),
    ];
    assert!(
        in_order.is_sorted_by(|left, right| left > right),
        "{in_order:?}"
    );
}

#[test]
fn routes_are_told_apart_without_accounts() {
    let ranks: Vec<usize> = (0..4)
        .map(|route| rank(RequestImportance(route), 1))
        .collect();
    assert!(ranks.is_sorted_by(|left, right| left > right), "{ranks:?}");
}
