//! What operators are told of the admission of a request at an instance.

use lagoonshore_coordination::placing::{
    completion::InstanceLoad,
    explanation::{CandidateExplanation, ExpectedAdmission},
};
use lagoonshore_state::instance_table::InstanceKey;
use rstest::rstest;
use std::time::Duration;

const LEFT: Duration = Duration::from_secs(1);

#[rstest]
#[case::free((true, true, true), 7.0, ExpectedAdmission::Runs)]
#[case::full((true, true, true), 8.0, ExpectedAdmission::Waits)]
#[case::long_queue((true, true, true), 100.0, ExpectedAdmission::TooLate)]
#[case::no_report((true, true, false), 0.0, ExpectedAdmission::Unknown)]
#[case::unhealthy((false, false, true), 0.0, ExpectedAdmission::NotSent)]
#[case::none_healthy((true, false, true), 8.0, ExpectedAdmission::Waits)]
#[case::other_zone((false, true, true), 7.0, ExpectedAdmission::Runs)]
fn the_load_that_places_a_request_tells_its_admission(
    #[case] (is_eligible, is_healthy, is_reported): (bool, bool, bool),
    #[case] requests: f64,
    #[case] expected: ExpectedAdmission,
) {
    let load = InstanceLoad {
        requests,
        limit: 8.0,
        hold_seconds: 0.1,
    };
    let candidate = CandidateExplanation {
        key: InstanceKey::default(),
        is_eligible,
        is_healthy,
        is_reported,
        load,
        completion_seconds: load.completion_seconds(0.1),
        weight: 1.0,
    };
    assert_eq!(candidate.admission(LEFT), expected);
}
