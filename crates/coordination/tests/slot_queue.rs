//! Slots of an upstream: which requests wait, which are refused on arrival, and the order in which
//! slots are assigned.

use lagoonshore_coordination::forwarding::slot_queue::{
    SlotDecision, SlotQueue, SlotRank, SlotRequest, TicketId,
};
use lagoonshore_state::units::RequestImportance;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const HOLD_TIME: Duration = Duration::from_millis(100);

fn rank(importance: u8, is_new: bool) -> SlotRank {
    SlotRank {
        importance: RequestImportance(importance),
        is_new,
    }
}

fn request(rank: SlotRank, finish_by: Instant) -> SlotRequest {
    SlotRequest {
        rank,
        route: 1,
        account: None,
        finish_by,
        late_by: None,
        wait_max: Duration::from_secs(10),
    }
}

/// A queue for `limit` slots, all in use, whose mean hold time is [`HOLD_TIME`].
fn full_queue(now: Instant, limit: u32) -> SlotQueue {
    let mut queue = SlotQueue::new(now, limit);
    for _ in 0..200 {
        queue.record_hold_time(1, HOLD_TIME);
    }
    for _ in 0..limit {
        let decision = queue.offer(now, request(rank(0, true), now + Duration::from_secs(9)));
        assert_eq!(decision, SlotDecision::Admitted);
    }
    queue
}

fn ticket(decision: SlotDecision) -> TicketId {
    match decision {
        SlotDecision::Queued(ticket) => ticket,
        other => panic!("expected a place in the queue, found {other:?}"),
    }
}

#[test]
fn a_request_that_cannot_complete_in_time_is_refused_on_arrival() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let soon = request(rank(2, true), now + Duration::from_millis(150));
    let SlotDecision::Refused(expected_wait) = queue.offer(now, soon) else {
        panic!("a wait of {HOLD_TIME:?} and a run of {HOLD_TIME:?} do not fit into 150 ms");
    };
    assert!(
        expected_wait >= HOLD_TIME.mul_f64(0.9),
        "the refusal reports an expected wait of {expected_wait:?}"
    );
    assert_eq!(queue.queued(), 0);
}

#[test]
fn important_requests_and_calls_of_running_ones_precede_others() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let deadline = now + Duration::from_secs(9);
    let common = ticket(queue.offer(now, request(rank(2, true), deadline)));
    let call = ticket(queue.offer(now, request(rank(2, false), deadline)));
    let important = ticket(queue.offer(now, request(rank(0, true), deadline)));
    let mut order = Vec::new();
    for _ in 0..3 {
        order.extend(queue.release(now).admitted);
    }
    assert_eq!(order, vec![important, call, common]);
}

#[test]
fn the_expected_wait_counts_only_requests_ahead() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let deadline = now + Duration::from_secs(9);
    for _ in 0..10 {
        ticket(queue.offer(now, request(rank(2, true), deadline)));
    }
    assert!(queue.expected_wait(now, rank(0, true)) < HOLD_TIME.mul_f64(1.2));
    assert!(queue.expected_wait(now, rank(2, true)) > HOLD_TIME.mul_f64(10.0));
}

#[test]
fn a_request_that_waited_too_long_is_refused_when_a_slot_is_released() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let waiting = ticket(queue.offer(now, request(rank(2, true), now + HOLD_TIME.mul_f64(2.5))));
    let change = queue.release(now + Duration::from_millis(400));
    assert_eq!(change.admitted, vec![]);
    assert_eq!(change.refused.len(), 1);
    assert_eq!(change.refused[0].0, waiting);
}

#[test]
fn a_cancelled_request_gets_no_slot() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let deadline = now + Duration::from_secs(9);
    let cancelled = ticket(queue.offer(now, request(rank(2, true), deadline)));
    let stays = ticket(queue.offer(now, request(rank(2, true), deadline)));
    queue.cancel(cancelled);
    assert_eq!(queue.release(now).admitted, vec![stays]);
    assert_eq!(queue.in_use(), 1);
}

#[rstest]
#[case::fewer(8, 3)]
#[case::none(8, 0)]
fn a_lower_limit_lets_running_requests_complete(#[case] before: u32, #[case] after: u32) {
    let now = Instant::now();
    let mut queue = full_queue(now, before);
    queue.set_limit(after);
    let waiting = ticket(queue.offer(now, request(rank(0, true), now + Duration::from_secs(9))));
    let mut ended = 0;
    while queue.release(now).admitted.is_empty() {
        ended += 1;
    }
    assert_eq!(
        ended,
        before - after.max(1),
        "ticket {waiting} waits for a free slot"
    );
}

/// Guards against admitted requests that complete too late while twice the capacity arrives for ten
/// seconds.
///
/// One upstream with ten slots and requests of 100 ms serves 100 requests per second; 200 per
/// second arrive, with a latency target of 500 ms.
#[test]
fn requests_served_in_a_surge_are_served_in_time() {
    let start = Instant::now();
    let mut queue = SlotQueue::new(Instant::now(), 10);
    let mut running: Vec<(Instant, Instant)> = Vec::new();
    let mut waiting: Vec<(TicketId, Instant)> = Vec::new();
    let (mut in_time, mut late, mut refused, mut refusal_waits) = (0, 0, 0, Duration::ZERO);
    for step in 0..10_000_u64 {
        let now = start + Duration::from_millis(step);
        let (ended, unfinished): (Vec<_>, Vec<_>) =
            running.iter().partition(|(end, _)| *end <= now);
        running = unfinished;
        let mut change = lagoonshore_coordination::forwarding::slot_queue::SlotChange::default();
        for (end, arrived) in ended {
            let is_in_time = end - arrived <= Duration::from_millis(500);
            in_time += u32::from(is_in_time);
            late += u32::from(!is_in_time);
            queue.record_hold_time(1, HOLD_TIME);
            let more = queue.release(now);
            change.admitted.extend(more.admitted);
            change.refused.extend(more.refused);
        }
        for (ticket, _) in change.refused {
            let index = waiting
                .iter()
                .position(|(other, _)| *other == ticket)
                .expect("the ticket is waiting");
            refusal_waits += now - waiting.remove(index).1;
            refused += 1;
        }
        for ticket in change.admitted {
            let index = waiting
                .iter()
                .position(|(other, _)| *other == ticket)
                .expect("the ticket is waiting");
            running.push((now + HOLD_TIME, waiting.remove(index).1));
        }
        if step % 5 == 0 {
            match queue.offer(
                now,
                request(rank(2, true), now + Duration::from_millis(500)),
            ) {
                SlotDecision::Admitted => running.push((now + HOLD_TIME, now)),
                SlotDecision::Queued(ticket) => waiting.push((ticket, now)),
                SlotDecision::Refused(_) => refused += 1,
            }
        }
    }
    assert_eq!(late, 0, "{in_time} in time, {refused} refused");
    assert!(in_time >= 950, "{in_time} of 1000 that the slots allow");
    assert!(refused >= 900, "{refused} refused");
    let mean = refusal_waits / refused;
    assert!(
        mean < Duration::from_millis(60),
        "refusals came after {mean:?} on average"
    );
}
