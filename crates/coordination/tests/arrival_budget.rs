//! Budget of the retries at one upstream, and the quota of the fleet that follows from it.

use lagoonshore_coordination::forwarding::{
    arrival_budget::ArrivalBudget, retry_priority::RetryPriority, retry_quota::RetryQuota,
};
use lagoonshore_state::units::RequestImportance;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use tokio::time::Instant;

const MOST_IMPORTANT: RetryPriority = RetryPriority {
    importance: RequestImportance(0),
    calls_before: None,
    calls_left: None,
};
const WINDOW: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(20);

const fn quota() -> RetryQuota {
    RetryQuota {
        ratio: 0.2,
        slack: 48.0,
        window: WINDOW,
        counts_earlier: false,
    }
}

/// A budget of the only upstream of its service, after one window of uptime.
fn warm_budget(now: Instant) -> ArrivalBudget {
    let mut budget = ArrivalBudget::new(now - WINDOW, quota());
    budget.set_upstreams(now - WINDOW, 1);
    budget
}

/// Priority of a call of ordinary importance whose parent request had made `calls` calls before.
const fn call(calls: u32) -> RetryPriority {
    RetryPriority {
        importance: RequestImportance(2),
        calls_before: Some(calls),
        calls_left: None,
    }
}

fn spend_all(budget: &mut ArrivalBudget, now: Instant, priority: RetryPriority) -> usize {
    (0..1000)
        .take_while(|_| budget.spend(now, priority))
        .count()
}

#[test]
fn retries_follow_the_requests_that_arrived() {
    let now = Instant::now();
    let mut budget = warm_budget(now);
    for _ in 0..1000 {
        budget.record_request(now);
    }
    // 0.8 * (0.2 * 1000 + 48), rounded down.
    assert_eq!(spend_all(&mut budget, now, MOST_IMPORTANT), 198);
    let later = now + WINDOW * 2;
    assert_eq!(
        spend_all(&mut budget, later, MOST_IMPORTANT),
        38,
        "only the slack is left"
    );
}

#[test]
fn calls_of_retried_requests_use_up_the_budget() {
    let now = Instant::now();
    let mut budget = warm_budget(now);
    for _ in 0..38 {
        budget.record_retry(now);
    }
    assert!(!budget.spend(now, MOST_IMPORTANT));
}

#[test]
fn a_new_process_has_little_slack() {
    let now = Instant::now();
    let mut budget = ArrivalBudget::new(now, quota());
    assert_eq!(spend_all(&mut budget, now, MOST_IMPORTANT), 7);
    assert_eq!(spend_all(&mut budget, now + WINDOW / 2, MOST_IMPORTANT), 12);
}

#[test]
fn upstreams_that_left_keep_their_share_of_the_slack_for_a_window() {
    let now = Instant::now();
    let mut budget = warm_budget(now);
    budget.set_upstreams(now, 4);
    budget.set_upstreams(now + TICK, 1);
    assert_eq!(spend_all(&mut budget, now + TICK * 2, MOST_IMPORTANT), 9);
    assert_eq!(
        spend_all(&mut budget, now + WINDOW + TICK, MOST_IMPORTANT),
        29
    );
}

#[test]
fn retries_that_higher_ranks_ask_for_are_reserved() {
    let now = Instant::now();
    let mut budget = warm_budget(now);
    assert_eq!(
        spend_all(&mut budget, now, call(0)),
        38,
        "no other rank asks"
    );
    let mut budget = warm_budget(now);
    for _ in 0..20 {
        assert!(budget.spend(now, call(2)));
    }
    for _ in 0..5 {
        assert!(budget.spend(now, MOST_IMPORTANT));
    }
    assert_eq!(spend_all(&mut budget, now, call(0)), 13);
    assert!(!budget.spend(now, call(2)));
    assert!(!budget.spend(now, call(1)), "rank 2 asked for one more");
}

/// Requests that make four calls each to a service that sheds many of them.
struct ShedCounts {
    served: u32,
    requests: u32,
}

/// Simulates ten requests per tick for a minute. Each call is shed with probability `shed_rate` and
/// is attempted at three instances at most. Without an order, every call has the priority of a last
/// one.
fn simulate_shedding(shed_rate: f64, is_ordered: bool) -> ShedCounts {
    let mut random = SmallRng::seed_from_u64(5);
    let start = Instant::now();
    let mut budget = warm_budget(start);
    let mut counts = ShedCounts {
        served: 0,
        requests: 0,
    };
    for tick in 0..3000_u32 {
        let now = start + TICK * tick;
        for _ in 0..10 {
            counts.requests += 1;
            let is_served = (0..4).all(|calls| {
                let priority = if is_ordered { call(calls) } else { call(9) };
                budget.record_request(now);
                let mut attempts = 1;
                while random.random_bool(shed_rate) {
                    if attempts == 3 || !budget.spend(now, priority) {
                        return false;
                    }
                    attempts += 1;
                }
                true
            });
            counts.served += u32::from(is_served);
        }
    }
    counts
}

#[test]
fn more_requests_are_served_when_late_calls_rank_higher() {
    let (ordered, unordered) = (
        simulate_shedding(0.45, true),
        simulate_shedding(0.45, false),
    );
    assert_eq!(ordered.requests, unordered.requests);
    let gain = f64::from(ordered.served) / f64::from(unordered.served);
    assert!(gain > 1.05, "{} and {}", ordered.served, unordered.served);
    let (ordered, unordered) = (simulate_shedding(0.1, true), simulate_shedding(0.1, false));
    let loss = f64::from(ordered.served) / f64::from(unordered.served);
    assert!(
        loss > 0.97,
        "few calls are shed: {} and {}",
        ordered.served,
        unordered.served
    );
}

