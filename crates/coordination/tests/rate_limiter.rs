//! The limit on the rate of requests that an upstream names.

use lagoonshore_coordination::forwarding::{
    rate_limiter::{LimitNotice, RateLimiter},
    slot_queue::{SlotDecision, SlotQueue, SlotRank, SlotRequest},
};
use lagoonshore_state::{
    ids::InstanceName, units::RequestImportance, upstream_list::UpstreamLimit,
};
use rstest::rstest;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Window of the platform's rule.
const RULE_WINDOW: Duration = Duration::from_secs(4);
/// Time between two attempts to send.
const STEP: Duration = Duration::from_millis(3);

fn run() -> InstanceName {
    "u".into()
}

fn limited(now: Instant, rate: f64) -> RateLimiter {
    let mut limiter = RateLimiter::new(now);
    limiter.observe(now, &run(), LimitNotice::Named(rate));
    limiter
}

/// Most requests that the platform's rule allows in one window.
fn rule_max(rate: f64) -> f64 {
    1.5 * rate * RULE_WINDOW.as_secs_f64() + 5.0
}

/// Sends whenever the limiter allows it for `length`; returns the number of requests and the most in
/// one window of the rule.
fn send_all(limiter: &mut RateLimiter, now: &mut Instant, length: Duration) -> (f64, f64) {
    let (until, mut count, mut most) = (*now + length, 0.0, 0.0_f64);
    let mut in_window = 0.0;
    let mut window = VecDeque::new();
    while *now < until {
        while limiter.try_take(*now) {
            window.push_back(*now);
            in_window += 1.0;
            count += 1.0;
        }
        while window
            .front()
            .is_some_and(|sent| *sent + RULE_WINDOW <= *now)
        {
            window.pop_front();
            in_window -= 1.0;
        }
        most = most.max(in_window);
        *now += STEP;
    }
    (count, most)
}

#[rstest]
#[case(0.0)]
#[case(0.3)]
#[case(1.0)]
#[case(7.5)]
#[case(45.0)]
#[case(300.0)]
fn an_upstream_gets_nearly_all_and_no_more_than_it_names(#[case] rate: f64) {
    let mut now = Instant::now();
    let mut limiter = limited(now, rate);
    let length = Duration::from_secs(40);
    let (count, most) = send_all(&mut limiter, &mut now, length);
    let named = rate * length.as_secs_f64();
    assert!(count >= (named * 0.95).floor(), "{count} of {named}");
    assert!(most <= rule_max(rate), "{most}");
}

#[test]
fn a_rate_that_falls_binds_at_once() {
    let mut now = Instant::now();
    let mut limiter = limited(now, 200.0);
    send_all(&mut limiter, &mut now, Duration::from_secs(2));
    now += Duration::from_secs(1);
    limiter.observe(now, &run(), LimitNotice::Named(2.0));
    let (count, _) = send_all(&mut limiter, &mut now, RULE_WINDOW);
    assert!(count <= 9.0, "{count}");
}

#[test]
fn the_latest_response_says_whether_there_is_a_limit() {
    let now = Instant::now();
    let later = now + Duration::from_millis(50);
    let mut limiter = limited(now, 5.0);
    assert!(limiter.observe(later, &run(), LimitNotice::Absent));
    assert_eq!(limiter.limit(), None);
    assert!(!limiter.observe(now, &run(), LimitNotice::Named(5.0)));
    assert_eq!(
        limiter.limit(),
        None,
        "a response that was received earlier"
    );
}

#[test]
fn an_invalid_limit_leaves_the_one_in_force() {
    let now = Instant::now();
    let mut limiter = limited(now, 5.0);
    assert!(!limiter.observe(now, &run(), LimitNotice::Invalid));
    assert_eq!(limiter.limit().map(|limit| limit.rate), Some(5.0));
}

#[test]
fn a_new_run_of_the_upstream_has_no_limit() {
    let now = Instant::now();
    let mut limiter = limited(now, 5.0);
    assert!(limiter.observe(now, &"u2".into(), LimitNotice::Absent));
    assert_eq!(limiter.limit(), None);
}

