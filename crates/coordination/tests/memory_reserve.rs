//! How much of the memory a message leaves to others.

use lagoonshore_coordination::protection::memory_reserve::MessageClaim;
use rstest::rstest;

const TOTAL_BYTES: usize = 16 * 1024 * 1024;
const RESERVE_BYTES: usize = TOTAL_BYTES / 16;
const SMALL_BYTES: usize = 64 * 1024;

const fn response(length: usize, others: usize) -> MessageClaim {
    MessageClaim::Response { length, others }
}

#[rstest]
#[case::small_request(MessageClaim::Request { length: SMALL_BYTES }, 1, true)]
#[case::large_request(MessageClaim::Request { length: SMALL_BYTES + 1 }, 2, true)]
#[case::small_response(response(SMALL_BYTES, 0), 0, true)]
#[case::small_response_beside_a_crowd(response(SMALL_BYTES, TOTAL_BYTES), 0, true)]
#[case::large_response(response(SMALL_BYTES + 1, TOTAL_BYTES / 2 - 1), 1, true)]
#[case::large_response_beside_a_crowd(response(SMALL_BYTES + 1, TOTAL_BYTES / 2), 3, false)]
#[case::response_that_takes_most_alone(response(TOTAL_BYTES / 8 * 7, 0), 1, true)]
fn a_message_leaves_reserves_to_others(
    #[case] claim: MessageClaim,
    #[case] reserves: usize,
    #[case] may_displace: bool,
) {
    assert_eq!(claim.left_to_others(TOTAL_BYTES), reserves * RESERVE_BYTES);
    assert_eq!(claim.may_displace(TOTAL_BYTES), may_displace);
}

/// Guards against responses that are not read, whose memory goes to the next ones, so that requests of
/// others find none.
#[test]
fn responses_leave_room_for_a_large_request() {
    let length = 1024 * 1024;
    let mut held = 0;
    while held + length + response(length, held).left_to_others(TOTAL_BYTES) <= TOTAL_BYTES {
        held += length;
    }
    let request = MessageClaim::Request { length };
    assert!(held + length + request.left_to_others(TOTAL_BYTES) <= TOTAL_BYTES);
}
