//! Fields and checks common to all schemas.

use super::{duration, error_list::ErrorList};

use compact_str::CompactString;
use lagoonshore_state::policy::RouteMatch;
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::{collections::BTreeSet, time::Duration};

/// Value of `kind` in records that hold a service policy.
const KIND: &str = "service-policy";
/// Accepted form of a duration, for error messages.
const EXPECTED_DURATION: &str = "a duration such as 250ms, 2s or 1m, at most 60m";

/// `RecordText` is a record as written; `S` is the form of `spec` in its schema.
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

/// `RetriesText` holds the retry limits of a service.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RetriesText {
    pub(super) per_request: u32,
    pub(super) ratio: Spanned<f64>,
}

/// `MatchText` selects requests by method and path.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MatchText {
    method: CompactString,
    path: Spanned<CompactString>,
}

/// Checks the fields outside `spec`.
pub(super) fn check_head<S>(record: &RecordText<S>, errors: &mut ErrorList) {
    let RecordText {
        kind,
        name,
        revision,
        ..
    } = record;
    errors.check("kind", kind, kind.value == KIND, KIND);
    errors.check("name", name, !name.value.is_empty(), "a service name");
    errors.check("revision", revision, revision.value > 0, "1 or more");
}

/// Checks a count that must not be zero.
pub(super) fn check_count(path: &str, count: &Spanned<u32>, errors: &mut ErrorList) {
    errors.check(path, count, count.value > 0, "1 or more");
}

/// Checks the ratio of retries to requests.
pub(super) fn check_ratio(path: &str, ratio: &Spanned<f64>, errors: &mut ErrorList) {
    let is_valid = (0.0..=1.0).contains(&ratio.value);
    errors.check(path, ratio, is_valid, "0 to 1");
}

/// Checks the share of the slots that a lane may use.
pub(super) fn check_share(path: &str, share: &Spanned<f64>, errors: &mut ErrorList) {
    let is_valid = share.value > 0.0 && share.value <= 1.0;
    errors.check(path, share, is_valid, "above 0, at most 1");
}

/// Checks that `name` is not empty and not in `names`, and adds it there.
pub(super) fn check_new_name(
    path: &str,
    name: &Spanned<CompactString>,
    names: &mut BTreeSet<CompactString>,
    errors: &mut ErrorList,
) {
    let is_new = !name.value.is_empty() && names.insert(name.value.clone());
    errors.check(path, name, is_new, "a unique name");
}

/// Reads a duration; an invalid one adds an error and gives zero.
pub(super) fn read_duration(
    path: &str,
    text: &Spanned<CompactString>,
    errors: &mut ErrorList,
) -> Duration {
    let duration = duration::parse(&text.value);
    errors.check(path, text, duration.is_some(), EXPECTED_DURATION);
    duration.unwrap_or_default()
}

/// Reads the match of a route.
pub(super) fn read_route(path: &str, text: MatchText, errors: &mut ErrorList) -> RouteMatch {
    let is_absolute = text.path.value.starts_with('/');
    errors.check(
        &format!("{path}.path"),
        &text.path,
        is_absolute,
        "a path that starts with /",
    );
    RouteMatch {
        method: text.method,
        path: text.path.value,
    }
}