/// A node that restarts again and again, and each time is told the limit by a sender.
#[test]
fn a_node_that_has_forgotten_the_limit_does_not_exceed_it() {
    let mut now = Instant::now();
    let (rate, mut count) = (40.0, 0.0);
    for _ in 0..4 {
        let mut limiter = RateLimiter::new(now);
        limiter.adopt(now, &UpstreamLimit { name: run(), rate });
        count += send_all(&mut limiter, &mut now, Duration::from_secs(1)).0;
    }
    assert!(count <= rule_max(rate), "{count}");
}

#[test]
fn a_response_takes_precedence_over_what_a_sender_remembers() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(now);
    let remembered = UpstreamLimit {
        name: run(),
        rate: 3.0,
    };
    assert!(limiter.adopt(now, &remembered));
    assert!(limiter.observe(now, &run(), LimitNotice::Absent));
    assert!(!limiter.adopt(now, &remembered));
    assert_eq!(limiter.limit(), None);
}

#[test]
fn a_limit_of_zero_is_checked_at_intervals_until_it_ends() {
    let now = Instant::now();
    let mut limiter = limited(now, 0.0);
    let step = Duration::from_millis(100);
    let mut checks = 0;
    for number in 1..=40 {
        checks += u32::from(limiter.start_check(now + step * number));
    }
    assert_eq!(checks, 2, "in 4 s");
    limiter.observe(now + RULE_WINDOW, &run(), LimitNotice::Absent);
    assert!(limiter.try_take(now + RULE_WINDOW));
}

fn request(now: Instant, importance: u8, is_new: bool) -> SlotRequest {
    SlotRequest {
        rank: SlotRank {
            importance: RequestImportance(importance),
            is_new,
        },
        route: 1,
        account: None,
        finish_by: now + Duration::from_secs(2),
        late_by: None,
        wait_max: Duration::from_secs(2),
    }
}

/// A queue whose limit of 10 requests a second is used up.
fn limited_queue(now: Instant) -> SlotQueue {
    let mut queue = SlotQueue::new(now, 100);
    queue
        .rate_mut()
        .observe(now, &run(), LimitNotice::Named(10.0));
    while queue.rate_mut().try_take(now) {}
    queue
}

#[test]
fn requests_that_cannot_be_sent_in_time_are_refused_on_arrival() {
    let now = Instant::now();
    let mut queue = limited_queue(now);
    let mut queued = 0;
    let wait = loop {
        match queue.offer(now, request(now, 1, true)) {
            SlotDecision::Queued(_) => queued += 1,
            SlotDecision::Refused(wait) => break wait,
            SlotDecision::Admitted => unreachable!("the limit is used up"),
        }
    };
    assert!((15..=20).contains(&queued), "{queued}");
    assert!(wait > Duration::from_millis(1500) && wait < Duration::from_secs(3));
}

#[test]
fn important_requests_and_calls_of_running_ones_pass_the_limit_first() {
    let now = Instant::now();
    let mut queue = limited_queue(now);
    let offers = [(2, true), (1, true), (1, false), (0, true)];
    for (importance, is_new) in offers {
        let decision = queue.offer(now, request(now, importance, is_new));
        assert!(matches!(decision, SlotDecision::Queued(_)), "{decision:?}");
    }
    let mut order = Vec::new();
    for number in 1..=8 {
        let at = now + Duration::from_millis(60) * number;
        order.extend(queue.refill(at).admitted);
    }
    assert_eq!(order, vec![3, 2, 1, 0]);
}

/// Guards against refusing a request in time for a late one while slots are free.
#[test]
fn a_request_in_time_does_not_wait_for_a_slot_behind_a_late_one() {
    let now = Instant::now();
    let mut queue = limited_queue(now);
    queue.set_limit(1);
    queue.record_hold_time(1, Duration::from_millis(900));
    let wait = queue.expected_wait(now, request(now, 1, true).rank);
    let late = SlotRequest {
        finish_by: now,
        late_by: Some(now + Duration::from_secs(2)),
        ..request(now, 1, true)
    };
    assert!(matches!(queue.offer(now, late), SlotDecision::Queued(_)));
    assert_eq!(queue.expected_wait(now, late.rank), wait);
}
