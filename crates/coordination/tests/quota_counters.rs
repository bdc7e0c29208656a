//! Counters of quotas after changes of the list of nodes.

use lagoonshore_coordination::quota::{
    account_counter::AccountCounter,
    counter_choice::CounterChoice,
    quota_rules::{QuotaPart, QuotaRules},
    silent_counters::SilentCounters,
};
use lagoonshore_state::{account::AccountQuota, ids::ZoneName};
use rstest::rstest;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const ACCOUNT: &str = "account";
const ZONE: &str = "a";
const PART: QuotaPart = QuotaPart {
    rate: 10.0,
    capacity: 100.0,
};

const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overage: 0.25,
    slack: 20.0,
    proof_life: Some(Duration::from_secs(5)),
    view_time: Duration::from_millis(2500),
};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 700))
}

fn list(places: &[(&str, u8)]) -> BTreeSet<(ZoneName, SocketAddr)> {
    let places = places.iter();
    places
        .map(|(zone, last)| (ZoneName::from(*zone), address(*last)))
        .collect()
}

/// Returns the counter among two nodes, and the node that counts after it.
fn ranked(now: Instant) -> (u8, u8) {
    let mut choice = CounterChoice::new(RULES.succession());
    choice.apply_list(now, &list(&[(ZONE, 1), (ZONE, 2)]));
    if choice.counter(now, ACCOUNT, ZONE) == Some(address(1)) {
        (1, 2)
    } else {
        (2, 1)
    }
}

#[test]
fn forgetting_a_former_counter_fills_no_bucket() {
    let start = Instant::now();
    let (former, own) = ranked(start);
    let mut choice = CounterChoice::new(RULES.succession());
    choice.apply_list(start, &list(&[(ZONE, former), (ZONE, own)]));
    let unlisted = start + Duration::from_secs(100);
    choice.apply_list(unlisted, &list(&[(ZONE, own)]));

    let times = RULES.succession();
    let taken_over = unlisted + times.member_hold + times.settle_time;
    let since = choice.counting_since(taken_over, ACCOUNT, ZONE, address(own));
    assert_eq!(since, Some(taken_over));
    let mut counter = AccountCounter::new(taken_over, taken_over, PART);

    let later = unlisted + Duration::from_mins(10);
    counter.take(later, PART.capacity);
    choice.apply_list(later, &list(&[(ZONE, own)]));
    let since = choice.counting_since(later, ACCOUNT, ZONE, address(own));
    assert!(since < Some(taken_over), "the former counter is forgotten");
    counter.renew(later, since.expect("it counts"));

    let second = later + Duration::from_secs(1);
    let taken = counter.take(second, PART.capacity);
    assert!(taken <= PART.rate, "{taken} tokens in a second");
}

#[test]
fn a_counter_that_was_replaced_starts_empty() {
    let now = Instant::now();
    let mut counter = AccountCounter::new(now, now, PART);
    let full = now + Duration::from_mins(1);
    counter.renew(full, full);
    assert!(counter.take(full, PART.capacity) < 1.0);
}

#[test]
fn a_node_that_got_too_few_tokens_is_always_told_to_wait() {
    let now = Instant::now();
    let part = QuotaPart {
        rate: 1e6,
        capacity: 1.0,
    };
    let mut counter = AccountCounter::new(now, now, part);
    assert!(counter.next_turn(now, 1.0) >= Duration::from_millis(1));
}

/// Zones that count `after` one of three was last listed.
fn zones_counted(proof_life: Option<Duration>, after: Duration) -> u32 {
    let rules = QuotaRules {
        proof_life,
        ..RULES
    };
    let start = Instant::now();
    let mut choice = CounterChoice::new(rules.succession());
    choice.apply_list(start, &list(&[("a", 1), ("b", 2), ("c", 3)]));
    let rest = list(&[("a", 1), ("b", 2)]);
    choice.apply_list(start, &rest);
    choice.apply_list(start + after, &rest);
    choice.zone_count(start + after)
}

