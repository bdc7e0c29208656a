//! Quotas of an account over many nodes: no window exceeds its bound under faults, and without faults the
//! quota can be used.

#[path = "support/quota_fleet/mod.rs"]
mod quota_fleet;

use lagoonshore_coordination::quota::token_hand::TokenHand;
use lagoonshore_state::account::AccountQuota;
use proptest::{prelude::*, test_runner::RngSeed};
use quota_fleet::{LinkFaults, QuotaFleet, RULES, VIEW_LAG};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const NODES: usize = 61;
const ZONES: usize = 3;
/// Largest difference of the rate of a clock.
const DRIFT: f64 = 0.01;

const fn quota(rate: f64, burst: f64) -> AccountQuota {
    AccountQuota { rate, burst }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Nodes of one zone.
fn zone(fleet: &QuotaFleet, zone: usize) -> Vec<usize> {
    (0..fleet.node_count())
        .filter(|node| fleet.zone_of(*node) == zone)
        .collect()
}

/// Share of the quota that is used in 10 s of `excess` times its rate, 5 s after the demand began.
fn used_share(quota: AccountQuota, excess: f64, at: &[usize]) -> f64 {
    let mut fleet = QuotaFleet::new(7, NODES, ZONES, quota, 0.0);
    fleet.run(seconds(5), quota.rate * excess, at);
    let from = fleet.now;
    fleet.run(seconds(20), quota.rate * excess, at);
    let used = u32::try_from(fleet.admitted_since(from)).expect("few requests");
    f64::from(used) / (quota.rate * 20.0)
}

#[rstest]
#[case::three_nodes(quota(100.0, 50.0), vec![0, 20, 40])]
#[case::three_nodes_of_one_zone(quota(100.0, 50.0), vec![0, 3, 6])]
#[case::everywhere(quota(100.0, 50.0), (0..NODES).collect())]
#[case::large(quota(800.0, 200.0), (0..NODES).collect())]
#[case::large_at_three(quota(800.0, 0.0), vec![0, 3, 6])]
#[case::small(quota(2.0, 2.0), (0..NODES).collect())]
#[case::small_at_one(quota(2.0, 0.0), vec![5])]
#[case::middle(quota(8.0, 4.0), (0..NODES).collect())]
fn saturating_demand_gets_the_quota(#[case] quota: AccountQuota, #[case] at: Vec<usize>) {
    for excess in [1.5, 6.0] {
        let share = used_share(quota, excess, &at);
        assert!(
            share >= 0.95,
            "{share:.3} of the quota at {excess} times its rate"
        );
    }
}

#[test]
fn callers_that_move_between_zones_get_the_quota() {
    let quota = quota(100.0, 30.0);
    let mut fleet = QuotaFleet::new(3, NODES, ZONES, quota, DRIFT);
    for turn in 0..6 {
        let at = zone(&fleet, turn % ZONES);
        fleet.run(seconds(2), 150.0, &at);
        let from = fleet.now;
        fleet.run(seconds(4), 150.0, &at);
        let used = fleet.admitted_since(from);
        assert!(used >= 380, "{used} of 400 in turn {turn}");
    }
}

/// Requests that are refused of those that arrive in a minute at `share` of the quota, and their number.
fn refused_below(quota: AccountQuota, share: f64, at: &[usize]) -> (u64, u64) {
    let mut fleet = QuotaFleet::new(11, NODES, ZONES, quota, DRIFT);
    fleet.run(seconds(5), 0.0, at);
    fleet.run(seconds(60), quota.rate * share, at);
    let admitted = u64::try_from(fleet.admitted.len()).expect("few requests");
    (fleet.asked - admitted, fleet.asked)
}

#[rstest]
#[case::small(quota(4.0, 4.0), (0..NODES).collect())]
#[case::middle(quota(40.0, 10.0), (0..NODES).collect())]
#[case::large(quota(800.0, 200.0), (0..NODES).collect())]
#[case::middle_at_one(quota(40.0, 10.0), vec![5])]
#[case::large_at_three_of_one_zone(quota(800.0, 200.0), vec![0, 3, 6])]
fn demand_below_the_quota_is_not_refused(#[case] quota: AccountQuota, #[case] at: Vec<usize>) {
    let (refused, asked) = refused_below(quota, 0.6, &at);
    assert!(refused * 500 <= asked, "{refused} of {asked}");
}

#[rstest]
#[case::without_burst(quota(800.0, 0.0))]
#[case::with_burst(quota(800.0, 200.0))]
fn a_counter_that_grants_a_part_of_an_ask_is_soon_asked_again(#[case] quota: AccountQuota) {
    let (refused, asked) = refused_below(quota, 0.9, &[5]);
    assert!(refused * 500 <= asked, "{refused} of {asked}");
}

#[test]
fn a_lost_zone_leaves_its_part_to_the_others() {
    let quota = quota(100.0, 20.0);
    let mut fleet = QuotaFleet::new(5, NODES, ZONES, quota, 0.0);
    let lost = zone(&fleet, 2);
    let rest: Vec<usize> = (0..NODES).filter(|node| !lost.contains(node)).collect();
    fleet.run(seconds(5), 100.0, &rest);
    for node in lost {
        fleet.set_down(node, true);
        fleet.set_listed(node, false, Duration::ZERO);
    }
    fleet.run(seconds(15), 150.0, &rest);
    let from = fleet.now;
    fleet.run(seconds(10), 150.0, &rest);
    let used = fleet.admitted_since(from);
    assert!(used >= 950, "{used} of 1000");
}

#[rstest]
#[case::asked_first(1)]
#[case::asked_last(2)]
fn a_zone_whose_counters_do_not_answer_leaves_loans_to_the_others(#[case] silent: usize) {
    let quota = quota(100.0, 20.0);
    let mut fleet = QuotaFleet::new(5, NODES, ZONES, quota, 0.0);
    let at = zone(&fleet, 0);
    for node in zone(&fleet, silent) {
        fleet.set_down(node, true);
    }
    fleet.run(seconds(5), 150.0, &at);
    let from = fleet.now;
    fleet.run(seconds(10), 150.0, &at);
    let used = fleet.admitted_since(from);
    // Two of three parts of the quota are in reach.
    assert!(used >= 633, "{used} of 667");
}

/// Returns of six callers that are refused at once, in milliseconds.
fn returns(rate: f64, granted: u32) -> Vec<u128> {
    let now = Instant::now();
    let mut hand = TokenHand::new(now, 0.0);
    let short_for = Duration::from_millis(80);
    hand.add(now, now, granted, short_for, &RULES);
    let waits = (0..6).map(|_| hand.retry_after(now, rate, 61));
    waits.map(|wait| wait.as_millis()).collect()
}

#[test]
fn returns_are_spread_by_the_rate_of_the_node() {
    let summary = [
        ("small", returns(2.0, 0)),
        ("middle", returns(40.0, 10)),
        ("large", returns(800.0, 100)),
    ];
    insta::assert_debug_snapshot!(summary);
}

/// Has callers return alone, `idle` after a demand far over the quota has ended.
fn return_alone(rate: f64, seed: u64, idle: Duration) {
    let all: Vec<usize> = (0..NODES).collect();
    let mut fleet = QuotaFleet::new(seed, NODES, ZONES, quota(rate, 0.0), DRIFT);
    fleet.run(seconds(8), rate * 6.0 + 10.0, &all);
    fleet.run(idle, 0.0, &all);
    for turn in 0..5_usize {
        let node = turn * 13 % NODES;
        // What others left is used up first.
        fleet.returns.clear();
        for _ in 0..200 {
            fleet.arrive(node);
        }
        fleet.run(Duration::from_millis(50), 0.0, &all);
        let wait = fleet.returns[0].saturating_duration_since(fleet.now);
        fleet.run(wait, 0.0, &all);
        let (asked, admitted) = (fleet.asked, fleet.admitted.len());
        fleet.arrive(node);
        fleet.run(Duration::from_millis(100), 0.0, &all);
        assert_eq!(
            (fleet.asked, fleet.admitted.len()),
            (asked + 1, admitted + 1),
            "turn {turn}"
        );
    }
}

#[rstest]
fn a_refused_caller_that_returns_alone_is_admitted(
    #[values(0.2, 1.0, 1.7, 4.0, 10.0, 25.0, 200.0)] rate: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    // Requests that others still wait with come before.
    return_alone(rate, seed, Duration::from_millis(200));
}

#[rstest]
#[case(4.0, 12)]
#[case(10.0, 10)]
fn a_caller_refused_at_the_end_of_a_surge_that_returns_alone_is_admitted(
    #[case] rate: f64,
    #[case] seed: u64,
) {
    return_alone(rate, seed, Duration::ZERO);
}

/// A fault that begins within a run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ZoneCut(usize),
    NodeCut(usize),
    Restart(usize),
    RestartAll,
    Unlist(usize),
    Links {
        lost: f64,
        doubled: f64,
        late: f64,
    },
    Quota(f64),
    /// A zone is cut off, and its nodes are no longer listed.
    ZoneLost(usize),
    /// Demand, in multiples of the first rate.
    Demand(f64),
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let fault = prop_oneof![
        (0..ZONES).prop_map(Fault::ZoneCut),
        (0..NODES).prop_map(Fault::NodeCut),
        (0..NODES).prop_map(Fault::Restart),
        Just(Fault::RestartAll),
        (0..NODES).prop_map(Fault::Unlist),
        (0.0..0.4, 0.0..0.4, 0.0..0.4).prop_map(|(lost, doubled, late)| Fault::Links {
            lost,
            doubled,
            late
        }),
        (0.3..2.0).prop_map(Fault::Quota),
        (0..ZONES).prop_map(Fault::ZoneLost),
        (0.5..0.95).prop_map(Fault::Demand),
        (4.0..12.0).prop_map(Fault::Demand),
    ];
    prop::collection::vec((2_000_u64..20_000, fault), 0..6)
}

