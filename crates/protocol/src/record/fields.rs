//! Fields and checks that the schemas share.

use super::{duration, fault_list::FaultList};

use compact_str::CompactString;
use lagoonshore_state::policy::RouteMatch;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::{collections::BTreeSet, time::Duration};

/// Kind of the records that hold a service policy.
const KIND: &str = "service-policy";
/// What a duration looks like.
const DURATION_EXPECTED: &str = "a time such as 250ms, 2s or 1m, up to 60m";

/// `RecordText` is a record with the specification of its schema.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RecordText<S> {
    #[serde(rename = "schema")]
    _schema: u64,
    kind: Spanned<CompactString>,
    pub(super) name: Spanned<CompactString>,
    pub(super) revision: Spanned<u64>,
    pub(super) spec: S,
}

/// `RetriesText` bounds the repeats of calls.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RetriesText {
    pub(super) per_request: u32,
    pub(super) ratio: Spanned<f64>,
}

/// `MatchText` selects requests.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MatchText {
    method: CompactString,
    path: Spanned<CompactString>,
}

/// Checks what stands around the specification.
pub(super) fn check_head<S>(record: &RecordText<S>, faults: &mut FaultList) {
    let RecordText {
        kind,
        name,
        revision,
        ..
    } = record;
    faults.check("kind", kind, kind.value == KIND, KIND);
    faults.check("name", name, !name.value.is_empty(), "a service name");
    faults.check("revision", revision, revision.value > 0, "1 or more");
}

/// Checks a count that must not be zero.
pub(super) fn check_count(path: &str, count: &Spanned<u32>, faults: &mut FaultList) {
    faults.check(path, count, count.value > 0, "1 or more");
}

/// Checks the node's retry ratio.
pub(super) fn check_ratio(path: &str, ratio: &Spanned<f64>, faults: &mut FaultList) {
    let holds = (0.0..=1.0).contains(&ratio.value);
    faults.check(path, ratio, holds, "0 to 1");
}

/// Checks the share of a lane.
pub(super) fn check_share(path: &str, share: &Spanned<f64>, faults: &mut FaultList) {
    let holds = share.value > 0.0 && share.value <= 1.0;
    faults.check(path, share, holds, "above 0, at most 1");
}

/// Checks that `name` is not empty and was not used before.
pub(super) fn check_new_name(
    path: &str,
    name: &Spanned<CompactString>,
    names: &mut BTreeSet<CompactString>,
    faults: &mut FaultList,
) {
    let is_new = !name.value.is_empty() && names.insert(name.value.clone());
    faults.check(path, name, is_new, "a name used once");
}

/// Reads a duration; a faulty one is noted and stands as zero.
pub(super) fn read_duration(
    path: &str,
    text: &Spanned<CompactString>,
    faults: &mut FaultList,
) -> Duration {
    let duration = duration::parse(&text.value);
    faults.check(path, text, duration.is_some(), DURATION_EXPECTED);
    duration.unwrap_or_default()
}

/// Reads a route.
pub(super) fn read_route(path: &str, text: MatchText, faults: &mut FaultList) -> RouteMatch {
    let is_absolute = text.path.value.starts_with('/');
    faults.check(
        &format!("{path}.path"),
        &text.path,
        is_absolute,
        "a path from /",
    );
    RouteMatch {
        method: text.method,
        path: text.path.value,
    }
}
