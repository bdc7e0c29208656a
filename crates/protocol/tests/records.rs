//! Policy records: both schemas give the same policy, and every error names its location and key.

use lagoonshore_protocol::record;
use lagoonshore_state::{policy::ServicePolicy, units::TokenCount};
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../examples/kocaeli/records-schema2/medication-log.yaml");

macro_rules! both_schemas {
    ($deployment:literal, $service:literal) => {
        (
            include_str!(concat!(
                "../../../examples/",
                $deployment,
                "/records/",
                $service,
                ".yaml"
            )),
            include_str!(concat!(
                "../../../examples/",
                $deployment,
                "/records-schema2/",
                $service,
                ".yaml"
            )),
        )
    };
}

fn parse(text: &str) -> ServicePolicy {
    record::parse(text.as_bytes()).expect("the record is valid")
}

fn error_text(text: &str) -> String {
    let error = record::parse(text.as_bytes()).expect_err("the record is invalid");
    error.to_string().replace("; line", "\nline")
}

#[rstest]
#[case(both_schemas!("kocaeli", "diary-portal"))]
#[case(both_schemas!("kocaeli", "medication-log"))]
#[case(both_schemas!("kocaeli", "kitchen-board"))]
#[case(both_schemas!("kocaeli", "attendance-desk"))]
#[case(both_schemas!("cedarmark", "shopfront"))]
#[case(both_schemas!("cedarmark", "orderdesk"))]
#[case(both_schemas!("cedarmark", "proofer"))]
#[case(both_schemas!("cedarmark", "shopboard"))]
fn both_schemas_give_the_same_policy(#[case] (first, second): (&str, &str)) {
    let (mut first, second) = (parse(first), parse(second));
    assert!(second.revision > first.revision);
    first.revision = second.revision;
    assert_eq!(first, second);
}

#[test]
fn a_route_may_have_its_own_retry_limit() {
    let text = SAMPLE.replace(
        "level: vital }",
        "level: vital, retries: { per_request: 0 } }",
    );
    let policy = parse(&text);
    let dose = policy.class_of("POST", "/doses/7");
    let meal = policy.class_of("POST", "/meals/7");
    assert_eq!(policy.retry_limit(&dose), TokenCount(0));
    assert_eq!(policy.retry_limit(&meal), TokenCount(2));
}

#[test]
fn several_errors_are_reported_in_one_pass() {
    let text = SAMPLE
        .replace("slots: 75", "slots: 0")
        .replace("share: 0.2", "share: 1.5")
        .replace("timeout: 1s", "timeout: soon")
        .replace("level: entry }", "level: entries }")
        .replace("lane: long }", "lane: lang }");
    insta::assert_snapshot!(error_text(&text));
}

#[test]
fn several_errors_of_schema_1_are_reported_in_one_pass() {
    let text = include_str!("../../../examples/kocaeli/records/medication-log.yaml")
        .replace("revision: 1", "revision: 0")
        .replace("ratio: 0.1", "ratio: 7")
        .replace("path: /day/*", "path: day")
        .replace("name: sign-off", "name: dose-entry");
    insta::assert_snapshot!(error_text(&text));
}

#[rstest]
#[case::unknown_key("unknown_key", "rank: 0 }", "rank: 0, color: red }")]
#[case::unknown_schema("unknown_schema", "schema: 2", "schema: 3")]
#[case::wrong_type("wrong_type", "slots: 75", "slots: many")]
#[case::missing_key(
    "missing_key",
    "  calls: [kitchen-board, attendance-desk]\n  retries: { per_request: 2, ratio: 0.1 }\n",
    ""
)]
#[case::no_level("no_level", ", level: view", "")]
#[case::same_lane_twice("same_lane_twice", "{ name: long, share: 0.2 }", "{ name: short }")]
#[case::wrong_kind("wrong_kind", "kind: service-policy", "kind: quota")]
fn errors_name_the_line_and_the_key(#[case] name: &str, #[case] from: &str, #[case] to: &str) {
    let text = SAMPLE.replace(from, to);
    assert_ne!(text, SAMPLE);
    insta::with_settings!({snapshot_suffix => name}, {
        insta::assert_snapshot!(error_text(&text));
    });
}

#[test]
fn a_record_under_another_name_is_refused_with_its_line() {
    let error =
        record::parse_for_service("diary-portal", SAMPLE.as_bytes()).expect_err("the name differs");
    insta::assert_snapshot!(error, @"line 3, column 7: name: found medication-log, expected diary-portal");
}

#[test]
fn invalid_utf_8_and_records_above_the_size_limit_are_refused() {
    let error = record::parse(b"schema: \xff").expect_err("the record is not UTF-8");
    assert_eq!(
        error.to_string(),
        "the record is not UTF-8: byte 8 is invalid"
    );
    let error = record::parse(&vec![b' '; record::RECORD_BYTES_MAX + 1])
        .expect_err("the record is too large");
    assert!(
        error
            .to_string()
            .starts_with("the record has 1048577 bytes")
    );
}
