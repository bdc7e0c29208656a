//! Policy records of schema 2: importance levels and lanes have names of their own, routes take
//! what they do not say from the defaults and may have their own retry rule.

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

/// The rank is given, not counted: the importance of a request is compared across services.
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

/// Reads a record of schema 2.
///
/// # Errors
/// Names every line and key at fault.
pub fn parse(text: &str) -> Result<ServicePolicy> {
    let record: RecordText<SpecText> =
        serde_saphyr::from_str(text).map_err(|error| error::syntax(&error))?;
    let mut faults = FaultList::default();
    fields::check_head(&record, &mut faults);
    let spec = record.spec;
    let LoadText { slots, connections } = spec.load;
    fields::check_count("spec.load.slots", &slots, &mut faults);
    fields::check_count("spec.load.connections", &connections, &mut faults);
    fields::check_ratio("spec.retries.ratio", &spec.retries.ratio, &mut faults);
    check_levels(&spec.levels, &mut faults);
    let lanes = lanes(&spec.lanes, &mut faults);
    let reader = RouteReader {
        levels: spec.levels,
        lanes: spec.lanes,
        defaults: spec.defaults,
    };
    let classes = reader.classes(spec.routes, &mut faults);
    faults.finish(ServicePolicy {
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

fn check_levels(levels: &[LevelText], faults: &mut FaultList) {
    let mut names = BTreeSet::new();
    for (index, level) in levels.iter().enumerate() {
        let path = format!("spec.levels[{index}].name");
        fields::check_new_name(&path, &level.name, &mut names, faults);
    }
}

/// Lanes with a bound; a lane without a share may hold every slot.
fn lanes(texts: &[LaneText], faults: &mut FaultList) -> Vec<LanePolicy> {
    let mut names = BTreeSet::new();
    let mut lanes = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        let path = format!("spec.lanes[{index}]");
        fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, faults);
        let Some(share) = &text.share else { continue };
        fields::check_share(&format!("{path}.share"), share, faults);
        lanes.push(LanePolicy {
            name: text.name.value.clone(),
            share: share.value,
        });
    }
    lanes
}

/// `RouteReader` reads routes against the levels, lanes and defaults of the same record.
struct RouteReader {
    levels: Vec<LevelText>,
    lanes: Vec<LaneText>,
    defaults: DefaultsText,
}

impl RouteReader {
    fn classes(&self, texts: Spanned<Vec<RouteText>>, faults: &mut FaultList) -> Vec<RequestClass> {
        if texts.value.is_empty() {
            faults.note("spec.routes", &texts, "an empty list", "one route at least");
        }
        let mut names = BTreeSet::new();
        let mut classes = Vec::with_capacity(texts.value.len());
        for (index, text) in texts.value.into_iter().enumerate() {
            let path = format!("spec.routes[{index}]");
            fields::check_new_name(&format!("{path}.name"), &text.name, &mut names, faults);
            classes.push(self.class(&path, text, faults));
        }
        classes
    }

    fn class(&self, path: &str, text: RouteText, faults: &mut FaultList) -> RequestClass {
        let defaults = &self.defaults;
        let level = pick(
            path,
            "level",
            &text,
            text.level.as_ref(),
            defaults.level.as_ref(),
            faults,
        );
        let lane = pick(
            path,
            "lane",
            &text,
            text.lane.as_ref(),
            defaults.lane.as_ref(),
            faults,
        );
        let timeout = pick(
            path,
            "timeout",
            &text,
            text.timeout.as_ref(),
            defaults.timeout.as_ref(),
            faults,
        );
        let importance = level.map(|(path, level)| self.rank(&path, level, faults));
        let timeout = timeout.map(|(path, text)| fields::read_duration(&path, text, faults));
        if let Some((path, lane)) = &lane {
            self.check_lane(path, lane, faults);
        }
        RequestClass {
            importance: importance.unwrap_or_default(),
            idempotent: text.idempotent.or(defaults.idempotent).unwrap_or(false),
            timeout: timeout.unwrap_or_default(),
            lane: lane.map(|(_, lane)| lane.value.clone()).unwrap_or_default(),
            retries: text.retries.map(|retries| TokenCount(retries.per_request)),
            route: fields::read_route(&format!("{path}.match"), text.r#match, faults),
            name: text.name.value,
        }
    }

    fn rank(
        &self,
        path: &str,
        level: &Spanned<CompactString>,
        faults: &mut FaultList,
    ) -> RequestImportance {
        let mut levels = self.levels.iter();
        let found = levels.find(|known| known.name.value == level.value);
        faults.check(
            path,
            level,
            found.is_some(),
            "a level listed in spec.levels",
        );
        found.map_or(RequestImportance::LOWEST, |level| {
            RequestImportance(level.rank)
        })
    }

    fn check_lane(&self, path: &str, lane: &Spanned<CompactString>, faults: &mut FaultList) {
        let is_listed = self
            .lanes
            .iter()
            .any(|known| known.name.value == lane.value);
        faults.check(path, lane, is_listed, "a lane listed in spec.lanes");
    }
}

/// The value of the route, else that of the defaults, with the path of its key; notes a fault
/// where neither has one.
fn pick<'a>(
    path: &str,
    key: &str,
    route: &RouteText,
    own: Option<&'a Spanned<CompactString>>,
    default: Option<&'a Spanned<CompactString>>,
    faults: &mut FaultList,
) -> Option<(String, &'a Spanned<CompactString>)> {
    let own = own.map(|value| (format!("{path}.{key}"), value));
    let default = default.map(|value| (format!("spec.defaults.{key}"), value));
    let picked = own.or(default);
    if picked.is_none() {
        let expected = format!("a {key}, here or in spec.defaults");
        faults.note(&format!("{path}.{key}"), &route.name, "nothing", &expected);
    }
    picked
}
