//! Estimated age of messages between processes with unsynchronised clocks, clock drift and pauses.

use lagoonshore_coordination::at_most_once::message_age::AgeEstimator;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const SENDER: u64 = 7;
const OFFSET: Duration = Duration::from_secs(5000);

/// A sender and the estimator of a receiver, whose clock is `OFFSET` behind the sender's.
struct ClockPair {
    start: Instant,
    estimator: AgeEstimator,
}

impl ClockPair {
    fn new() -> Self {
        let start = Instant::now();
        let estimator = AgeEstimator::new(start);
        Self { start, estimator }
    }

    /// Estimated age of a message sent at `sent` and read at `read`, all in milliseconds.
    fn age(&mut self, sent: u64, read: u64) -> u128 {
        let stamp = OFFSET + Duration::from_millis(sent);
        let stamp = u64::try_from(stamp.as_micros()).expect("stamp must fit in 64 bits");
        let now = self.start + Duration::from_millis(read);
        self.estimator.age(now, SENDER, stamp).as_millis()
    }
}

#[test]
fn a_message_read_after_a_pause_has_the_age_of_the_pause() {
    let mut pair = ClockPair::new();
    assert_eq!(pair.age(0, 1), 0);
    assert_eq!(pair.age(100, 101), 0);
    // The receiver is paused from 150 ms to 30 000 ms; the messages wait in its socket buffer.
    assert_eq!(pair.age(200, 30_000), 29_799);
    assert_eq!(pair.age(20_000, 30_001), 10_000);
    assert_eq!(pair.age(30_100, 30_101), 0);
}

#[rstest]
#[case::shorter_than_a_window(50_000)]
#[case::longer_than_two_windows(600_000)]
fn a_long_pause_does_not_change_the_estimated_clock_offset(#[case] pause: u64) {
    let mut pair = ClockPair::new();
    pair.age(0, 1);
    for message in 0..100 {
        let age = pair.age(100 + message, 101 + pause + message);
        assert_eq!(age, u128::from(pause));
    }
}

#[test]
fn clock_drift_does_not_accumulate() {
    let mut pair = ClockPair::new();
    let day = 24 * 60 * 60;
    // The receiver's clock runs fast by 100 ppm.
    let oldest = (0..day)
        .step_by(10)
        .map(|second| pair.age(second * 1000, second * 1000 + second / 10))
        .max();
    assert!(oldest.is_some_and(|age| age <= 13), "{oldest:?} ms");
}

#[test]
fn clock_offsets_are_estimated_per_sender() {
    let mut pair = ClockPair::new();
    pair.age(0, 1);
    let now = pair.start + Duration::from_millis(1);
    assert_eq!(pair.estimator.age(now, SENDER + 1, 0), Duration::ZERO);
}
