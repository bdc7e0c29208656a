//! Memory of bodies that arrive: what is counted, and whose body is given up.

use lagoonshore_transport::{
    body_memory::{BodyMemory, MemoryError},
    memory_budget::{MemoryBudget, UNCOUNTED_BYTES},
    memory_report::{HeldMemory, MemoryHolder, MessageKind},
};
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};
use tokio::sync::Notify;

const BUDGET_BYTES: usize = 1024 * 1024;
/// Size of a body of which the budget holds one.
const LARGE_BYTES: usize = 700 * 1024;

fn caller(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn arriving(budget: &MemoryBudget, number: u8) -> (BodyMemory, Arc<Notify>) {
    let given_up = Arc::<Notify>::default();
    let holder = MemoryHolder::Caller(caller(number));
    let share = budget.request_share().held_by(holder);
    let body = BodyMemory::arriving(share, caller(number), Arc::clone(&given_up));
    (body, given_up)
}

fn write(body: &mut BodyMemory, bytes: usize) -> Result<(), MemoryError> {
    body.write_with(bytes, LARGE_BYTES, |target| {
        target.extend(std::iter::repeat_n(b'x', bytes));
    })
}

#[tokio::test(start_paused = true)]
async fn a_body_that_stopped_is_given_up_for_one_that_asks() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut stopped, given_up) = arriving(&budget, 1);
    stopped.reserve(LARGE_BYTES).expect("memory");
    write(&mut stopped, LARGE_BYTES - 1).expect("memory");
    let (mut early, _) = arriving(&budget, 1);
    assert_eq!(early.reserve(LARGE_BYTES), Err(MemoryError::Full));
    tokio::time::advance(Duration::from_secs(2)).await;
    let (mut other, _) = arriving(&budget, 1);
    other.reserve(LARGE_BYTES).expect("memory of the first");
    given_up.notified().await;
    assert_eq!(write(&mut stopped, 1), Err(MemoryError::GivenUp));
    assert_eq!(stopped.keep(), Err(MemoryError::GivenUp));
    drop((stopped, early, other));
    assert_eq!(budget.free(), BUDGET_BYTES);
    assert_eq!(budget.report().given_up, 1);
}

#[tokio::test(start_paused = true)]
async fn a_complete_body_is_kept_until_it_is_dropped() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut complete, _) = arriving(&budget, 1);
    write(&mut complete, LARGE_BYTES).expect("memory");
    complete.keep().expect("kept");
    tokio::time::advance(Duration::from_mins(1)).await;
    let (mut other, _) = arriving(&budget, 2);
    assert_eq!(other.reserve(LARGE_BYTES), Err(MemoryError::Full));
    let bytes = complete.finish();
    assert_eq!(bytes.len(), LARGE_BYTES);
    let held = HeldMemory {
        holder: MemoryHolder::Caller(caller(1)),
        kind: MessageKind::Request,
        bytes: LARGE_BYTES - UNCOUNTED_BYTES,
    };
    assert_eq!(budget.report().largest, [held]);
    drop(bytes);
    assert!(budget.report().largest.is_empty());
    other.reserve(LARGE_BYTES).expect("memory of the first");
}

/// Guards against memory that is counted by the length while more is reserved.
#[tokio::test(start_paused = true)]
async fn the_capacity_of_a_growing_body_is_counted() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut body, _) = arriving(&budget, 1);
    for length in 1..=80_000 {
        write(&mut body, 1).expect("memory");
        assert!(BUDGET_BYTES - budget.free() + UNCOUNTED_BYTES >= length);
    }
    assert_eq!(BUDGET_BYTES - budget.free(), 256 * 1024 - UNCOUNTED_BYTES);
    body.keep().expect("kept");
    assert_eq!(BUDGET_BYTES - budget.free(), 80_000 - UNCOUNTED_BYTES);
}

