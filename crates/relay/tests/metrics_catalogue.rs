//! Checks that `docs/METRICS-SIDECAR.md` and the code list the same metrics.

use std::collections::BTreeSet;

const CODE: &str = include_str!("../src/relay_metrics.rs");
const CATALOGUE: &str = include_str!("../../../docs/METRICS-SIDECAR.md");

fn names(text: &str, mark: char) -> BTreeSet<&str> {
    let parts = text.split(mark);
    parts
        .filter(|part| part.starts_with("lagoonshore_relay_"))
        .collect()
}

#[test]
fn code_and_catalogue_name_the_same_metrics() {
    let code = names(CODE, '"');
    assert_eq!(code, names(CATALOGUE, '`'));
    assert!(!code.is_empty());
}
