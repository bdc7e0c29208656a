//! Policy records of schema 1.

use super::duration;
use crate::error::{self, Result};

use compact_str::CompactString;
use lagoonshore_state::{
    policy::{LanePolicy, RequestClass, RetryPolicy, RouteMatch, ServicePolicy},
    units::{RequestImportance, SlotCount, TokenCount},
};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Kind of the records that hold a service policy.
const KIND: &str = "service-policy";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordText {
    #[serde(rename = "schema")]
    _schema: u64,
    kind: CompactString,
    name: CompactString,
    revision: u64,
    spec: SpecText,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SpecText {
    slots: u32,
    connections: u32,
    #[serde(default)]
    calls: Vec<CompactString>,
    retries: RetriesText,
    classes: Vec<ClassText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RetriesText {
    per_request: u32,
    ratio: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassText {
    name: CompactString,
    r#match: MatchText,
    importance: u8,
    idempotent: bool,
    timeout: CompactString,
    lane: CompactString,
    share: Option<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MatchText {
    method: CompactString,
    path: CompactString,
}

/// Reads a record of schema 1.
///
/// # Errors
/// Names the line or the key at fault.
pub fn parse(text: &str) -> Result<ServicePolicy> {
    let record: RecordText = serde_saphyr::from_str(text).map_err(|error| error::syntax(&error))?;
    check_range("kind", &record.kind, record.kind == KIND, KIND)?;
    check_range(
        "revision",
        &record.revision,
        record.revision > 0,
        "1 or more",
    )?;
    check_range(
        "name",
        &record.name,
        !record.name.is_empty(),
        "a service name",
    )?;
    let spec = record.spec;
    check_range("spec.slots", &spec.slots, spec.slots > 0, "1 or more")?;
    check_range(
        "spec.connections",
        &spec.connections,
        spec.connections > 0,
        "1 or more",
    )?;
    let ratio = spec.retries.ratio;
    check_range(
        "spec.retries.ratio",
        &ratio,
        (0.0..=1.0).contains(&ratio),
        "0 to 1",
    )?;
    let lanes = lanes(&spec.classes)?;
    let classes = classes(spec.classes)?;
    Ok(ServicePolicy {
        service: record.name,
        revision: record.revision,
        slots: SlotCount(spec.slots),
        connections: spec.connections,
        calls: spec.calls,
        retries: RetryPolicy {
            per_request: TokenCount(spec.retries.per_request),
            ratio,
        },
        lanes,
        classes,
    })
}

fn classes(texts: Vec<ClassText>) -> Result<Vec<RequestClass>> {
    check_range(
        "spec.classes",
        &"an empty list",
        !texts.is_empty(),
        "one class at least",
    )?;
    let mut names = BTreeSet::new();
    let mut classes = Vec::with_capacity(texts.len());
    for (index, text) in texts.into_iter().enumerate() {
        let path = format!("spec.classes[{index}]");
        let is_new = names.insert(text.name.clone());
        check_range(
            &format!("{path}.name"),
            &text.name,
            is_new,
            "a name used once",
        )?;
        classes.push(class(&path, text)?);
    }
    Ok(classes)
}

fn class(path: &str, text: ClassText) -> Result<RequestClass> {
    let is_absolute = text.r#match.path.starts_with('/');
    check_range(
        &format!("{path}.match.path"),
        &text.r#match.path,
        is_absolute,
        "a path from /",
    )?;
    let Some(timeout) = duration::parse(&text.timeout) else {
        let path = format!("{path}.timeout");
        return Err(error::value(
            &path,
            &text.timeout,
            "a time such as 250ms, 2s or 1m, up to 60m",
        ));
    };
    Ok(RequestClass {
        name: text.name,
        route: RouteMatch {
            method: text.r#match.method,
            path: text.r#match.path,
        },
        importance: RequestImportance(text.importance),
        idempotent: text.idempotent,
        timeout,
        lane: text.lane,
        retries: None,
    })
}

fn lanes(texts: &[ClassText]) -> Result<Vec<LanePolicy>> {
    let mut lanes: Vec<LanePolicy> = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let Some(share) = text.share else { continue };
        let path = format!("spec.classes[{index}].share");
        check_range(
            &path,
            &share,
            share > 0.0 && share <= 1.0,
            "above 0, at most 1",
        )?;
        match lanes.iter().find(|lane| lane.name == text.lane) {
            Some(lane) => check_range(
                &path,
                &share,
                lane.share.total_cmp(&share).is_eq(),
                "one share for each lane",
            )?,
            None => lanes.push(LanePolicy {
                name: text.lane.clone(),
                share,
            }),
        }
    }
    Ok(lanes)
}

fn check_range(path: &str, found: &impl ToString, holds: bool, expected: &str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(error::value(path, found, expected))
    }
}
