//! Settings of a forwarding node about its callers.

use lagoonshore_settings::{RelaySettings, relay_settings::CallerSettings};
use rstest::rstest;
use std::time::Duration;

const TEXT: &str = "node: n1\nservice: a\nzone: z\nregion: r\nlisten:\n  callers: 127.0.0.1:0\n  \
    ready: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  admin: 127.0.0.1:0\nupstream: 127.0.0.1:1\n\
    store: 127.0.0.1:2\nrepeats:\n  ratio: 0.2\n  slack: 48\n  window_seconds: 10\n\
    grace_seconds: 6\naddress_reuse_seconds: 2\nmemory_mib: 160\n";

#[rstest]
#[case::left_out("")]
#[case::empty("descriptors:\n")]
fn limits_on_callers_have_defaults(#[case] added: &str) {
    let settings = RelaySettings::parse(&format!("{TEXT}{added}")).expect("valid settings");
    let expected = CallerSettings {
        descriptors: None,
        connections: 2500,
        body_time: Duration::from_secs(30),
        body_bytes_per_second: 16384,
        response_time: Duration::from_secs(30),
        response_bytes_per_second: 16384,
    };
    assert_eq!(settings.callers, expected);
}

#[test]
fn limits_on_callers_are_read() {
    let added = "descriptors: 4100\ncaller_connections: 50\nbody_seconds: 1.5\n\
        body_bytes_per_second: 1000\nresponse_seconds: 2\nresponse_bytes_per_second: 2000\n";
    let settings = RelaySettings::parse(&format!("{TEXT}{added}")).expect("valid settings");
    let expected = CallerSettings {
        descriptors: Some(4100),
        connections: 50,
        body_time: Duration::from_millis(1500),
        body_bytes_per_second: 1000,
        response_time: Duration::from_secs(2),
        response_bytes_per_second: 2000,
    };
    assert_eq!(settings.callers, expected);
}

#[rstest]
#[case("descriptors: 0")]
#[case("caller_connections: 1.5")]
#[case("body_seconds: 0")]
#[case("body_bytes_per_second: -1")]
#[case("response_seconds: 0")]
#[case("response_bytes_per_second: 0")]
fn an_invalid_limit_is_reported_with_its_line(#[case] added: &str) {
    let error = RelaySettings::parse(&format!("{TEXT}{added}\n")).expect_err("invalid settings");
    let key = added.split(':').next().expect("a key");
    let message = error.to_string();
    assert!(message.contains(&format!("line 19: {key}")), "{message}");
}
