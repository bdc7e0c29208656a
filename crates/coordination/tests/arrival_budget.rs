//! The budget of repeats at one upstream, and the bound of the fleet that follows from it.

use lagoonshore_coordination::forwarding::{
    arrival_budget::{ArrivalBudget, RetryPriority},
    retry_quota::RetryQuota,
};
use lagoonshore_state::units::RequestImportance;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use tokio::time::Instant;

const URGENT: RetryPriority = RetryPriority {
    importance: RequestImportance(0),
    calls_before: None,
};
const WINDOW: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(20);

const fn bound() -> RetryQuota {
    RetryQuota {
        ratio: 0.2,
        slack: 48.0,
        window: WINDOW,
    }
}

/// A budget that has been up for a window, of the only upstream of its service.
fn settled(now: Instant) -> ArrivalBudget {
    let mut budget = ArrivalBudget::new(now - WINDOW, bound());
    budget.set_upstreams(now - WINDOW, 1);
    budget
}

/// Claim of a call of common importance whose run had made `calls` before.
const fn call(calls: u32) -> RetryPriority {
    RetryPriority {
        importance: RequestImportance(2),
        calls_before: Some(calls),
    }
}

fn taken(budget: &mut ArrivalBudget, now: Instant, claim: RetryPriority) -> usize {
    (0..1000).take_while(|_| budget.spend(now, claim)).count()
}

#[test]
fn repeats_follow_the_requests_that_arrived() {
    let now = Instant::now();
    let mut budget = settled(now);
    for _ in 0..1000 {
        budget.record_request(now);
    }
    // 0.8 of 0.2 for each request and 48 more.
    assert_eq!(taken(&mut budget, now, URGENT), 198);
    let later = now + WINDOW * 2;
    assert_eq!(taken(&mut budget, later, URGENT), 38, "the slack is left");
}

#[test]
fn calls_of_repeated_runs_use_the_budget_up() {
    let now = Instant::now();
    let mut budget = settled(now);
    for _ in 0..38 {
        budget.record_retry(now);
    }
    assert!(!budget.spend(now, URGENT));
}

#[test]
fn a_process_that_starts_has_little_slack() {
    let now = Instant::now();
    let mut budget = ArrivalBudget::new(now, bound());
    assert_eq!(taken(&mut budget, now, URGENT), 7);
    assert_eq!(taken(&mut budget, now + WINDOW / 2, URGENT), 12);
}

#[test]
fn upstreams_that_left_keep_their_part_of_the_slack_for_a_window() {
    let now = Instant::now();
    let mut budget = settled(now);
    budget.set_upstreams(now, 4);
    budget.set_upstreams(now + TICK, 1);
    assert_eq!(taken(&mut budget, now + TICK * 2, URGENT), 9);
    assert_eq!(taken(&mut budget, now + WINDOW + TICK, URGENT), 29);
}

#[test]
fn what_higher_ranks_ask_for_is_left_for_them() {
    let now = Instant::now();
    let mut budget = settled(now);
    assert_eq!(taken(&mut budget, now, call(0)), 38, "nobody else asks");
    let mut budget = settled(now);
    for _ in 0..20 {
        assert!(budget.spend(now, call(2)));
    }
    for _ in 0..5 {
        assert!(budget.spend(now, URGENT));
    }
    assert_eq!(taken(&mut budget, now, call(0)), 13);
    assert!(!budget.spend(now, call(2)));
    assert!(!budget.spend(now, call(1)), "rank 2 asked for one more");
}

/// Runs of requests that make four calls each at a service that turns many calls away.
struct ShedLoad {
    served: u32,
    runs: u32,
}

/// Plays ten runs a tick for a minute; each call is turned away with the chance `shed` and asked for
/// at three instances at the most. Without an order, every call claims the budget like a last one.
fn play_shed(shed: f64, is_ordered: bool) -> ShedLoad {
    let mut random = SmallRng::seed_from_u64(5);
    let start = Instant::now();
    let mut budget = settled(start);
    let mut load = ShedLoad { served: 0, runs: 0 };
    for tick in 0..3000_u32 {
        let now = start + TICK * tick;
        for _ in 0..10 {
            load.runs += 1;
            let is_served = (0..4).all(|calls| {
                let claim = if is_ordered { call(calls) } else { call(9) };
                budget.record_request(now);
                let mut tries = 1;
                while random.random_bool(shed) {
                    if tries == 3 || !budget.spend(now, claim) {
                        return false;
                    }
                    tries += 1;
                }
                true
            });
            load.served += u32::from(is_served);
        }
    }
    load
}

#[test]
fn more_runs_are_served_where_late_calls_go_first() {
    let (ordered, plain) = (play_shed(0.45, true), play_shed(0.45, false));
    assert_eq!(ordered.runs, plain.runs);
    let gain = f64::from(ordered.served) / f64::from(plain.served);
    assert!(gain > 1.05, "{} and {}", ordered.served, plain.served);
    let (ordered, plain) = (play_shed(0.1, true), play_shed(0.1, false));
    let loss = f64::from(ordered.served) / f64::from(plain.served);
    assert!(
        loss > 0.97,
        "little is turned away: {} and {}",
        ordered.served,
        plain.served
    );
}

/// One upstream of a service, with the node beside it.
struct PlayedNode {
    budget: ArrivalBudget,
    rate: u32,
}

/// Requests and repeats come to the upstreams of a service as unevenly as may be; nodes restart and
/// forget. The service never gets more repeats than its bound, in any window.
#[test]
fn a_service_stays_within_its_bound_in_every_window() {
    for seed in 0..8 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut nodes: Vec<PlayedNode> = (0..4)
            .map(|_| {
                let mut budget = ArrivalBudget::new(start, bound());
                budget.set_upstreams(start, 4);
                PlayedNode { budget, rate: 0 }
            })
            .collect();
        let mut arrivals: Vec<(u32, u32)> = Vec::new();
        for tick in 0..3000_u32 {
            let now = start + TICK * tick;
            if tick % 100 == 0 {
                for node in &mut nodes {
                    node.rate = random.random_range(0..20);
                }
            }
            let is_herd = tick == 1500;
            let one = random.random_bool(0.002).then(|| random.random_range(0..4));
            for (index, node) in nodes.iter_mut().enumerate() {
                if is_herd || one == Some(index) {
                    node.budget = ArrivalBudget::new(now, bound());
                    node.budget.set_upstreams(now, 4);
                }
            }
            let (mut requests, mut repeats) = (0, 0);
            for node in &mut nodes {
                for _ in 0..node.rate {
                    node.budget.record_request(now);
                    requests += 1;
                }
                while node.budget.spend(now, URGENT) {
                    repeats += 1;
                }
            }
            arrivals.push((requests, repeats));
        }
        assert_bound(&arrivals, seed);
    }
}

fn assert_bound(arrivals: &[(u32, u32)], seed: u64) {
    let ticks = usize::try_from(WINDOW.as_millis() / TICK.as_millis()).expect("a small number");
    let mut most = 0.0_f64;
    for end in ticks..arrivals.len() {
        let window = &arrivals[end - ticks..end];
        let (requests, repeats) = window
            .iter()
            .fold((0, 0), |sum, tick| (sum.0 + tick.0, sum.1 + tick.1));
        let bound = 0.2 * f64::from(requests) + 48.0;
        most = most.max(f64::from(repeats) / bound);
        assert!(
            f64::from(repeats) <= bound,
            "seed {seed}: {repeats} repeats, {bound} allowed"
        );
    }
    assert!(most > 0.6, "seed {seed}: the bound is used, {most}");
}
