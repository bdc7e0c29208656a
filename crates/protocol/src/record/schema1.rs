//! Policy records of schema 1.

use super::{
    fault_list::FaultList,
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

/// Reads a record of schema 1.
///
/// # Errors
/// Names every line and key at fault.
pub fn parse(text: &str) -> Result<ServicePolicy> {
    let record: RecordText<SpecText> =
        serde_saphyr::from_str(text).map_err(|error| error::syntax(&error))?;
    let mut faults = FaultList::default();
    fields::check_head(&record, &mut faults);
    let spec = record.spec;
    fields::check_count("spec.slots", &spec.slots, &mut faults);
    fields::check_count("spec.connections", &spec.connections, &mut faults);
    fields::check_ratio("spec.retries.ratio", &spec.retries.ratio, &mut faults);
    let lanes = lanes(&spec.classes.value, &mut faults);
    let classes = classes(spec.classes, &mut faults);
    faults.finish(ServicePolicy {
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

fn classes(texts: Spanned<Vec<ClassText>>, faults: &mut FaultList) -> Vec<RequestClass> {
    if texts.value.is_empty() {
        faults.note(
            "spec.classes",
            &texts,
            "an empty list",
            "one class at least",
        );
    }
    let mut names = BTreeSet::new();
    let mut classes = Vec::with_capacity(texts.value.len());
    for (index, text) in texts.value.into_iter().enumerate() {
        let path = format!("spec.classes[{index}]");
        fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, faults);
        classes.push(class(&path, text, faults));
    }
    classes
}

fn class(path: &str, text: ClassText, faults: &mut FaultList) -> RequestClass {
    RequestClass {
        name: text.name.value,
        route: fields::read_route(&format!("{path}.match"), text.r#match, faults),
        importance: RequestImportance(text.importance),
        idempotent: text.idempotent,
        timeout: fields::read_duration(&format!("{path}.timeout"), &text.timeout, faults),
        lane: text.lane,
        retries: None,
    }
}

fn lanes(texts: &[ClassText], faults: &mut FaultList) -> Vec<LanePolicy> {
    let mut lanes: Vec<LanePolicy> = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let Some(share) = &text.share else { continue };
        let path = format!("spec.classes[{index}].share");
        fields::check_share(&path, share, faults);
        match lanes.iter().find(|lane| lane.name == text.lane) {
            Some(lane) => {
                let is_same = lane.share.total_cmp(&share.value).is_eq();
                faults.check(&path, share, is_same, "one share for each lane");
            }
            None => lanes.push(LanePolicy {
                name: text.lane.clone(),
                share: share.value,
            }),
        }
    }
    lanes
}
