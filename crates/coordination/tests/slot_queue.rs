//! Slots of an upstream: who waits, who is refused at once, and in which order slots are given.

use lagoonshore_coordination::forwarding::slot_queue::{
    SlotDecision, SlotQueue, SlotRank, SlotRequest, TicketId,
};
use lagoonshore_state::units::RequestImportance;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const HOLD: Duration = Duration::from_millis(100);

fn rank(importance: u8, is_new: bool) -> SlotRank {
    SlotRank {
        importance: RequestImportance(importance),
        is_new,
    }
}

fn offer(rank: SlotRank, finish_by: Instant) -> SlotRequest {
    SlotRequest {
        rank,
        route: 1,
        finish_by,
        wait_max: Duration::from_secs(10),
    }
}

/// A queue before `limit` slots, all in use, that has learned a holding time of [`HOLD`].
fn full_queue(now: Instant, limit: u32) -> SlotQueue {
    let mut queue = SlotQueue::new(limit);
    for _ in 0..200 {
        queue.record_hold_time(1, HOLD);
    }
    for _ in 0..limit {
        let verdict = queue.offer(now, offer(rank(0, true), now + Duration::from_secs(9)));
        assert_eq!(verdict, SlotDecision::Admitted);
    }
    queue
}

fn ticket(verdict: SlotDecision) -> TicketId {
    match verdict {
        SlotDecision::Queued(ticket) => ticket,
        other => panic!("expected a place in the queue, found {other:?}"),
    }
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_on_arrival() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let soon = offer(rank(2, true), now + Duration::from_millis(150));
    let SlotDecision::Refused(wait) = queue.offer(now, soon) else {
        panic!("the wait of {HOLD:?} and the run of {HOLD:?} do not fit into 150 ms");
    };
    assert!(
        wait >= HOLD.mul_f64(0.9),
        "the refusal tells the wait, not {wait:?}"
    );
    assert_eq!(queue.queued(), 0);
}

#[test]
fn important_requests_and_calls_of_running_ones_go_first() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let late = now + Duration::from_secs(9);
    let common = ticket(queue.offer(now, offer(rank(2, true), late)));
    let call = ticket(queue.offer(now, offer(rank(2, false), late)));
    let important = ticket(queue.offer(now, offer(rank(0, true), late)));
    let mut order = Vec::new();
    for _ in 0..3 {
        order.extend(queue.release(now).admitted);
    }
    assert_eq!(order, vec![important, call, common]);
}

#[test]
fn a_wait_counts_only_what_goes_before() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let late = now + Duration::from_secs(9);
    for _ in 0..10 {
        ticket(queue.offer(now, offer(rank(2, true), late)));
    }
    assert!(queue.wait(rank(0, true)) < HOLD.mul_f64(1.2));
    assert!(queue.wait(rank(2, true)) > HOLD.mul_f64(10.0));
}

#[test]
fn a_request_that_waited_too_long_is_refused_when_a_slot_is_free() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let waiting = ticket(queue.offer(now, offer(rank(2, true), now + HOLD.mul_f64(2.5))));
    let change = queue.release(now + Duration::from_millis(400));
    assert_eq!(change.admitted, vec![]);
    assert_eq!(change.refused.len(), 1);
    assert_eq!(change.refused[0].0, waiting);
}

#[test]
fn a_cancelled_request_gets_no_slot() {
    let now = Instant::now();
    let mut queue = full_queue(now, 1);
    let late = now + Duration::from_secs(9);
    let gone = ticket(queue.offer(now, offer(rank(2, true), late)));
    let stays = ticket(queue.offer(now, offer(rank(2, true), late)));
    queue.cancel(gone);
    assert_eq!(queue.release(now).admitted, vec![stays]);
    assert_eq!(queue.in_use(), 1);
}

#[rstest]
#[case::fewer(8, 3)]
#[case::none(8, 0)]
fn a_lower_limit_lets_running_requests_end_first(#[case] before: u32, #[case] after: u32) {
    let now = Instant::now();
    let mut queue = full_queue(now, before);
    queue.set_limit(after);
    let waiting = ticket(queue.offer(now, offer(rank(0, true), now + Duration::from_secs(9))));
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

/// A surge of twice the capacity for ten seconds: what callers get.
///
/// One upstream with ten slots and work of 100 ms serves 100 requests a second; 200 arrive, with
/// an aim of 500 ms.
#[test]
fn in_a_surge_those_that_are_served_are_served_in_time() {
    let start = Instant::now();
    let mut queue = SlotQueue::new(10);
    let mut running: Vec<(Instant, Instant)> = Vec::new();
    let mut waiting: Vec<(TicketId, Instant)> = Vec::new();
    let (mut in_time, mut late, mut refused, mut refusal_waits) = (0, 0, 0, Duration::ZERO);
    for step in 0..10_000_u64 {
        let now = start + Duration::from_millis(step);
        let (ended, still): (Vec<_>, Vec<_>) = running.iter().partition(|(end, _)| *end <= now);
        running = still;
        let mut change = lagoonshore_coordination::forwarding::slot_queue::SlotChange::default();
        for (end, arrived) in ended {
            let is_in_time = end - arrived <= Duration::from_millis(500);
            in_time += u32::from(is_in_time);
            late += u32::from(!is_in_time);
            queue.record_hold_time(1, HOLD);
            let more = queue.release(now);
            change.admitted.extend(more.admitted);
            change.refused.extend(more.refused);
        }
        for (ticket, _) in change.refused {
            let at = waiting
                .iter()
                .position(|(held, _)| *held == ticket)
                .expect("it waited");
            refusal_waits += now - waiting.remove(at).1;
            refused += 1;
        }
        for ticket in change.admitted {
            let at = waiting
                .iter()
                .position(|(held, _)| *held == ticket)
                .expect("it waited");
            running.push((now + HOLD, waiting.remove(at).1));
        }
        if step % 5 == 0 {
            match queue.offer(now, offer(rank(2, true), now + Duration::from_millis(500))) {
                SlotDecision::Admitted => running.push((now + HOLD, now)),
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
