//! Reads that overlap while the path to the store is cut.

use lagoonshore_relay::store_view::overlapping_reads::OverlappingReads;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Time between the starts of two reads.
const INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of each read.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time of a response on a sound path.
const RESPONSE_TIME: Duration = Duration::from_millis(5);

/// A read over a path that is cut until `healed_at`, which loses what is sent before; returns whether it succeeds.
async fn read(healed_at: Instant) -> bool {
    let is_cut = Instant::now() < healed_at;
    tokio::time::sleep(if is_cut { READ_TIMEOUT } else { RESPONSE_TIME }).await;
    !is_cut
}

/// Guards against an end of a cut that is known only to within the timeout of a read.
#[rstest]
#[case::at_once(0)]
#[case::right_after_a_read(601)]
#[case::before_a_read(899)]
#[case::in_a_long_cut(7450)]
#[tokio::test(start_paused = true)]
async fn the_end_of_a_cut_lies_between_the_latest_lost_read_and_the_response(#[case] cut_ms: u64) {
    let begun = Instant::now();
    let healed_at = begun + Duration::from_millis(cut_ms);
    let mut reads = OverlappingReads::default();
    let mut next_start = begun;
    let lost = loop {
        if next_start <= Instant::now() {
            reads.start(read(healed_at));
            next_start += INTERVAL;
        }
        match reads.next_finished(next_start).await {
            Some(true) => break reads.record_response(),
            Some(false) => reads.record_failed(Instant::now() - READ_TIMEOUT),
            None => {}
        }
    };
    assert!(Instant::now() <= healed_at + INTERVAL + RESPONSE_TIME);
    let expected = (cut_ms > 0).then_some(healed_at - INTERVAL);
    assert!(lost >= expected && lost <= Some(healed_at), "{lost:?}");
}

#[tokio::test(start_paused = true)]
async fn a_read_that_another_one_overtakes_is_not_lost() {
    let now = Instant::now();
    let mut reads = OverlappingReads::default();
    reads.start(read(now + INTERVAL));
    assert_eq!(reads.next_finished(now + INTERVAL).await, None);
    reads.start(read(now));
    reads.start(async {
        tokio::time::sleep(RESPONSE_TIME * 2).await;
        true
    });
    assert_eq!(reads.next_finished(now + READ_TIMEOUT).await, Some(true));
    assert_eq!(reads.record_response(), Some(now));
    assert_eq!(
        reads.record_response(),
        None,
        "the response ended all reads"
    );
    assert_eq!(reads.next_finished(now + READ_TIMEOUT).await, None);
}
