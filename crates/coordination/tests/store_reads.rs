//! The schedule of the reads of the store, and removals that are held back after an outage.

use lagoonshore_coordination::forwarding::{
    pending_removals::{PendingRemovals, RemovedEntry},
    read_schedule::{ReadSchedule, WATCH_TIMEOUT_MARGIN, WatchLength},
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;
use tokio::time::Instant;

fn removed(name: &str) -> RemovedEntry {
    RemovedEntry {
        name: name.into(),
        revision: 7,
    }
}

/// Longest time for which a removal may be held back after the return of the store.
const HOLD_MAX: Duration = Duration::from_millis(4800);
/// Time after an outage in which nodes have to be up to date again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

#[test]
fn a_removal_is_confirmed_immediately_without_an_outage() {
    let now = Instant::now();
    let mut entries = PendingRemovals::new(HOLD_MAX);
    entries.record_removal(now, removed("u1"));
    assert_eq!(entries.take_confirmed(now), vec![removed("u1")]);
    assert_eq!(entries.next_confirmation(), None);
}

#[test]
fn an_entry_that_expired_in_an_outage_may_return() {
    let end = Instant::now();
    let mut entries = PendingRemovals::new(HOLD_MAX);
    entries.record_outage(end, end);
    entries.record_removal(end + Duration::from_millis(100), removed("u1"));
    entries.record_removal(end + Duration::from_millis(200), removed("u2"));
    let early = end + Duration::from_secs(2);
    assert_eq!(
        entries.take_confirmed(early),
        vec![],
        "both removals are still pending"
    );
    entries.record_return("u1");
    let late = end + Duration::from_millis(2300);
    assert_eq!(entries.next_confirmation(), Some(late));
    assert_eq!(entries.take_confirmed(late), vec![removed("u2")]);
}

#[test]
fn a_removal_seen_again_keeps_its_confirmation_time() {
    let end = Instant::now();
    let mut entries = PendingRemovals::new(HOLD_MAX);
    entries.record_outage(end, end);
    entries.record_removal(end, removed("u1"));
    let again = end + Duration::from_secs(2);
    entries.record_outage(again, again);
    entries.record_removal(end + Duration::from_secs(2), removed("u1"));
    let late = end + Duration::from_millis(2300);
    assert_eq!(entries.take_confirmed(late), vec![removed("u1")]);
}

#[test]
fn pauses_after_failed_reads_grow_to_a_maximum_and_reset() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut backoff = ReadSchedule::new(SETTLE_TIME);
    for mean in [60, 120, 240, 480, 800, 800] {
        let mean = Duration::from_millis(mean);
        let pause = backoff.record_failure(&mut random);
        assert!(
            pause >= mean.mul_f64(0.7) && pause < mean.mul_f64(1.3),
            "{pause:?}"
        );
    }
    backoff.record_success();
    assert!(backoff.record_failure(&mut random) < Duration::from_millis(78));
}

#[test]
fn a_watch_ends_when_the_next_step_is_due() {
    let now = Instant::now();
    let schedule = ReadSchedule::new(SETTLE_TIME);
    let wait = |now, next| schedule.watch_wait(now, WatchLength::Long, next);
    assert_eq!(wait(now, None), Duration::from_secs(12));
    let due = now + Duration::from_secs(2);
    assert_eq!(wait(now, Some(due)), Duration::from_secs(2));
    assert_eq!(wait(due, Some(now)), Duration::from_millis(1));
}

#[test]
fn a_short_watch_that_died_is_followed_by_a_read_within_the_settle_time() {
    let mut random = SmallRng::seed_from_u64(1);
    for settle_time in [2, 3, 5, 8] {
        let settle_time = Duration::from_secs(settle_time);
        let mut schedule = ReadSchedule::new(settle_time);
        let wait = schedule.watch_wait(Instant::now(), WatchLength::Short, None);
        let pause = schedule.record_failure(&mut random);
        assert!(wait + WATCH_TIMEOUT_MARGIN + pause < settle_time);
    }
}

#[test]
fn watches_after_a_failed_read_return_at_once_until_one_succeeds() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(SETTLE_TIME);
    schedule.record_failure(&mut SmallRng::seed_from_u64(1));
    let first = schedule.watch_wait(now, WatchLength::Long, None);
    assert_eq!(first, Duration::from_millis(1));
    schedule.record_success();
    let next = schedule.watch_wait(now, WatchLength::Long, None);
    assert_eq!(next, Duration::from_secs(12));
}

#[test]
fn a_removal_is_not_held_back_because_a_failed_read_took_long() {
    let started = Instant::now();
    let failed = started + Duration::from_millis(12_700);
    let mut entries = PendingRemovals::new(HOLD_MAX);
    entries.record_outage(started, failed);
    entries.record_removal(failed, removed("u1"));
    assert_eq!(entries.take_confirmed(failed), vec![removed("u1")]);
}
