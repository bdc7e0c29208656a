//! Calls that a running request and the requests before it in the chain still have to make.

use lagoonshore_relay::serving::running_table::{CallTotals, RunningRequest, RunningTable};
use rstest::rstest;
use std::rc::Rc;

#[rstest]
#[case::unknown(None, 0, 0, None)]
#[case::first_call(Some(4), 0, 0, Some(4))]
#[case::last_call(Some(4), 0, 3, Some(1))]
#[case::more_calls_than_expected(Some(4), 0, 9, Some(1))]
#[case::calls_after_it(Some(4), 5, 1, Some(8))]
fn calls_left_are_those_of_the_run_and_of_its_chain(
    #[case] calls_expected: Option<u32>,
    #[case] calls_after: u32,
    #[case] calls_made: u32,
    #[case] calls_left: Option<u32>,
) {
    let table = Rc::<RunningTable>::default();
    let request = RunningRequest {
        calls_expected,
        calls_after,
        ..RunningRequest::default()
    };
    let _entry = table.insert(&"r1".into(), request);
    for call in 0..calls_made {
        table.record_call(&format!("r1.{call}"), '.', CallTotals::default());
    }
    let parent = table.parent_of("r1.9", '.').expect("r1 is running");
    assert_eq!(parent.calls_left(), calls_left);
}