/// One upstream of a service, with the budget of the node beside it.
struct SimulatedNode {
    budget: ArrivalBudget,
    rate: u32,
}

impl SimulatedNode {
    fn new(now: Instant, quota: RetryQuota) -> Self {
        let mut budget = ArrivalBudget::new(now, quota);
        budget.set_upstreams(now, 4);
        Self { budget, rate: 0 }
    }

    /// Starts again without its counts.
    fn restart(&mut self, now: Instant, quota: RetryQuota) {
        let rate = self.rate;
        *self = Self {
            rate,
            ..Self::new(now, quota)
        };
    }
}

/// Takes the requests of one tick at each node, and as many retries as are allowed; returns both counts.
fn play_tick(nodes: &mut [SimulatedNode], now: Instant) -> (u32, u32) {
    let (mut requests, mut retries) = (0, 0);
    for node in nodes {
        for _ in 0..node.rate {
            node.budget.record_request(now);
            requests += 1;
        }
        while node.budget.spend(now, MOST_IMPORTANT) {
            retries += 1;
        }
    }
    (requests, retries)
}

/// Guards against a service that gets more retries than its quota in any window while requests and
/// retries arrive at its upstreams unevenly, and nodes restart and lose their counts.
#[test]
fn a_service_stays_within_its_quota_in_every_window() {
    for seed in 0..8 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut nodes: Vec<SimulatedNode> =
            (0..4).map(|_| SimulatedNode::new(start, quota())).collect();
        let mut arrivals: Vec<(u32, u32)> = Vec::new();
        for tick in 0..3000_u32 {
            let now = start + TICK * tick;
            if tick % 100 == 0 {
                for node in &mut nodes {
                    node.rate = random.random_range(0..20);
                }
            }
            let is_mass_restart = tick == 1500;
            let restarted = random.random_bool(0.002).then(|| random.random_range(0..4));
            for (index, node) in nodes.iter_mut().enumerate() {
                if is_mass_restart || restarted == Some(index) {
                    node.restart(now, quota());
                }
            }
            arrivals.push(play_tick(&mut nodes, now));
        }
        assert_within_quota(&arrivals, seed);
    }
}

fn assert_within_quota(arrivals: &[(u32, u32)], seed: u64) {
    let ticks = usize::try_from(WINDOW.as_millis() / TICK.as_millis())
        .expect("the ratio of two constants fits in usize");
    let mut peak = 0.0_f64;
    for end in ticks..arrivals.len() {
        let window = &arrivals[end - ticks..end];
        let (requests, retries) = window
            .iter()
            .fold((0, 0), |sum, tick| (sum.0 + tick.0, sum.1 + tick.1));
        let quota = 0.2 * f64::from(requests) + 48.0;
        peak = peak.max(f64::from(retries) / quota);
        assert!(
            f64::from(retries) <= quota,
            "seed {seed}: {retries} retries, quota {quota}"
        );
    }
    assert!(
        peak > 0.6,
        "seed {seed}: at most {peak} of the quota is used"
    );
}

/// Guards against a service that gets more retries than its quota when requests of earlier windows
/// count, while requests arrive at its upstreams unevenly, stop at times, and nodes restart.
#[test]
fn a_service_stays_within_its_quota_when_earlier_windows_count() {
    let quota = RetryQuota {
        counts_earlier: true,
        ..quota()
    };
    for seed in 0..8 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut nodes: Vec<SimulatedNode> =
            (0..4).map(|_| SimulatedNode::new(start, quota)).collect();
        let mut arrivals: Vec<(u32, u32)> = Vec::new();
        for tick in 0..3000_u32 {
            let now = start + TICK * tick;
            if tick % 100 == 0 {
                let is_quiet = random.random_bool(0.2);
                for node in &mut nodes {
                    let rate = random.random_range(0..20);
                    node.rate = if is_quiet { 0 } else { rate };
                }
            }
            if random.random_bool(0.002) {
                nodes[random.random_range(0..4)].restart(now, quota);
            }
            arrivals.push(play_tick(&mut nodes, now));
        }
        assert_within_earlier_quota(&arrivals, seed);
    }
}

/// The quota counts the requests of the window, of the one before, or of the one that began half a
/// window earlier, whichever has most.
fn assert_within_earlier_quota(arrivals: &[(u32, u32)], seed: u64) {
    let ticks = usize::try_from(WINDOW.as_millis() / TICK.as_millis())
        .expect("the ratio of two constants fits in usize");
    let requests_until = |end: usize| -> u32 {
        let window = &arrivals[end.saturating_sub(ticks)..end];
        window.iter().map(|tick| tick.0).sum()
    };
    let mut peak = 0.0_f64;
    for end in ticks..arrivals.len() {
        let retries = &arrivals[end - ticks..end];
        let retries: u32 = retries.iter().map(|tick| tick.1).sum();
        let ends = [end, end - ticks / 2, end - ticks];
        let requests = ends.map(requests_until).into_iter().max();
        let quota = 0.2 * f64::from(requests.unwrap_or_default()) + 48.0;
        peak = peak.max(f64::from(retries) / quota);
        assert!(
            f64::from(retries) <= quota,
            "seed {seed}: {retries} retries, quota {quota}"
        );
    }
    assert!(
        peak > 0.6,
        "seed {seed}: at most {peak} of the quota is used"
    );
}