/// Runs the faults, at first under a demand far over the quota; returns the quotas with the time from which each
/// alone binds.
fn play(
    fleet: &mut QuotaFleet,
    quota: AccountQuota,
    plan: &[(u64, Fault)],
    at: &[usize],
) -> Vec<(Instant, AccountQuota)> {
    let mut plan: Vec<(u64, Fault)> = plan.to_vec();
    plan.sort_by_key(|(time, _)| *time);
    let mut quotas = vec![(fleet.start, quota)];
    let mut demand = quota.rate * 4.0;
    for (time, fault) in plan {
        let until = fleet.start + Duration::from_millis(time);
        let left = until.saturating_duration_since(fleet.now);
        fleet.run(left, demand, at);
        match fault {
            Fault::ZoneCut(zone) => fleet.cut(|_, other| usize::from(other == zone)),
            Fault::NodeCut(node) => fleet.cut(|other, _| usize::from(other == node)),
            Fault::Restart(node) => fleet.set_down(node, false),
            Fault::RestartAll => (0..NODES).for_each(|node| fleet.set_down(node, false)),
            Fault::Unlist(node) => {
                fleet.set_listed(node, false, VIEW_LAG);
            }
            Fault::Links {
                lost,
                doubled,
                late,
            } => {
                fleet.faults = LinkFaults {
                    lost,
                    doubled,
                    late,
                }
            }
            Fault::ZoneLost(zone) => {
                fleet.cut(|_, other| usize::from(other == zone));
                let lost = (0..NODES).filter(|node| node % ZONES == zone);
                lost.for_each(|node| fleet.set_listed(node, false, Duration::ZERO));
            }
            Fault::Demand(factor) => demand = quota.rate * factor,
            Fault::Quota(factor) => {
                let changed = AccountQuota {
                    rate: quota.rate * factor,
                    burst: quota.burst * factor,
                };
                fleet.set_quota(changed, VIEW_LAG);
                quotas.push((fleet.now, changed));
            }
        }
    }
    fleet.run(seconds(10), demand, at);
    quotas
}

