//! Membership: which instances a node knows. The platform's instance list is treated as a hint, and
//! what the node has observed itself takes precedence. An instance is removed only if the list no
//! longer names it and it has not responded for a while.

use crate::gossip::policy_digest::ListVersion;

use lagoonshore_state::{
    ids::{InstanceName, ServiceName},
    instance_table::{InstanceKey, InstanceRecord, InstanceTable},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time without a response after which an unlisted instance may be removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(15);
/// Consecutive failures that an unlisted instance must have before it is removed.
const EXPIRE_FAILURES: u32 = 3;
/// Consecutive failures after which an instance counts as unresponsive.
const UNRESPONSIVE_FAILURES: u32 = 2;
/// Time for which a record reported by the instance itself takes precedence over the list.
const SELF_REPORT_TTL: Duration = Duration::from_secs(30);
/// Upper bound of the instances that a node keeps.
const INSTANCES_MAX: usize = 4096;

/// Upper bound of the instances that a node passes on to peers in one list.
const LIST_ENTRIES_MAX: usize = 1024;

#[derive(Debug)]
struct MemberView {
    listed: bool,
    last_response: Instant,
    self_reported_at: Option<Instant>,
    failures: u32,
    reads_platform: bool,
}

/// `MemberTable` holds what a node has observed of each instance, and the versions of the instance
/// lists that it has applied.
#[derive(Debug, Default)]
pub struct MemberTable {
    views: BTreeMap<InstanceName, MemberView>,
    lists: BTreeMap<ServiceName, u64>,
}

impl MemberTable {
    /// Applies an instance list. A list older than the applied version only adds instances.
    pub fn apply_list(
        &mut self,
        now: Instant,
        table: &mut InstanceTable,
        version: &ListVersion,
        listed: Vec<InstanceRecord>,
    ) {
        let held = self.lists.get(&version.service).copied().unwrap_or(0);
        let is_current = version.index >= held;
        let mut names = BTreeSet::new();
        for record in listed {
            if record.service != version.service {
                continue;
            }
            names.insert(record.name.clone());
            self.merge_listed(now, table, record, is_current);
        }
        if is_current {
            self.lists.insert(version.service.clone(), version.index);
            self.unlist_missing(table, &version.service, &names);
        }
    }

    /// Merges a record that an instance sent about itself.
    pub fn merge_self_report(
        &mut self,
        now: Instant,
        table: &mut InstanceTable,
        record: InstanceRecord,
    ) {
        if !self.has_capacity_for(table, &record.name) {
            return;
        }
        let view = self.view_mut(now, &record.name);
        view.self_reported_at = Some(now);
        view.last_response = now;
        view.failures = 0;
        table.upsert(record);
    }

    /// Records a response of an instance; resets its failure count.
    pub fn record_response(&mut self, now: Instant, name: &InstanceName) {
        let view = self.view_mut(now, name);
        view.last_response = now;
        view.failures = 0;
    }

    /// Records that an instance did not respond.
    pub fn record_failure(&mut self, now: Instant, name: &InstanceName) {
        self.view_mut(now, name).failures += 1;
    }

    /// Records whether an instance reports that it can read the platform.
    pub fn record_platform_access(&mut self, now: Instant, name: &InstanceName, reads: bool) {
        self.view_mut(now, name).reads_platform = reads;
    }

    /// Returns `true` if the instance is not known to be unresponsive or unable to read the
    /// platform.
    #[must_use]
    pub fn can_watch(&self, name: &str) -> bool {
        let view = self.views.get(name);
        view.is_none_or(|view| view.failures < UNRESPONSIVE_FAILURES && view.reads_platform)
    }

    /// Returns the unlisted instances that have failed to respond since their last response.
    #[must_use]
    pub fn unconfirmed(&self, table: &InstanceTable) -> Vec<InstanceKey> {
        let is_unconfirmed = |view: &&MemberView| !view.listed && view.failures > 0;
        table
            .iter()
            .filter(|(_, record)| {
                self.views
                    .get(&record.name)
                    .as_ref()
                    .is_some_and(is_unconfirmed)
            })
            .map(|(key, _)| key)
            .collect()
    }

    /// Removes instances that are unlisted, have failed repeatedly and have not responded for a
    /// while; returns their names.
    pub fn remove_expired(&mut self, now: Instant, table: &mut InstanceTable) -> Vec<InstanceName> {
        let is_expired = |view: &MemberView| {
            !view.listed
                && view.failures >= EXPIRE_FAILURES
                && now >= view.last_response + EXPIRE_AFTER
        };
        let expired = self.views.extract_if(.., |_, view| is_expired(view));
        let names: Vec<_> = expired.map(|(name, _)| name).collect();
        for name in &names {
            if let Some(key) = table.find(name) {
                table.remove(key);
            }
        }
        names
    }

    /// Returns the versions of the applied lists.
    #[must_use]
    pub fn list_versions(&self) -> Vec<ListVersion> {
        let version = |(service, index): (&ServiceName, &u64)| ListVersion {
            service: service.clone(),
            index: *index,
        };
        self.lists.iter().map(version).collect()
    }

    /// Returns the listed instances of `service` with the version of the list; `None` if no list
    /// was applied for the service.
    #[must_use]
    pub fn list(
        &self,
        table: &InstanceTable,
        service: &str,
    ) -> Option<(ListVersion, Vec<InstanceRecord>)> {
        let (service, index) = self.lists.get_key_value(service)?;
        let version = ListVersion {
            service: service.clone(),
            index: *index,
        };
        let is_listed = |name: &str| self.views.get(name).is_some_and(|view| view.listed);
        let records = table
            .of_service(service)
            .filter(|(_, record)| is_listed(&record.name));
        let records = records.take(LIST_ENTRIES_MAX);
        Some((version, records.map(|(_, record)| record.clone()).collect()))
    }

    /// Returns the services among `wanted` for which a peer offers a newer list than the applied
    /// one.
    #[must_use]
    pub fn newer_lists(
        &self,
        wanted: &BTreeSet<ServiceName>,
        offered: &[ListVersion],
    ) -> Vec<ServiceName> {
        let is_newer = |version: &&ListVersion| {
            let held = self.lists.get(&version.service).copied().unwrap_or(0);
            wanted.contains(&version.service) && version.index > held
        };
        let newer = offered.iter().filter(is_newer);
        newer.map(|version| version.service.clone()).collect()
    }

    fn merge_listed(
        &mut self,
        now: Instant,
        table: &mut InstanceTable,
        record: InstanceRecord,
        is_current: bool,
    ) {
        if !self.has_capacity_for(table, &record.name) {
            return;
        }
        let is_known = table.find(&record.name).is_some();
        let view = self.view_mut(now, &record.name);
        view.listed |= is_current;
        let is_self_reported = view
            .self_reported_at
            .is_some_and(|at| now < at + SELF_REPORT_TTL);
        if !is_known || (is_current && !is_self_reported) {
            table.upsert(record);
        }
    }

    fn unlist_missing(
        &mut self,
        table: &InstanceTable,
        service: &str,
        names: &BTreeSet<InstanceName>,
    ) {
        for (_, record) in table.of_service(service) {
            if names.contains(&record.name) {
                continue;
            }
            if let Some(view) = self.views.get_mut(&record.name) {
                view.listed = false;
            }
        }
    }

    fn has_capacity_for(&self, table: &InstanceTable, name: &str) -> bool {
        self.views.len() < INSTANCES_MAX || table.find(name).is_some()
    }

    fn view_mut(&mut self, now: Instant, name: &InstanceName) -> &mut MemberView {
        self.views.entry(name.clone()).or_insert(MemberView {
            listed: false,
            last_response: now,
            self_reported_at: None,
            failures: 0,
            reads_platform: true,
        })
    }
}