#[test]
fn a_lost_zone_keeps_its_part_while_its_nodes_may_admit() {
    let proof_life = Some(Duration::from_mins(2));
    let window = Duration::from_secs(5);
    let proof_end = Duration::from_mins(2);
    assert_eq!(zones_counted(proof_life, proof_end + window), 3);
    assert_eq!(zones_counted(proof_life, proof_end + window * 2), 2);
}

#[test]
fn a_lost_zone_keeps_its_part_for_good_if_its_nodes_may_go_on() {
    assert_eq!(zones_counted(None, Duration::from_hours(24)), 3);
}

#[test]
fn a_silent_counter_is_avoided_while_others_can_be_asked() {
    let now = Instant::now();
    let mut silent = SilentCounters::default();
    silent.record_silence(now, address(1));
    let both = vec![address(1), address(2)];
    assert_eq!(silent.select(now, both.clone()), [address(2)]);
    silent.record_answer(address(1));
    assert_eq!(silent.select(now, both.clone()), both);
}

#[test]
fn silent_counters_are_asked_if_there_are_no_others() {
    let now = Instant::now();
    let mut silent = SilentCounters::default();
    let both = vec![address(1), address(2)];
    for counter in &both {
        silent.record_silence(now, *counter);
    }
    assert_eq!(silent.select(now, both.clone()), both);
    let only = vec![address(1)];
    assert_eq!(silent.select(now, only.clone()), only);
}

#[test]
fn a_counter_that_may_be_cut_off_has_no_successor_before_its_proof_ends() {
    let rules = QuotaRules {
        proof_life: Some(Duration::from_mins(1)),
        ..RULES
    };
    let start = Instant::now();
    let (former, own) = ranked(start);
    let mut choice = CounterChoice::new(rules.succession());
    choice.apply_list(start, &list(&[(ZONE, former), (ZONE, own)]));
    choice.apply_list(start, &list(&[(ZONE, own)]));
    let proof_end = start + Duration::from_mins(1);
    let before = proof_end - Duration::from_millis(1);
    assert_eq!(choice.counter(before, ACCOUNT, ZONE), Some(address(former)));
    let since = choice.counting_since(proof_end, ACCOUNT, ZONE, address(own));
    assert_eq!(since, Some(proof_end + rules.succession().settle_time));
}

/// Most requests that all zones together may run in a window, by the parts that they hold, in multiples of
/// what the rules allow.
fn worst_window(rules: QuotaRules, quota: AccountQuota, zones: u8) -> f64 {
    let now = Instant::now();
    let names: Vec<String> = (0..zones).map(|zone| format!("z{zone:03}")).collect();
    let places: Vec<(&str, u8)> = (0..zones)
        .map(|zone| (names[usize::from(zone)].as_str(), zone))
        .collect();
    let mut choice = CounterChoice::new(rules.succession());
    choice.apply_list(now, &list(&places));
    let counters = names
        .iter()
        .filter(|zone| choice.counter(now, ACCOUNT, zone).is_some());
    let counters = f64::from(u32::try_from(counters.count()).expect("few zones"));
    let part = rules.zone_part(quota, choice.zone_count(now));
    let doubled = rules
        .view_time
        .saturating_sub(rules.succession().settle_time);
    let granted_for = (rules.window + rules.token_life() + doubled).as_secs_f64();
    let run = counters * (part.capacity + part.rate * granted_for);
    let window = rules.window.as_secs_f64();
    let allowed = (quota.rate * window + quota.burst) * (1.0 + rules.overage) + rules.slack;
    run / allowed
}

