//! Whose place is given up when a shared resource is used up, and how long a request may take to arrive.

use lagoonshore_coordination::protection::{
    room_sharing::{HolderStanding, RoomClaim, RoomHolder, choose_given_up},
    transfer_progress::{TransferLimits, TransferProgress},
};
use rstest::rstest;
use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};
use tokio::time::Instant;

const LIMITS: TransferLimits = TransferLimits {
    stall_time: Duration::from_secs(3),
    whole_time: Duration::from_secs(30),
    bytes_per_second: 1000,
};

fn caller(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn holders(rows: &[(u8, usize, HolderStanding)]) -> Vec<RoomHolder<usize>> {
    let holder =
        |(key, (number, held, standing)): (usize, &(u8, usize, HolderStanding))| RoomHolder {
            key,
            caller: caller(*number),
            held: *held,
            standing: *standing,
        };
    rows.iter().enumerate().map(holder).collect()
}

fn chosen(rows: &[(u8, usize, HolderStanding)], number: u8, missing: usize) -> Vec<usize> {
    let claim = RoomClaim {
        caller: Some(caller(number)),
        missing,
    };
    choose_given_up(&holders(rows), claim)
}

#[test]
fn the_slowest_go_first_then_idle_ones() {
    use HolderStanding::{Active, Fixed, Idle, Slow};
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let rows = [
        (1, 5, Active),
        (1, 5, Idle(now)),
        (1, 5, Slow(later)),
        (1, 5, Slow(now)),
        (1, 5, Fixed),
    ];
    assert_eq!(chosen(&rows, 2, 3), [3]);
    assert_eq!(chosen(&rows, 1, 10), [3, 2]);
    assert_eq!(chosen(&rows, 1, 15), [3, 2, 1]);
}

/// Guards against an address that opens many idle connections and pushes out older ones of others.
#[rstest]
#[case::address_that_holds_most(3, &[2])]
#[case::same_address(1, &[2])]
#[case::oldest_of_equal_shares(3, &[2, 0])]
fn idle_holders_of_the_address_that_holds_most_go_first(
    #[case] number: u8,
    #[case] expected: &[usize],
) {
    use HolderStanding::{Active, Fixed, Idle};
    let at = |seconds| Idle(Instant::now() + Duration::from_secs(seconds));
    let rows = [
        (2, 1, at(0)),
        (2, 1, Active),
        (1, 1, at(1)),
        (1, 1, at(2)),
        (1, 1, Fixed),
    ];
    assert_eq!(chosen(&rows, number, expected.len()), expected);
}

/// Guards against an address that holds as much as another one and takes an idle place from it.
#[test]
fn an_address_with_an_equal_share_gives_up_its_own_idle_place() {
    let now = Instant::now();
    let later = HolderStanding::Idle(now + Duration::from_secs(1));
    let rows = [(1, 1, HolderStanding::Idle(now)), (2, 1, later)];
    assert_eq!(chosen(&rows, 2, 1), [1]);
    assert_eq!(chosen(&rows, 3, 1), [0]);
}

#[rstest]
#[case::same_address(1, 5, &[])]
#[case::other_address(2, 5, &[1])]
#[case::as_much_as_the_largest_keeps(2, 15, &[0, 1])]
#[case::more_than_the_largest_keeps(2, 20, &[])]
fn an_address_that_holds_most_gives_way(
    #[case] number: u8,
    #[case] missing: usize,
    #[case] expected: &[usize],
) {
    use HolderStanding::{Active, Fixed};
    let rows = [(1, 10, Active), (1, 5, Active), (1, 15, Fixed)];
    assert_eq!(chosen(&rows, number, missing), expected);
}

/// Guards against many small bodies that go where one large one would do.
#[rstest]
#[case::one_large(20, &[4])]
#[case::smallest_that_suffices(2, &[0])]
#[case::largest_and_the_rest(22, &[4, 0])]
fn few_holders_give_way(#[case] missing: usize, #[case] expected: &[usize]) {
    use HolderStanding::{Active, Fixed};
    let small = (1, 2, Active);
    let rows = [
        small,
        (1, 3, Active),
        (1, 3, Active),
        (1, 3, Active),
        (1, 20, Active),
        (1, 50, Fixed),
    ];
    assert_eq!(chosen(&rows, 2, missing), expected);
}

/// Guards against a slow holder that goes beside one without which there is no room.
#[test]
fn what_is_not_needed_is_kept() {
    let rows = [
        (1, 5, HolderStanding::Slow(Instant::now())),
        (1, 20, HolderStanding::Active),
        (1, 50, HolderStanding::Fixed),
    ];
    assert_eq!(chosen(&rows, 2, 20), [1]);
    assert!(chosen(&rows, 2, 0).is_empty());
}

#[test]
fn nothing_is_given_up_in_vain() {
    let rows = [(1, 5, HolderStanding::Slow(Instant::now()))];
    assert!(chosen(&rows, 2, 6).is_empty());
}

#[test]
fn a_request_that_stops_or_trickles_is_slow_and_ends() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut progress = TransferProgress::new(start);
    progress.record(start, 10_000, 16_000);
    assert_eq!(progress.slow_since(start), None);
    assert_eq!(progress.deadline(&LIMITS), at(3));
    for second in 1..60 {
        progress.record(at(second), 1, 16_000);
    }
    assert_eq!(progress.slow_since(at(59)), Some(at(1)));
    assert_eq!(progress.deadline(&LIMITS), at(40));
}

#[test]
fn a_request_that_keeps_its_pace_is_not_slow() {
    let start = Instant::now();
    let mut progress = TransferProgress::new(start);
    for step in 1..=40 {
        let now = start + Duration::from_millis(500) * step;
        progress.record(now, 1000, 16_000);
        assert_eq!(progress.slow_since(now), None);
        assert!(progress.deadline(&LIMITS) > now);
    }
    assert_eq!(progress.moved(), 40_000);
}

/// Guards against a pace that is next to nothing for small bodies, and out of reach for large ones.
#[rstest]
#[case::trickled_chunks(1, 2, true)]
#[case::small_body(600, 8 * 1024, false)]
#[case::large_body_on_a_slow_link(300 * 1024, 64 * 1024 * 1024, false)]
#[case::large_body_that_trickles(2 * 1024, 64 * 1024 * 1024, true)]
fn the_pace_has_bounds(
    #[case] bytes_per_second: usize,
    #[case] held: usize,
    #[case] is_slow: bool,
) {
    let start = Instant::now();
    let mut progress = TransferProgress::new(start);
    let mut now = start;
    for _ in 0..10 {
        now += Duration::from_secs(1);
        progress.record(now, bytes_per_second, held);
    }
    assert_eq!(progress.slow_since(now).is_some(), is_slow);
}

#[test]
fn work_that_was_taken_on_goes_before_requests_that_arrive() {
    let rows = [
        (1, 5, HolderStanding::Active),
        (2, 8, HolderStanding::Fixed),
    ];
    let claim = |missing| RoomClaim {
        caller: None,
        missing,
    };
    assert_eq!(choose_given_up(&holders(&rows), claim(5)), [0]);
    assert!(choose_given_up(&holders(&rows), claim(6)).is_empty());
}
