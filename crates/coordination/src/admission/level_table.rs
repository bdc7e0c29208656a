//! The admission levels of called services, by the class that calls them.
//!
//! A reply carries the strictest level of the replying node and of all it calls for that class,
//! so the first node of a call graph learns the strictest level along it.

use lagoonshore_state::{
    admission_level::AdmissionLevel,
    data_type,
    ids::{ClassName, ServiceName},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time without a reply after which a level is relaxed.
const LEVEL_HOLD: Duration = Duration::from_millis(100);
/// Time between two steps of relaxing.
const RELAX_INTERVAL: Duration = Duration::from_millis(50);
/// Parts of callers that one step admits.
const RELAX_PARTS: u32 = 256;

data_type! {
    /// `ServiceLevel` is the level that a called service reported last.
    #[derive(Copy)]
    pub struct ServiceLevel {
        /// The level.
        pub level: AdmissionLevel,
        /// Time of the report.
        #[serde(skip)]
        pub heard: Option<Instant>,
    }
}

/// `LevelTable` holds the level of each called service for each class.
#[derive(Debug, Default)]
pub struct LevelTable {
    routes: BTreeMap<ClassName, BTreeMap<ServiceName, ServiceLevel>>,
}

impl LevelTable {
    /// Notes the level in a reply to a call that was made for a request of `class`.
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

    /// Level of one called service for requests of `class`, relaxed with the age of the report.
    #[must_use]
    pub fn service_level(&self, now: Instant, class: &str, service: &str) -> AdmissionLevel {
        let services = self.routes.get(class);
        let found = services.and_then(|services| services.get(service));
        found.map_or(AdmissionLevel::ADMIT_ALL, |found| found.relaxed(now))
    }

    /// Strictest level along the call graph of `class`.
    #[must_use]
    pub fn route_level(&self, now: Instant, class: &str) -> AdmissionLevel {
        let services = self.routes.get(class).into_iter().flatten();
        services
            .map(|(_, found)| found.relaxed(now))
            .fold(AdmissionLevel::ADMIT_ALL, AdmissionLevel::stricter_of)
    }

    /// Levels in force now that are not open, by class and service.
    #[must_use]
    pub fn restricted_levels(
        &self,
        now: Instant,
    ) -> BTreeMap<ClassName, BTreeMap<ServiceName, AdmissionLevel>> {
        let mut strict: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        for (class, services) in &self.routes {
            for (service, found) in services {
                let level = found.relaxed(now);
                if level != AdmissionLevel::ADMIT_ALL {
                    let levels = strict.entry(class.clone()).or_default();
                    levels.insert(service.clone(), level);
                }
            }
        }
        strict
    }
}

impl ServiceLevel {
    fn relaxed(self, now: Instant) -> AdmissionLevel {
        let age = self.heard.map(|heard| now.saturating_duration_since(heard));
        let late = age.unwrap_or_default().saturating_sub(LEVEL_HOLD);
        let steps = late.as_millis() / RELAX_INTERVAL.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.level
            .relaxed(steps.saturating_mul(RELAX_PARTS).min(1 << 20))
    }
}
