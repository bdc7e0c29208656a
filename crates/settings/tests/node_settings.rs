//! Node settings: the samples are valid; errors name the line, the key and what is expected.

use lagoonshore_settings::NodeSettings;
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../examples/kocaeli/settings.yaml");

fn error_text(text: &str) -> String {
    NodeSettings::parse(text)
        .expect_err("the settings are invalid")
        .to_string()
}

#[rstest]
#[case::kocaeli(SAMPLE)]
#[case::cedarmark(include_str!("../../../examples/cedarmark/settings.yaml"))]
fn samples_are_valid(#[case] text: &str) {
    NodeSettings::parse(text).expect("the sample is valid");
}

#[test]
fn an_unknown_key_is_named_with_its_line() {
    let error = error_text(&SAMPLE.replace("zone:", "zoon:"));
    insta::assert_snapshot!(error, @"line 3, column 1: unknown field `zoon`, expected one of instance, service, zone, region, listen, upstream, platform, log, control");
}

#[test]
fn a_missing_key_is_named() {
    let error = error_text(&SAMPLE.replace("service: medication-log\n", ""));
    insta::assert_snapshot!(error, @"line 11, column 1: missing field `service`");
}

#[test]
fn all_invalid_values_are_reported_in_one_pass() {
    let text = SAMPLE
        .replace("marmara", "''")
        .replace("127.0.0.1:7003", "localhost:7003")
        .replace("127.0.0.1:7004", "0.0.0.0:7004")
        .replace("/health", "health")
        .replace("[\"127.0.0.1:8500\"]", "[]")
        .replace("level: info", "level: loud");
    insta::assert_snapshot!(error_text(&text), @r#"
    line 4: region: found "", expected 1 to 64 letters, digits, '-', '_' or '.'
    line 8: listen.peer: found "localhost:7003", expected an IP address with a port, such as 127.0.0.1:7001
    line 9: listen.admin: found "0.0.0.0:7004", expected a loopback address, or remote_admin: true in the same section
    line 10: upstream.health: found "health", expected a path that starts with /
    line 11: platform: found "[]", expected at least one address
    line 12: log.level: found "loud", expected error, warn, info, debug or trace
    "#);
}

#[test]
fn a_remote_admin_listener_is_accepted_with_remote_admin() {
    let text = SAMPLE.replace(
        "admin: 127.0.0.1:7004",
        "admin: 0.0.0.0:7004\n  remote_admin: true",
    );
    NodeSettings::parse(&text).expect("remote_admin is set");
}
