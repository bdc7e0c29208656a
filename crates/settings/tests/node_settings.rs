//! Settings: samples are good, faults are named with line, key and what is expected.

use lagoonshore_settings::NodeSettings;
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../examples/kocaeli/settings.yaml");

fn fault_of(text: &str) -> String {
    NodeSettings::parse(text)
        .expect_err("the settings are bad")
        .to_string()
}

#[rstest]
#[case::kocaeli(SAMPLE)]
#[case::cedarmark(include_str!("../../../examples/cedarmark/settings.yaml"))]
fn samples_are_good(#[case] text: &str) {
    NodeSettings::parse(text).expect("a good sample");
}

#[test]
fn an_unknown_key_is_named_with_its_line() {
    let fault = fault_of(&SAMPLE.replace("zone:", "zoon:"));
    insta::assert_snapshot!(fault, @"line 3, column 1: unknown field `zoon`, expected one of instance, service, zone, region, listen, upstream, platform, log, control");
}

#[test]
fn a_missing_key_is_named() {
    let fault = fault_of(&SAMPLE.replace("service: medication-log\n", ""));
    insta::assert_snapshot!(fault, @"line 11, column 1: missing field `service`");
}

#[test]
fn every_bad_value_is_named_in_one_pass() {
    let text = SAMPLE
        .replace("marmara", "''")
        .replace("127.0.0.1:7003", "localhost:7003")
        .replace("127.0.0.1:7004", "0.0.0.0:7004")
        .replace("/health", "health")
        .replace("[\"127.0.0.1:8500\"]", "[]")
        .replace("level: info", "level: loud");
    insta::assert_snapshot!(fault_of(&text), @r#"
    line 4: region: found "", expected letters, digits, '-', '_' and '.', at most 64 of them
    line 8: listen.peer: found "localhost:7003", expected an IP address with a port, such as 127.0.0.1:7001
    line 9: listen.admin: found "0.0.0.0:7004", expected a loopback address, or remote_admin: true beside it
    line 10: upstream.health: found "health", expected a path that starts with /
    line 11: platform: found "[]", expected one address at least
    line 12: log.level: found "loud", expected error, warn, info, debug or trace
    "#);
}

#[test]
fn a_remote_admin_door_needs_consent() {
    let text = SAMPLE.replace(
        "admin: 127.0.0.1:7004",
        "admin: 0.0.0.0:7004\n  remote_admin: true",
    );
    NodeSettings::parse(&text).expect("consent was given");
}