/// Guards against small bodies that are given up although none of their memory is counted.
#[tokio::test(start_paused = true)]
async fn a_body_that_frees_nothing_is_not_given_up() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut small, _) = arriving(&budget, 1);
    write(&mut small, 100).expect("memory");
    let (mut stopped, given_up) = arriving(&budget, 1);
    stopped.reserve(LARGE_BYTES).expect("memory");
    tokio::time::advance(Duration::from_secs(2)).await;
    let (mut other, _) = arriving(&budget, 1);
    other.reserve(LARGE_BYTES).expect("memory of the large one");
    given_up.notified().await;
    assert_eq!(budget.report().given_up, 1);
    small.keep().expect("kept");
}

/// Guards against a large body that claims many times what it needs, and is refused for it.
#[tokio::test(start_paused = true)]
async fn a_large_growing_body_claims_at_most_twice_its_length() {
    const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;
    const PIECE_BYTES: usize = 16 * 1024;
    const LARGE_CAPACITY_BYTES: usize = 2 * 1024 * 1024;
    let budget = MemoryBudget::new(BODY_BYTES_MAX);
    let (mut body, _) = arriving(&budget, 1);
    for _ in 0..17 * 1024 * 1024 / PIECE_BYTES {
        let written = body.write_with(PIECE_BYTES, BODY_BYTES_MAX, |target| {
            target.extend(std::iter::repeat_n(b'x', PIECE_BYTES));
        });
        written.expect("memory");
        let held = BODY_BYTES_MAX - budget.free() + UNCOUNTED_BYTES;
        assert!(held <= LARGE_CAPACITY_BYTES || held < 2 * body.len());
    }
}

/// Guards against responses of unknown length that count the room to grow until they are delivered.
#[test]
fn a_complete_response_counts_its_length() {
    let budget = MemoryBudget::new(4 * BUDGET_BYTES);
    let mut body = BodyMemory::counted(budget.share());
    for _ in 0..75 {
        write(&mut body, 4 * 1024).expect("memory");
    }
    let bytes = body.finish();
    assert_eq!(bytes.len(), 300 * 1024);
    assert_eq!(
        4 * BUDGET_BYTES - budget.free(),
        300 * 1024 - UNCOUNTED_BYTES
    );
    drop(bytes);
    assert_eq!(budget.free(), 4 * BUDGET_BYTES);
}

/// A response, for which work was done, takes the memory of a request that keeps its pace.
#[tokio::test(start_paused = true)]
async fn a_response_goes_before_requests_that_arrive() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut request, given_up) = arriving(&budget, 1);
    write(&mut request, LARGE_BYTES).expect("memory");
    assert!(budget.share().extend_to(600 * 1024));
    given_up.notified().await;
    assert_eq!(request.keep(), Err(MemoryError::GivenUp));
}

/// Guards against fields of a request that are held and not counted, because its body is empty.
#[tokio::test(start_paused = true)]
async fn what_is_held_beside_an_empty_body_is_counted() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let share = budget.request_share().with_beside(10 * 1024);
    let mut body = BodyMemory::arriving(share, caller(1), Arc::default());
    body.reserve(0).expect("memory");
    let counted = 10 * 1024 - UNCOUNTED_BYTES;
    assert_eq!(BUDGET_BYTES - budget.free(), counted);
    let bytes = body.finish();
    assert_eq!(BUDGET_BYTES - budget.free(), counted);
    drop(bytes);
    assert_eq!(budget.free(), BUDGET_BYTES);
}

/// Guards against requests that are given up for responses that nobody reads.
#[tokio::test(start_paused = true)]
async fn responses_that_hold_half_of_the_memory_leave_requests_theirs() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut request, _) = arriving(&budget, 1);
    write(&mut request, 60 * 1024).expect("memory");
    let mut unread: Vec<_> = (0..32).map(|_| budget.share()).collect();
    let taken = unread.iter_mut().map(|share| share.extend_to(68 * 1024));
    let count = taken.filter(|is_taken| *is_taken).count();
    assert!((8..13).contains(&count), "{count} responses");
    assert!(budget.is_nearly_used_up(), "callers have to read at a pace");
    request.keep().expect("kept");
    drop(unread);
    assert!(budget.share().extend_to(600 * 1024));
}
