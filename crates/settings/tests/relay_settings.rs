//! Tests of the optional settings of a forwarding node.

use lagoonshore_settings::RelaySettings;
use rstest::rstest;
use std::time::Duration;

/// The required settings.
const SETTINGS: &str = "
node: sidecar-1
service: imaging
zone: izmit
region: marmara
listen: { callers: 127.0.0.1:0, ready: 127.0.0.1:0, peers: 127.0.0.1:0, admin: 127.0.0.1:0 }
upstream: 127.0.0.1:9001
store: 127.0.0.1:9002
repeats: { ratio: 0.1, slack: 10, window_seconds: 10 }
grace_seconds: 5
address_reuse_seconds: 2
memory_mib: 160
";

#[rstest]
#[case::left_out("", 5)]
#[case::without_keys("zones: {}", 5)]
#[case::given("zones: { leave_cost_ms: 20 }", 20)]
#[case::free("zones: { leave_cost_ms: 0 }", 0)]
fn leaving_the_zone_has_a_cost(#[case] zones: &str, #[case] millis: u64) {
    let settings = RelaySettings::parse(&format!("{SETTINGS}{zones}\n"));
    let settings = settings.expect("good settings");
    assert_eq!(settings.zones.leave_cost, Duration::from_millis(millis));
}

#[test]
fn a_negative_cost_is_refused() {
    let text = format!("{SETTINGS}zones: {{ leave_cost_ms: -1 }}\n");
    let error = RelaySettings::parse(&text).expect_err("bad settings");
    assert!(error.to_string().contains("zones.leave_cost_ms"), "{error}");
}
