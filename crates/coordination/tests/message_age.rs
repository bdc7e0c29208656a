//! Age of messages between processes whose clocks are not synchronised and which may pause.

use lagoonshore_coordination::at_most_once::message_age::AgeEstimator;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const SENDER: u64 = 7;
const OFFSET: Duration = Duration::from_secs(5000);

/// Two processes; `ages` belongs to the receiver, whose clock lags the sender's by `OFFSET`.
struct ClockPair {
    start: Instant,
    ages: AgeEstimator,
}

impl ClockPair {
    fn new() -> Self {
        let start = Instant::now();
        let ages = AgeEstimator::new(start);
        Self { start, ages }
    }

    /// Age in milliseconds of a message sent and read at these milliseconds.
    fn age(&mut self, sent: u64, read: u64) -> u128 {
        let stamp = OFFSET + Duration::from_millis(sent);
        let stamp = u64::try_from(stamp.as_micros()).expect("a small number");
        let now = self.start + Duration::from_millis(read);
        self.ages.age(now, SENDER, stamp).as_millis()
    }
}

#[test]
fn a_message_read_after_a_pause_has_the_age_of_the_pause() {
    let mut pair = ClockPair::new();
    assert_eq!(pair.age(0, 1), 0);
    assert_eq!(pair.age(100, 101), 0);
    // The receiver stands still from 150 to 30 000; the messages wait in its buffers.
    assert_eq!(pair.age(200, 30_000), 29_799);
    assert_eq!(pair.age(20_000, 30_001), 10_000);
    assert_eq!(pair.age(30_100, 30_101), 0);
}

#[rstest]
#[case::shorter_than_a_window(50_000)]
#[case::longer_than_two_windows(600_000)]
fn a_long_pause_does_not_make_old_messages_the_measure(#[case] pause: u64) {
    let mut pair = ClockPair::new();
    pair.age(0, 1);
    for message in 0..100 {
        let age = pair.age(100 + message, 101 + pause + message);
        assert_eq!(age, u128::from(pause));
    }
}

#[test]
fn drift_of_the_clocks_does_not_add_up() {
    let mut pair = ClockPair::new();
    let day = 24 * 60 * 60;
    // The receiver's clock gains 100 parts in a million.
    let oldest = (0..day)
        .step_by(10)
        .map(|second| pair.age(second * 1000, second * 1000 + second / 10))
        .max();
    assert!(oldest.is_some_and(|age| age <= 13), "{oldest:?} ms");
}

#[test]
fn senders_have_their_own_clocks() {
    let mut pair = ClockPair::new();
    pair.age(0, 1);
    let now = pair.start + Duration::from_millis(1);
    assert_eq!(pair.ages.age(now, SENDER + 1, 0), Duration::ZERO);
}
