//! Admission levels of called services, by the request class that calls them.
//!
//! A reply carries the strictest level among the replying node and the services that it calls for
//! that class, so the entry node learns the strictest level of the whole call graph.

use lagoonshore_state::{
    admission_level::AdmissionLevel,
    data_type,
    ids::{ClassName, ServiceName},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time since the last report after which a level is relaxed.
const LEVEL_HOLD_TIME: Duration = Duration::from_millis(100);
/// Interval between relaxing steps.
const RELAX_INTERVAL: Duration = Duration::from_millis(50);
/// Caller parts that one relaxing step adds.
const RELAX_STEP_PARTS: u32 = 256;

data_type! {
    /// `ServiceLevel` is the last level that a called service reported.
    #[derive(Copy)]
    pub struct ServiceLevel {
        /// Level as reported.
        pub level: AdmissionLevel,
        /// Time at which the report arrived.
        #[serde(skip)]
        pub heard: Option<Instant>,
    }
}

/// `LevelTable` holds the level of each called service by request class.
#[derive(Debug, Default)]
pub struct LevelTable {
    routes: BTreeMap<ClassName, BTreeMap<ServiceName, ServiceLevel>>,
}

impl LevelTable {
    /// Records the level in a reply to a call that was made for a request of `class`.
    pub fn record(
        &mut self,
        now: Instant,
        class: &ClassName,
        service: &ServiceName,
        level: AdmissionLevel,
    ) {
        let services = self.routes.entry(class.clone()).or_default();
        let heard = Some(now);
        services.insert(service.clone(), ServiceLevel { level, heard });
    }

    /// Level of one called service for requests of `class`, relaxed by the age of the report.
    #[must_use]
    pub fn service_level(&self, now: Instant, class: &str, service: &str) -> AdmissionLevel {
        let services = self.routes.get(class);
        let found = services.and_then(|services| services.get(service));
        found.map_or(AdmissionLevel::ADMIT_ALL, |found| found.relaxed(now))
    }

    /// Strictest level in the call graph of `class`.
    #[must_use]
    pub fn route_level(&self, now: Instant, class: &str) -> AdmissionLevel {
        let services = self.routes.get(class).into_iter().flatten();
        services
            .map(|(_, found)| found.relaxed(now))
            .fold(AdmissionLevel::ADMIT_ALL, AdmissionLevel::stricter_of)
    }

    /// Levels that do not admit every request, by class and service.
    #[must_use]
    pub fn restricted_levels(
        &self,
        now: Instant,
    ) -> BTreeMap<ClassName, BTreeMap<ServiceName, AdmissionLevel>> {
        let mut restricted: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        for (class, services) in &self.routes {
            for (service, found) in services {
                let level = found.relaxed(now);
                if level != AdmissionLevel::ADMIT_ALL {
                    let levels = restricted.entry(class.clone()).or_default();
                    levels.insert(service.clone(), level);
                }
            }
        }
        restricted
    }
}

impl ServiceLevel {
    fn relaxed(self, now: Instant) -> AdmissionLevel {
        let age = self.heard.map(|heard| now.saturating_duration_since(heard));
        let overdue = age.unwrap_or_default().saturating_sub(LEVEL_HOLD_TIME);
        let steps = overdue.as_millis() / RELAX_INTERVAL.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.level
            .relaxed(steps.saturating_mul(RELAX_STEP_PARTS).min(1 << 20))
    }
}
