//! Admission levels: relaxing by parts and by age, and the strictest level of a call graph.

use lagoonshore_coordination::admission::level_table::LevelTable;
use lagoonshore_state::{
    admission_level::{self, AdmissionLevel},
    units::RequestImportance,
};
use std::time::Duration;
use tokio::time::Instant;

/// Hashes of the empty id, `parent-1` and `parent-2`.
const CALLER_HASHES: [u64; 3] = [
    12_049_287_744_262_065_422,
    17_601_426_408_787_538_845,
    16_320_404_013_509_520_951,
];

const fn level(importance: u8, parts: u16) -> AdmissionLevel {
    AdmissionLevel {
        importance: RequestImportance(importance),
        parts,
    }
}

#[test]
fn the_hash_of_a_caller_is_the_same_at_all_nodes() {
    // The hash is part of the protocol: nodes of different versions must compute the same value.
    let parts = ["", "parent-1", "parent-2"].map(admission_level::caller_hash);
    assert_eq!(parts, CALLER_HASHES);
}

#[rstest::rstest]
#[case(level(3, 341), 64, level(3, 405))]
#[case(level(3, 1000), 64, level(4, 40))]
#[case(level(3, 960), 64, level(3, 1024))]
#[case(level(3, 1024), 1, level(4, 1))]
#[case(level(0, 64), 256, level(0, 320))]
#[case(level(7, 1000), 64, AdmissionLevel::ADMIT_ALL)]
#[case(AdmissionLevel::ADMIT_ALL, 1 << 20, AdmissionLevel::ADMIT_ALL)]
fn a_level_is_relaxed_across_importances(
    #[case] before: AdmissionLevel,
    #[case] parts: u32,
    #[case] after: AdmissionLevel,
) {
    assert_eq!(before.relaxed(parts), after);
}

#[test]
fn a_class_has_the_strictest_level_until_the_reports_age() {
    let now = Instant::now();
    let mut table = LevelTable::default();
    let class = "day-view".into();
    table.record(now, &class, &"medication-log".into(), level(4, 1024));
    table.record(now, &class, &"kitchen-board".into(), level(3, 100));
    assert_eq!(table.route_level(now, "day-view"), level(3, 100));
    assert_eq!(
        table.route_level(now, "dose-entry"),
        AdmissionLevel::ADMIT_ALL
    );
    let at = |millis| table.route_level(now + Duration::from_millis(millis), "day-view");
    assert_eq!(at(100), level(3, 100));
    assert_eq!(at(150), level(3, 356));
    assert_eq!(at(2000), AdmissionLevel::ADMIT_ALL);
}
