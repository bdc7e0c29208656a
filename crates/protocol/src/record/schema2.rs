//! Policy records of schema 2: importance levels and lanes are declared by name, routes inherit
//! missing fields from the defaults and may set their own retry limit.

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
    load: LoadText,
    #[serde(default)]
    calls: Vec<CompactString>,
    retries: RetriesText,
    levels: Vec<LevelText>,
    lanes: Vec<LaneText>,
    #[serde(default)]
    defaults: DefaultsText,
    routes: Spanned<Vec<RouteText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadText {
    slots: Spanned<u32>,
    connections: Spanned<u32>,
}

/// The rank is explicit rather than the position in the list, since the importance of a request is
/// compared across services.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LevelText {
    name: Spanned<CompactString>,
    rank: u8,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LaneText {
    name: Spanned<CompactString>,
    share: Option<Spanned<f64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct DefaultsText {
    level: Option<Spanned<CompactString>>,
    lane: Option<Spanned<CompactString>>,
    timeout: Option<Spanned<CompactString>>,
    idempotent: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteText {
    name: Spanned<CompactString>,
    r#match: MatchText,
    level: Option<Spanned<CompactString>>,
    lane: Option<Spanned<CompactString>>,
    timeout: Option<Spanned<CompactString>>,
    idempotent: Option<bool>,
    retries: Option<RouteRetriesText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteRetriesText {
    per_request: u32,
}

/// Parses a record of schema 2.
///
/// # Errors
/// Names the line and key of each error.
pub fn parse(text: &str) -> Result<ServicePolicy> {
    let record: RecordText<SpecText> =
        serde_saphyr::from_str(text).map_err(|error| error::syntax_error(&error))?;
    let mut errors = ErrorList::default();
    fields::check_head(&record, &mut errors);
    let spec = record.spec;
    let LoadText { slots, connections } = spec.load;
    fields::check_count("spec.load.slots", &slots, &mut errors);
    fields::check_count("spec.load.connections", &connections, &mut errors);
    fields::check_ratio("spec.retries.ratio", &spec.retries.ratio, &mut errors);
    check_levels(&spec.levels, &mut errors);
    let lanes = read_lanes(&spec.lanes, &mut errors);
    let reader = RouteReader {
        levels: spec.levels,
        lanes: spec.lanes,
        defaults: spec.defaults,
    };
    let classes = reader.read_classes(spec.routes, &mut errors);
    errors.finish(ServicePolicy {
        service: record.name.value,
        revision: record.revision.value,
        slots: SlotCount(slots.value),
        connections: connections.value,
        calls: spec.calls,
        retries: RetryPolicy {
            per_request: TokenCount(spec.retries.per_request),
            ratio: spec.retries.ratio.value,
        },
        lanes,
        classes,
    })
}

fn check_levels(levels: &[LevelText], errors: &mut ErrorList) {
    let mut names = BTreeSet::new();
    for (index, level) in levels.iter().enumerate() {
        let path = format!("spec.levels[{index}].name");
        fields::check_new_name(&path, &level.name, &mut names, errors);
    }
}

/// Returns the lanes that have a share; a lane without one may use every slot.
fn read_lanes(texts: &[LaneText], errors: &mut ErrorList) -> Vec<LanePolicy> {
    let mut names = BTreeSet::new();
    let mut lanes = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let path = format!("spec.lanes[{index}]");
        fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, errors);
        let Some(share) = &text.share else { continue };
        fields::check_share(&format!("{path}.share"), share, errors);
        lanes.push(LanePolicy {
            name: text.name.value.clone(),
            share: share.value,
        });
    }
    lanes
}

/// `RouteReader` reads routes that refer to the levels, lanes and defaults of the same record.
struct RouteReader {
    levels: Vec<LevelText>,
    lanes: Vec<LaneText>,
    defaults: DefaultsText,
}

impl RouteReader {
    fn read_classes(
        &self,
        texts: Spanned<Vec<RouteText>>,
        errors: &mut ErrorList,
    ) -> Vec<RequestClass> {
        if texts.value.is_empty() {
            errors.add("spec.routes", &texts, "an empty list", "at least one route");
        }
        let mut names = BTreeSet::new();
        let mut classes = Vec::with_capacity(texts.value.len());
        for (index, text) in texts.value.into_iter().enumerate() {
            let path = format!("spec.routes[{index}]");
            fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, errors);
            classes.push(self.read_class(&path, text, errors));
        }
        classes
    }

    fn read_class(&self, path: &str, text: RouteText, errors: &mut ErrorList) -> RequestClass {
        let defaults = &self.defaults;
        let level = resolve_field(
            path,
            "level",
            &text,
            text.level.as_ref(),
            defaults.level.as_ref(),
            errors,
        );
        let lane = resolve_field(
            path,
            "lane",
            &text,
            text.lane.as_ref(),
            defaults.lane.as_ref(),
            errors,
        );
        let timeout = resolve_field(
            path,
            "timeout",
            &text,
            text.timeout.as_ref(),
            defaults.timeout.as_ref(),
            errors,
        );
        let importance = level.map(|(path, level)| self.read_importance(&path, level, errors));
        let timeout = timeout.map(|(path, text)| fields::read_duration(&path, text, errors));
        if let Some((path, lane)) = &lane {
            self.check_lane(path, lane, errors);
        }
        RequestClass {
            importance: importance.unwrap_or_default(),
            idempotent: text.idempotent.or(defaults.idempotent).unwrap_or(false),
            timeout: timeout.unwrap_or_default(),
            lane: lane.map(|(_, lane)| lane.value.clone()).unwrap_or_default(),
            retries: text.retries.map(|retries| TokenCount(retries.per_request)),
            route: fields::read_route(&format!("{path}.match"), text.r#match, errors),
            name: text.name.value,
        }
    }

    fn read_importance(
        &self,
        path: &str,
        level: &Spanned<CompactString>,
        errors: &mut ErrorList,
    ) -> RequestImportance {
        let mut levels = self.levels.iter();
        let found = levels.find(|listed| listed.name.value == level.value);
        errors.check(
            path,
            level,
            found.is_some(),
            "a level listed in spec.levels",
        );
        found.map_or(RequestImportance::LOWEST, |level| {
            RequestImportance(level.rank)
        })
    }

    fn check_lane(&self, path: &str, lane: &Spanned<CompactString>, errors: &mut ErrorList) {
        let is_listed = self
            .lanes
            .iter()
            .any(|listed| listed.name.value == lane.value);
        errors.check(path, lane, is_listed, "a lane listed in spec.lanes");
    }
}

/// Returns the value of the route, or else the default, with the path of its key; adds an error if
/// neither is set.
fn resolve_field<'a>(
    path: &str,
    key: &str,
    route: &RouteText,
    own: Option<&'a Spanned<CompactString>>,
    default: Option<&'a Spanned<CompactString>>,
    errors: &mut ErrorList,
) -> Option<(String, &'a Spanned<CompactString>)> {
    let own = own.map(|value| (format!("{path}.{key}"), value));
    let default = default.map(|value| (format!("spec.defaults.{key}"), value));
    let resolved = own.or(default);
    if resolved.is_none() {
        let expected = format!("a {key}, here or in spec.defaults");
        errors.add(&format!("{path}.{key}"), &route.name, "nothing", &expected);
    }
    resolved
}
