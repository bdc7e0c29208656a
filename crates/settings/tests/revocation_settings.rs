//! Settings of a forwarding node: the bound on the use of keys that were taken away.

use lagoonshore_settings::RelaySettings;
use rstest::rstest;
use std::time::Duration;

fn parse(more: &str) -> Result<Option<Duration>, String> {
    let text = format!(
        "node: n\nservice: s\nzone: z\nregion: r\nlisten:\n  callers: 127.0.0.1:1\n  \
         ready: 127.0.0.1:2\n  peers: 127.0.0.1:3\n  admin: 127.0.0.1:4\nupstream: 127.0.0.1:5\n\
         store: 127.0.0.1:6\nrepeats:\n  ratio: 0.2\n  slack: 48\n  window_seconds: 10\n\
         grace_seconds: 6\naddress_reuse_seconds: 2\nmemory_mib: 100\n{more}"
    );
    let settings = RelaySettings::parse(&text).map_err(|error| error.to_string())?;
    Ok(settings.store.revocation_time)
}

#[rstest]
#[case::neither("", None)]
#[case::empty("revocation_strict: \nrevocation_seconds: \n", None)]
#[case::strict("revocation_strict: true\nrevocation_seconds: 5\n", Some(5))]
#[case::not_strict("revocation_strict: false\nrevocation_seconds: 5\n", None)]
#[case::bound_only("revocation_seconds: 5\n", None)]
fn keys_need_a_proof_if_the_bound_is_strict(#[case] more: &str, #[case] seconds: Option<u64>) {
    assert_eq!(parse(more), Ok(seconds.map(Duration::from_secs)));
}

#[rstest]
#[case::no_bound("revocation_strict: true\n")]
#[case::short("revocation_strict: true\nrevocation_seconds: 0.5\n")]
#[case::negative("revocation_strict: true\nrevocation_seconds: -5\n")]
#[case::long("revocation_strict: true\nrevocation_seconds: 3601\n")]
fn a_strict_bound_has_to_be_one_that_nodes_can_keep(#[case] more: &str) {
    let error = parse(more).expect_err("invalid settings");
    assert!(error.contains("revocation_seconds"), "{error}");
    assert!(error.contains("from 1 to 3600"), "{error}");
}
