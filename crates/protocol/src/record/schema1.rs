//! Policy records of schema 1.

use super::{
    error_list::ErrorList,
    fields::{self, MatchText, RecordText, RetriesText},
};
use crate::error::{self, Result};

use compact_str::CompactString;
use lagoonshore_state::{
    policy::{LanePolicy, RequestClass, RetryPolicy, ServicePolicy},
    units::{RequestImportance, SlotCount, TokenCount},
};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::collections::BTreeSet;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SpecText {
    slots: Spanned<u32>,
    connections: Spanned<u32>,
    #[serde(default)]
    calls: Vec<CompactString>,
    retries: RetriesText,
    classes: Spanned<Vec<ClassText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassText {
    name: Spanned<CompactString>,
    r#match: MatchText,
    importance: u8,
    idempotent: bool,
    timeout: Spanned<CompactString>,
    lane: CompactString,
    share: Option<Spanned<f64>>,
}

/// Parses a record of schema 1.
///
/// # Errors
/// Names the line and key of each error.
pub fn parse(text: &str) -> Result<ServicePolicy> {
    let record: RecordText<SpecText> =
        serde_saphyr::from_str(text).map_err(|error| error::syntax_error(&error))?;
    let mut errors = ErrorList::default();
    fields::check_head(&record, &mut errors);
    let spec = record.spec;
    fields::check_count("spec.slots", &spec.slots, &mut errors);
    fields::check_count("spec.connections", &spec.connections, &mut errors);
    fields::check_ratio("spec.retries.ratio", &spec.retries.ratio, &mut errors);
    let lanes = read_lanes(&spec.classes.value, &mut errors);
    let classes = read_classes(spec.classes, &mut errors);
    errors.finish(ServicePolicy {
        service: record.name.value,
        revision: record.revision.value,
        slots: SlotCount(spec.slots.value),
        connections: spec.connections.value,
        calls: spec.calls,
        retries: RetryPolicy {
            per_request: TokenCount(spec.retries.per_request),
            ratio: spec.retries.ratio.value,
        },
        lanes,
        classes,
    })
}

fn read_classes(texts: Spanned<Vec<ClassText>>, errors: &mut ErrorList) -> Vec<RequestClass> {
    if texts.value.is_empty() {
        errors.add(
            "spec.classes",
            &texts,
            "an empty list",
            "at least one class",
        );
    }
    let mut names = BTreeSet::new();
    let mut classes = Vec::with_capacity(texts.value.len());
    for (index, text) in texts.value.into_iter().enumerate() {
        let path = format!("spec.classes[{index}]");
        fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, errors);
        classes.push(read_class(&path, text, errors));
    }
    classes
}

fn read_class(path: &str, text: ClassText, errors: &mut ErrorList) -> RequestClass {
    RequestClass {
        name: text.name.value,
        route: fields::read_route(&format!("{path}.match"), text.r#match, errors),
        importance: RequestImportance(text.importance),
        idempotent: text.idempotent,
        timeout: fields::read_duration(&format!("{path}.timeout"), &text.timeout, errors),
        lane: text.lane,
        retries: None,
    }
}

fn read_lanes(texts: &[ClassText], errors: &mut ErrorList) -> Vec<LanePolicy> {
    let mut lanes: Vec<LanePolicy> = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let Some(share) = &text.share else { continue };
        let path = format!("spec.classes[{index}].share");
        fields::check_share(&path, share, errors);
        match lanes.iter().find(|lane| lane.name == text.lane) {
            Some(lane) => {
                let is_same = lane.share.total_cmp(&share.value).is_eq();
                errors.check(
                    &path,
                    share,
                    is_same,
                    "the same share as in the other classes of the lane",
                );
            }
            None => lanes.push(LanePolicy {
                name: text.lane.clone(),
                share: share.value,
            }),
        }
    }
    lanes
}