#[rstest]
#[case::usual(RULES, 3)]
#[case::one_zone(RULES, 1)]
#[case::long_window(QuotaRules { window: Duration::from_hours(1), ..RULES }, 3)]
#[case::short_window(QuotaRules { window: Duration::from_millis(100), ..RULES }, 3)]
#[case::little_overage(QuotaRules { overage: 0.05, ..RULES }, 3)]
#[case::much_overage(QuotaRules { overage: 10.0, ..RULES }, 3)]
#[case::least_slack(QuotaRules { slack: 2.0, ..RULES }, 1)]
#[case::least_slack_of_many_zones(QuotaRules { slack: 2.0, ..RULES }, 200)]
#[case::slow_lists(QuotaRules { view_time: Duration::from_mins(1), ..RULES }, 3)]
fn accepted_settings_keep_the_bound(#[case] rules: QuotaRules, #[case] zones: u8) {
    for rate in [0.001, 1.0, 100.0, 10_000.0] {
        for burst in [0.0, 1.0, 1000.0] {
            let worst = worst_window(rules, AccountQuota { rate, burst }, zones);
            assert!(worst <= 1.0, "{worst} at {rate} a second, burst {burst}");
        }
    }
}

#[test]
fn zones_that_hold_no_part_are_the_last_by_name() {
    let now = Instant::now();
    let rules = QuotaRules {
        slack: 4.0,
        ..RULES
    };
    let mut choice = CounterChoice::new(rules.succession());
    choice.apply_list(now, &list(&[("a", 1), ("b", 2), ("c", 3)]));
    assert_eq!(choice.zone_count(now), 2);
    assert_eq!(choice.zones_without_part(now), 1);
    assert_eq!(choice.counter(now, ACCOUNT, "c"), None);
    assert_eq!(
        choice.other_counters(now, ACCOUNT, "c"),
        [address(1), address(2)]
    );
}

/// A zone with two nodes, as the counter among them sees it after its start, and the other node.
fn restarted(start: Instant) -> (CounterChoice, SocketAddr, SocketAddr) {
    let (own, other) = ranked(start);
    let mut choice = CounterChoice::new(RULES.succession());
    choice.apply_list(start, &list(&[(ZONE, own), (ZONE, other), ("b", 3)]));
    (choice, address(own), address(other))
}

#[test]
fn a_counter_that_restarts_waits_for_the_node_that_counts_in_its_place() {
    let start = Instant::now();
    let (mut choice, own, other) = restarted(start);
    let settled = start + RULES.succession().settle_time;
    assert_eq!(
        choice.counting_since(start, ACCOUNT, ZONE, own),
        Some(settled)
    );
    assert_eq!(choice.stand_in(start, ACCOUNT, ZONE, own), Some(other));
    assert_eq!(choice.stand_in(settled, ACCOUNT, ZONE, own), Some(other));
    // The other node may be cut off, and count for itself until its proof ends.
    choice.defer(ACCOUNT);
    let proof_end = start + RULES.succession().member_hold;
    assert_eq!(choice.stand_in(settled, ACCOUNT, ZONE, own), Some(other));
    assert_eq!(
        choice.counting_since(settled, ACCOUNT, ZONE, own),
        Some(proof_end)
    );
    assert_eq!(choice.stand_in(proof_end, ACCOUNT, ZONE, own), None);
}

#[test]
fn a_counter_that_restarts_counts_at_once_if_no_other_does() {
    let start = Instant::now();
    let (mut choice, own, _) = restarted(start);
    choice.confirm(start, ACCOUNT);
    assert_eq!(choice.stand_in(start, ACCOUNT, ZONE, own), None);
    let later = start + Duration::from_mins(10);
    for now in [start, later] {
        let since = choice.counting_since(now, ACCOUNT, ZONE, own);
        assert_eq!(since, Some(start));
    }
}

#[test]
fn a_node_that_starts_divides_by_the_zones_that_others_know() {
    let start = Instant::now();
    let (mut choice, ..) = restarted(start);
    choice.record_zones_heard(start, 3);
    assert_eq!(
        (choice.zone_count(start), choice.divided_zones(start)),
        (2, 3)
    );
    let hold = RULES.succession().zone_hold.expect("a bound");
    choice.record_zones_heard(start + hold, 3);
    assert_eq!(choice.divided_zones(start + hold), 2);
}
