//! The schedule of the reads of the store, and removals that are held back after an outage.

use lagoonshore_coordination::forwarding::{
    pending_removals::{PendingRemovals, RemovedEntry},
    read_schedule::{BATCH_TIME, BEHIND_TIMEOUT, ReadSchedule, WATCH_TIMEOUT_MARGIN, WatchLength},
    store_watchers::{self, FOLLOW_TIMEOUT_MARGIN, FollowSchedule},
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

/// Guards against a hold that ends before entries may have returned, or after a node that was cut off has to be up to
/// date, wherever the end of the cut lies between the last read without a response and the first with one.
#[test]
fn a_removal_is_held_back_for_as_long_as_both_causes_of_failed_reads_allow() {
    const RETURN_TIME: Duration = Duration::from_secs(2);
    let hold_max = SETTLE_TIME.saturating_sub(Duration::from_millis(200));
    let lost = Instant::now();
    for gap in [0, 100, 300, 430, 490].map(Duration::from_millis) {
        let answered = lost + gap;
        let mut entries = PendingRemovals::new(hold_max);
        entries.record_outage(lost, answered);
        entries.record_removal(answered, removed("u1"));
        let confirmed = entries
            .next_confirmation()
            .expect("the removal is held back");
        assert!(confirmed >= answered + RETURN_TIME, "{gap:?}");
        assert!(confirmed <= lost + hold_max, "{gap:?}");
    }
}

#[test]
fn pauses_after_failed_reads_grow_to_a_maximum_and_reset() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut backoff = ReadSchedule::new(SETTLE_TIME);
    for mean in [60, 120, 240, 430, 430, 430] {
        let mean = Duration::from_millis(mean);
        let pause = backoff.record_failure(&mut random);
        assert!(
            pause >= mean.mul_f64(0.7) && pause < mean.mul_f64(1.3),
            "{pause:?}"
        );
    }
    backoff.record_success(Instant::now());
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

/// Guards against a removal that waits for the end of the pause in which changes are collected.
#[test]
fn the_pause_after_changes_ends_when_the_next_step_is_due() {
    let now = Instant::now();
    let due = now + BATCH_TIME / 2;
    assert_eq!(ReadSchedule::batch_pause(now, None), BATCH_TIME);
    assert_eq!(
        ReadSchedule::batch_pause(now, Some(now + BATCH_TIME * 2)),
        BATCH_TIME
    );
    assert_eq!(ReadSchedule::batch_pause(now, Some(due)), BATCH_TIME / 2);
    assert_eq!(ReadSchedule::batch_pause(due, Some(now)), Duration::ZERO);
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

/// Guards against a silent connection that is noticed late because it was used again only after the
/// pause that follows a change; others have to hear of what was missed, and read it, in time as well.
#[test]
fn a_connection_that_went_silent_after_a_change_is_noticed_as_soon_as_in_a_watch() {
    let mut random = SmallRng::seed_from_u64(1);
    for settle_time in [3, 4, 5, 8] {
        let settle_time = Duration::from_secs(settle_time);
        let mut schedule = ReadSchedule::new(settle_time);
        let response = Instant::now();
        schedule.record_success(response);
        let next = response + BATCH_TIME;
        let times = schedule.watch_times(next, WatchLength::Short, None);
        let pause = schedule.record_failure(&mut random);
        let noticed = BATCH_TIME + times.timeout + pause;
        assert!(noticed + BEHIND_TIMEOUT < settle_time, "{noticed:?}");
    }
}

#[test]
fn a_node_that_hears_nothing_of_its_watcher_reads_within_the_view_time() {
    for view_time in [1.5, 2.0, 2.5, 3.0, 11.0].map(Duration::from_secs_f64) {
        let schedule = FollowSchedule::new(view_time, Duration::from_secs(1));
        assert_eq!(schedule.timeout, schedule.wait + FOLLOW_TIMEOUT_MARGIN);
        assert!(schedule.timeout < view_time, "{schedule:?}");
    }
}

#[test]
fn a_watcher_that_reads_as_often_as_it_should_is_followed() {
    for settle_time in [3, 4, 5, 8] {
        let schedule = ReadSchedule::new(Duration::from_secs(settle_time));
        let watch = schedule.watch_times(Instant::now(), WatchLength::Short, None);
        let follow = FollowSchedule::new(Duration::from_secs(2), schedule.short_wait());
        assert!(watch.timeout < follow.read_age_max);
    }
}

/// Reads of the store and calls to watchers, for a fleet at rest in five availability zones, and calls to
/// the busiest watcher; each a second.
fn load_at_rest(nodes: u16) -> (f64, f64, f64) {
    const ZONES: u16 = 5;
    let in_zone = usize::from(nodes.div_ceil(ZONES));
    let schedule = ReadSchedule::new(SETTLE_TIME);
    let rate = |wait: Duration| 1.0 / wait.as_secs_f64();
    let now = Instant::now();
    let long_wait = schedule.watch_wait(now, WatchLength::Long, None);
    let watchers = store_watchers::watcher_count(in_zone);
    let followers = f64::from(u16::try_from(in_zone - watchers).expect("a small zone"));
    let watchers = f64::from(u16::try_from(watchers).expect("a small zone"));
    let reads = watchers * rate(schedule.short_wait()) + followers * rate(long_wait);
    let follow = FollowSchedule::new(Duration::from_secs(2), schedule.short_wait());
    let calls = followers * rate(follow.wait);
    let zones = f64::from(ZONES);
    (reads * zones, calls * zones, calls / watchers)
}

/// Guards against a load of the store or of a watcher that grows out of bounds with the fleet.
#[test]
fn the_load_of_a_fleet_at_rest_stays_within_bounds() {
    let loads = [15, 96, 300, 820].map(|nodes| {
        let (reads, calls, busiest) = load_at_rest(nodes);
        format!("{nodes} nodes: {reads:.1} reads, {calls:.1} calls, {busiest:.1} to one watcher")
    });
    assert_eq!(
        loads,
        [
            "15 nodes: 4.7 reads, 7.7 calls, 1.5 to one watcher",
            "96 nodes: 11.8 reads, 73.1 calls, 14.6 to one watcher",
            "300 nodes: 31.9 reads, 223.1 calls, 22.3 to one watcher",
            "820 nodes: 88.9 reads, 607.7 calls, 20.3 to one watcher",
        ]
    );
}

/// Guards against a cut whose end is known too late for the hold of removals, and against reads of a large fleet
/// beyond what the store allows in an outage.
#[test]
fn reads_in_an_outage_are_frequent_enough_and_few_enough() {
    const INTERVAL_MAX: f64 = 0.5;
    const NODES: f64 = 820.0;
    const READS_ALLOWED: f64 = 2000.0;
    const COUNT: u16 = 1000;
    let mut random = SmallRng::seed_from_u64(1);
    let schedule = ReadSchedule::new(SETTLE_TIME);
    let intervals = (0..COUNT).map(|_| schedule.read_interval(&mut random).as_secs_f64());
    let intervals: Vec<f64> = intervals.collect();
    assert!(intervals.iter().all(|interval| *interval < INTERVAL_MAX));
    let total: f64 = intervals.iter().sum();
    let rate = NODES * f64::from(COUNT) / total;
    assert!(rate < READS_ALLOWED, "{rate}");
}

/// Guards against a departure that is applied late because a watch was cut a moment before it.
#[test]
fn a_failed_read_is_no_outage_if_the_store_answered_a_moment_ago() {
    const EXPIRY_MIN: Duration = Duration::from_secs(3);
    let answered = Instant::now();
    let mut entries = PendingRemovals::new(HOLD_MAX).with_expiry(EXPIRY_MIN);
    let cut = answered + Duration::from_millis(2600);
    entries.record_failed_read(answered, answered, cut);
    entries.record_removal(cut, removed("u1"));
    assert_eq!(entries.take_confirmed(cut), vec![removed("u1")]);
    let back = answered + EXPIRY_MIN;
    entries.record_failed_read(answered, back, back);
    entries.record_removal(back, removed("u2"));
    assert_eq!(entries.take_confirmed(back), vec![]);
}

#[test]
fn an_abandoned_watch_is_followed_by_a_read_that_returns_at_once() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(SETTLE_TIME);
    schedule.record_abandoned();
    assert!(schedule.is_immediate());
    let times = schedule.watch_times(now, WatchLength::Long, None);
    assert_eq!(times.wait, Duration::from_millis(1));
    schedule.record_success(now);
    assert!(!schedule.is_immediate());
}

#[test]
fn watches_after_a_failed_read_return_at_once_until_one_succeeds() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(SETTLE_TIME);
    schedule.record_failure(&mut SmallRng::seed_from_u64(1));
    let first = schedule.watch_wait(now, WatchLength::Long, None);
    assert_eq!(first, Duration::from_millis(1));
    schedule.record_success(now);
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
