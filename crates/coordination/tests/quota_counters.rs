//! Counters of quotas after changes of the list of nodes.

use lagoonshore_coordination::quota::{
    account_counter::AccountCounter,
    counter_choice::{CounterChoice, MEMBER_HOLD, SETTLE_TIME},
    quota_rules::{QuotaPart, QuotaRules},
    silent_counters::SilentCounters,
};
use lagoonshore_state::ids::ZoneName;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use tokio::time::Instant;

const ACCOUNT: &str = "account";
const ZONE: &str = "a";
const PART: QuotaPart = QuotaPart {
    rate: 10.0,
    capacity: 100.0,
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
    let mut choice = CounterChoice::default();
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
    let mut choice = CounterChoice::default();
    choice.apply_list(start, &list(&[(ZONE, former), (ZONE, own)]));
    let unlisted = start + Duration::from_secs(100);
    choice.apply_list(unlisted, &list(&[(ZONE, own)]));

    let taken_over = unlisted + MEMBER_HOLD + SETTLE_TIME;
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
        window: Duration::from_secs(5),
        overage: 0.25,
        slack: 20.0,
        proof_life,
    };
    let start = Instant::now();
    let mut choice = CounterChoice::default();
    choice.apply_list(start, &list(&[("a", 1), ("b", 2), ("c", 3)]));
    let rest = list(&[("a", 1), ("b", 2)]);
    choice.apply_list(start, &rest);
    choice.apply_list(start + after, &rest);
    choice.zone_count(start + after, rules.zone_hold())
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
