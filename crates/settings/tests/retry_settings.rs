//! Settings of a node of a forwarding fleet.

use lagoonshore_settings::RelaySettings;
use rstest::rstest;

fn settings(repeats: &str) -> String {
    format!(
        "node: n1\nservice: a\nzone: z1\nregion: r1\nlisten:\n  callers: 127.0.0.1:0\n  \
         ready: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  admin: 127.0.0.1:0\n\
         upstream: 127.0.0.1:1\nstore: 127.0.0.1:2\nrepeats:\n  ratio: 0.2\n  slack: 48\n  \
         window_seconds: 10\n{repeats}grace_seconds: 6\naddress_reuse_seconds: 2\n\
         memory_mib: 160\n"
    )
}

#[rstest]
#[case::left_out("", Some(false))]
#[case::on("  earlier_windows: true\n", Some(true))]
#[case::off("  earlier_windows: false\n", Some(false))]
#[case::no_boolean("  earlier_windows: 2\n", None)]
fn requests_of_earlier_windows_count_where_the_settings_say_so(
    #[case] repeats: &str,
    #[case] counts_earlier: Option<bool>,
) {
    let settings = RelaySettings::parse(&settings(repeats));
    let found = settings
        .ok()
        .map(|settings| settings.retries.counts_earlier);
    assert_eq!(found, counts_earlier);
}
