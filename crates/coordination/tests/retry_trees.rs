//! Retries of chains of calls while a service at their end rejects a large share of what arrives.
//!
//! The load: chains of two levels of importance, each with several calls to one service one after
//! the other. After a calm time the service rejects a share of all attempts for some seconds. What
//! is checked is how many callers get a complete response.

use lagoonshore_coordination::forwarding::{
    arrival_budget::ArrivalBudget, retry_priority::RetryPriority, retry_quota::RetryQuota,
};
use lagoonshore_state::units::RequestImportance;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(20);
/// Ticks without rejections before the others.
const CALM_TICKS: u32 = 1000;
/// Attempts of a call at most.
const ATTEMPTS_MAX: u32 = 7;
/// Chains of each class that begin in one tick.
const IMPORTANT_PER_TICK: u32 = 1;
const ORDINARY_PER_TICK: u32 = 3;

/// How retries are ordered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RetryOrder {
    Arrival,
    Priority,
}

/// Load of one test.
#[derive(Clone, Copy)]
struct ChainLoad {
    calls: u32,
    rejected_share: f64,
    seconds: u32,
    counts_earlier: bool,
    /// Whether the node that keeps the budget restarts in the middle of the spell.
    restarts: bool,
}

/// Shares of the chains that completed while the service rejected attempts.
#[derive(Clone, Copy, Debug)]
struct ServedShares {
    important: f64,
    ordinary: f64,
}

impl ServedShares {
    fn all(self) -> f64 {
        let (important, ordinary) = (f64::from(IMPORTANT_PER_TICK), f64::from(ORDINARY_PER_TICK));
        (self.important * important + self.ordinary * ordinary) / (important + ordinary)
    }
}

fn priority(order: RetryOrder, importance: u8, calls_before: u32, calls: u32) -> RetryPriority {
    match order {
        RetryOrder::Arrival => RetryPriority {
            importance: RequestImportance(0),
            calls_before: None,
            calls_left: None,
        },
        RetryOrder::Priority => RetryPriority {
            importance: RequestImportance(importance),
            calls_before: Some(calls_before),
            calls_left: Some(calls - calls_before),
        },
    }
}

/// Plays the load through the budget of a service with one upstream.
fn play(load: ChainLoad, order: RetryOrder) -> ServedShares {
    let mut random = SmallRng::seed_from_u64(11);
    let start = Instant::now();
    let quota = RetryQuota {
        ratio: 0.2,
        slack: 10.0,
        window: WINDOW,
        counts_earlier: load.counts_earlier,
    };
    let mut budget = ArrivalBudget::new(start - WINDOW, quota);
    let mut run_chain =
        |budget: &mut ArrivalBudget, now: Instant, importance: u8, rejected_share: f64| {
            (0..load.calls).all(|calls_before| {
                budget.record_request(now);
                let mut attempts = 1;
                while random.random_bool(rejected_share) {
                    let priority = priority(order, importance, calls_before, load.calls);
                    if attempts == ATTEMPTS_MAX || !budget.spend(now, priority) {
                        return false;
                    }
                    attempts += 1;
                }
                true
            })
        };
    let ticks = load.seconds * 50;
    let mut served = (0, 0);
    for tick in 0..CALM_TICKS + ticks {
        let now = start + TICK * tick;
        let is_calm = tick < CALM_TICKS;
        if load.restarts && tick == CALM_TICKS + ticks / 2 {
            budget = ArrivalBudget::new(now, quota);
        }
        let share = if is_calm { 0.0 } else { load.rejected_share };
        for _ in 0..IMPORTANT_PER_TICK {
            served.0 += u32::from(run_chain(&mut budget, now, 0, share) && !is_calm);
        }
        for _ in 0..ORDINARY_PER_TICK {
            served.1 += u32::from(run_chain(&mut budget, now, 2, share) && !is_calm);
        }
    }
    ServedShares {
        important: f64::from(served.0) / f64::from(ticks * IMPORTANT_PER_TICK),
        ordinary: f64::from(served.1) / f64::from(ticks * ORDINARY_PER_TICK),
    }
}

/// Important chains complete first, and no fewer chains complete in total.
#[rstest]
#[case(0.3, 4)]
#[case(0.3, 8)]
#[case(0.55, 4)]
#[case(0.55, 8)]
#[case(0.8, 4)]
#[case(0.8, 8)]
fn important_chains_complete_first(#[case] rejected_share: f64, #[case] calls: u32) {
    let load = ChainLoad {
        calls,
        rejected_share,
        seconds: 8,
        counts_earlier: true,
        restarts: false,
    };
    let (arrival, ordered) = (
        play(load, RetryOrder::Arrival),
        play(load, RetryOrder::Priority),
    );
    let shares = format!("{arrival:.3?} {ordered:.3?}");
    assert!(ordered.important > 1.5 * arrival.important, "{shares}");
    assert!(ordered.important > ordered.ordinary, "{shares}");
    assert!(ordered.all() > 0.95 * arrival.all(), "{shares}");
}

/// A service whose requests fall because their chains fail keeps the quota of the requests before.
#[test]
fn requests_of_earlier_windows_keep_chains_going() {
    let load = |counts_earlier| ChainLoad {
        calls: 4,
        rejected_share: 0.55,
        seconds: 8,
        counts_earlier,
        restarts: false,
    };
    let recent = play(load(false), RetryOrder::Priority);
    let earlier = play(load(true), RetryOrder::Priority);
    assert!(
        earlier.important > 1.1 * recent.important,
        "{recent:?} {earlier:?}"
    );
}

/// A short spell of rejections costs the ordinary chains little: the budget is not kept for later
/// while nobody else asks for it.
#[test]
fn a_short_spell_costs_ordinary_chains_little() {
    let load = ChainLoad {
        calls: 4,
        rejected_share: 0.3,
        seconds: 1,
        counts_earlier: true,
        restarts: false,
    };
    let ordered = play(load, RetryOrder::Priority);
    assert!(
        ordered.important > 0.98 && ordered.ordinary > 0.9,
        "{ordered:?}"
    );
}

/// A node that loses its counts in the middle has fewer retries left, and still gives them to the
/// important chains.
#[test]
fn a_restarted_node_keeps_the_order() {
    let load = ChainLoad {
        calls: 4,
        rejected_share: 0.55,
        seconds: 8,
        counts_earlier: true,
        restarts: true,
    };
    let (arrival, ordered) = (
        play(load, RetryOrder::Arrival),
        play(load, RetryOrder::Priority),
    );
    assert!(
        ordered.important > 1.5 * arrival.important,
        "{arrival:?} {ordered:?}"
    );
}