/// Checks every window against the highest quota that may be in force in it: one that was replaced is so
/// for windows that begin before all nodes know the next.
fn check_windows(fleet: &QuotaFleet, quotas: &[(Instant, AccountQuota)]) {
    for (start, most) in fleet.windows() {
        let end = start + RULES.window;
        let in_force = quotas.iter().enumerate().filter(|(index, (since, _))| {
            let replaced = quotas.get(index + 1).map(|(next, _)| *next + VIEW_LAG);
            *since < end && replaced.is_none_or(|replaced| replaced > start)
        });
        let highest = in_force.map(|(_, (_, quota))| QuotaFleet::bound(*quota));
        let bound = highest.fold(0.0, f64::max);
        let most = f64::from(u32::try_from(most).expect("few requests"));
        assert!(most <= bound, "{most} in a window, at most {bound}");
    }
}

#[rstest]
#[case(1)]
#[case(2)]
fn no_window_of_a_long_run_exceeds_its_bound(#[case] seed: u64) {
    let quota = quota(30.0, 20.0);
    let mut fleet = QuotaFleet::new(seed, NODES, ZONES, quota, DRIFT);
    let mut plan = Vec::new();
    for turn in 0..12_u64 {
        let node = usize::try_from(turn * 7).expect("small") % NODES;
        let fault = match turn % 4 {
            0 => Fault::Unlist(node),
            1 => Fault::Restart(node),
            2 => Fault::Quota(if turn % 8 == 2 { 0.4 } else { 1.5 }),
            _ => Fault::RestartAll,
        };
        plan.push((turn * 9_000, fault));
    }
    let quotas = play(&mut fleet, quota, &plan, &[0, 20, 40]);
    check_windows(&fleet, &quotas);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_its_bound(
        seed in any::<u64>(),
        rate in prop_oneof![1.0..10.0, 10.0..200.0_f64],
        burst_seconds in 0.0..2.0_f64,
        callers in prop_oneof![Just(1_usize), Just(3), Just(NODES)],
        plan in faults(),
        quiet in 0_u64..12_000,
        surge in 4.0..12.0_f64,
    ) {
        let mut plan = plan;
        plan.push((0, Fault::Demand(0.4)));
        plan.push((quiet, Fault::Demand(surge)));
        let quota = quota(rate, rate * burst_seconds);
        let mut fleet = QuotaFleet::new(seed, NODES, ZONES, quota, DRIFT);
        let at: Vec<usize> = (0..callers).map(|index| index * NODES / callers).collect();
        let quotas = play(&mut fleet, quota, &plan, &at);
        check_windows(&fleet, &quotas);
    }
}
