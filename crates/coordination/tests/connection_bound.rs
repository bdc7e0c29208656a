//! How many connections a node may have open.

use lagoonshore_coordination::protection::connection_bound::ProcessLimits;
use rstest::rstest;

/// Connections of callers that the settings ask for by default.
const WANTED: u32 = 2500;
/// Descriptors that are left to files.
const FILES: u32 = 200;

#[rstest]
#[case::smallest_machine(4100, 160 << 20, WANTED)]
#[case::few_descriptors(512, 160 << 20, 195)]
#[case::little_memory(4100, 16 << 20, 256)]
#[case::almost_nothing(100, 1 << 10, 1)]
fn connections_of_callers_fit_descriptors_and_memory(
    #[case] descriptors: u32,
    #[case] memory_bytes: u64,
    #[case] expected: u32,
) {
    let limits = ProcessLimits {
        descriptors,
        memory_bytes,
    };
    assert_eq!(limits.caller_connections(WANTED), expected);
}

#[test]
fn all_connections_together_fit_the_descriptors() {
    for descriptors in (300..20_000).step_by(7) {
        let limits = ProcessLimits {
            descriptors,
            memory_bytes: u64::MAX,
        };
        let callers = limits.caller_connections(u32::MAX);
        assert!(callers + limits.upstream_connections() <= descriptors - FILES);
    }
}
