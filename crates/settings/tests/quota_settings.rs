//! The section `quota` of the settings of a forwarding node.

use lagoonshore_settings::{RelaySettings, relay_settings::QuotaSettings};
use rstest::rstest;
use std::time::Duration;

fn parse(quota: &str) -> Result<RelaySettings, String> {
    let text = format!(
        "node: n\nservice: s\nzone: z\nregion: r\nlisten:\n  callers: 127.0.0.1:0\n  \
         ready: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  admin: 127.0.0.1:0\nupstream: 127.0.0.1:1\n\
         store: 127.0.0.1:1\nrepeats:\n  ratio: 0.2\n  slack: 48\n  window_seconds: 10\n{quota}\
         grace_seconds: 6\naddress_reuse_seconds: 2\nmemory_mib: 100\n"
    );
    RelaySettings::parse(&text).map_err(|error| error.to_string())
}

#[test]
fn bounds_of_quotas_are_read() {
    let settings = parse("quota:\n  window_seconds: 4\n  overage: 0.5\n  slack: 8\n");
    let expected = QuotaSettings {
        window: Duration::from_secs(4),
        overage: 0.5,
        slack: 8.0,
    };
    assert_eq!(settings.expect("good settings").quotas, expected);
}

#[test]
fn without_the_section_the_defaults_hold() {
    let settings = parse("").expect("good settings");
    assert_eq!(settings.quotas, QuotaSettings::default());
}

#[rstest]
#[case::window(
    "quota:\n  window_seconds: 0\n  overage: 0.5\n  slack: 8\n",
    "quota.window_seconds"
)]
#[case::window_too_short_for_its_overage(
    "quota:\n  window_seconds: 0.15\n  overage: 0.5\n  slack: 8\n",
    "quota.window_seconds"
)]
#[case::no_overage(
    "quota:\n  window_seconds: 4\n  overage: 0\n  slack: 8\n",
    "quota.overage"
)]
#[case::slack(
    "quota:\n  window_seconds: 4\n  overage: 0.5\n  slack: -1\n",
    "quota.slack"
)]
#[case::slack_below_the_least_bucket(
    "quota:\n  window_seconds: 4\n  overage: 0.5\n  slack: 1.9\n",
    "quota.slack"
)]
#[case::little_overage(
    "quota:\n  window_seconds: 4\n  overage: 0.04\n  slack: 8\n",
    "quota.overage"
)]
#[case::not_a_number(
    "quota:\n  window_seconds: 4\n  overage: .nan\n  slack: 8\n",
    "quota.overage"
)]
#[case::missing("quota:\n  window_seconds: 4\n  overage: 0.5\n", "slack")]
fn invalid_bounds_are_named(#[case] quota: &str, #[case] key: &str) {
    let error = parse(quota).expect_err("invalid settings");
    assert!(error.contains(key), "{error}");
}
