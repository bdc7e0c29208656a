//! Which instances a node knows. The platform's list is a hint: what the node has seen for itself
//! goes before it, and an instance is forgotten only if it is gone from the list and has not
//! answered for a while.

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

/// Time without an answer after which an instance that is not listed may be forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(15);
/// Failures in a row that an instance must show before it is forgotten.
const FORGET_FAILURES: u32 = 3;
/// Failures in a row after which an instance does not count as answering.
const SILENT_FAILURES: u32 = 2;
/// Time for which an address that an instance told itself goes before the list.
const OWN_WORD_TIME: Duration = Duration::from_secs(30);
/// Instances that a node keeps.
const INSTANCES_MAX: usize = 4096;

/// Instances of one list that are handed on.
const LIST_ENTRIES_MAX: usize = 1024;

#[derive(Debug)]
struct MemberView {
    listed: bool,
    last_answer: Instant,
    told_itself: Option<Instant>,
    failures: u32,
    reads_platform: bool,
}

/// `MemberTable` holds what a node has seen of instances, and which lists it took in.
#[derive(Debug, Default)]
pub struct MemberTable {
    views: BTreeMap<InstanceName, MemberView>,
    lists: BTreeMap<ServiceName, u64>,
}

impl MemberTable {
    /// Takes in the list of `service` at `index`. A list older than the one held only adds.
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
            self.apply_listed(now, table, record, is_current);
        }
        if is_current {
            self.lists.insert(version.service.clone(), version.index);
            self.unlist_others(table, &version.service, &names);
        }
    }

    /// Takes in what an instance says of itself.
    pub fn merge_self_report(
        &mut self,
        now: Instant,
        table: &mut InstanceTable,
        record: InstanceRecord,
    ) {
        if !self.has_room_for(table, &record.name) {
            return;
        }
        let view = self.view_mut(now, &record.name);
        view.told_itself = Some(now);
        view.last_answer = now;
        view.failures = 0;
        table.upsert(record);
    }

    /// Notes an answer of an instance.
    pub fn record_response(&mut self, now: Instant, name: &InstanceName) {
        let view = self.view_mut(now, name);
        view.last_answer = now;
        view.failures = 0;
    }

    /// Notes that an instance did not answer.
    pub fn record_failure(&mut self, now: Instant, name: &InstanceName) {
        self.view_mut(now, name).failures += 1;
    }

    /// Notes whether an instance says that it can read the platform.
    pub fn record_platform_access(&mut self, now: Instant, name: &InstanceName, reads: bool) {
        self.view_mut(now, name).reads_platform = reads;
    }

    /// Tells whether nothing speaks against the instance answering and reading the platform.
    #[must_use]
    pub fn may_watch(&self, name: &str) -> bool {
        let view = self.views.get(name);
        view.is_none_or(|view| view.failures < SILENT_FAILURES && view.reads_platform)
    }

    /// Instances that the list does not name and whose last try failed, or that were never met.
    #[must_use]
    pub fn unconfirmed(&self, table: &InstanceTable) -> Vec<InstanceKey> {
        let is_doubtful = |view: &&MemberView| !view.listed && view.failures > 0;
        table
            .iter()
            .filter(|(_, record)| {
                self.views
                    .get(&record.name)
                    .as_ref()
                    .is_some_and(is_doubtful)
            })
            .map(|(key, _)| key)
            .collect()
    }

    /// Forgets instances that are not listed and have not answered for a while.
    pub fn remove_expired(&mut self, now: Instant, table: &mut InstanceTable) -> Vec<InstanceName> {
        let is_gone = |view: &MemberView| {
            !view.listed
                && view.failures >= FORGET_FAILURES
                && now >= view.last_answer + FORGET_AFTER
        };
        let gone = self.views.extract_if(.., |_, view| is_gone(view));
        let names: Vec<_> = gone.map(|(name, _)| name).collect();
        for name in &names {
            if let Some(key) = table.find(name) {
                table.remove(key);
            }
        }
        names
    }

    /// Versions of the lists that the node holds.
    #[must_use]
    pub fn list_versions(&self) -> Vec<ListVersion> {
        let version = |(service, index): (&ServiceName, &u64)| ListVersion {
            service: service.clone(),
            index: *index,
        };
        self.lists.iter().map(version).collect()
    }

    /// Instances of `service` that the list names, with its version; `None` without a list.
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

    /// Lists of `wanted` services that a peer holds in a newer version.
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

    fn apply_listed(
        &mut self,
        now: Instant,
        table: &mut InstanceTable,
        record: InstanceRecord,
        is_current: bool,
    ) {
        if !self.has_room_for(table, &record.name) {
            return;
        }
        let is_known = table.find(&record.name).is_some();
        let view = self.view_mut(now, &record.name);
        view.listed |= is_current;
        let told = view.told_itself.is_some_and(|at| now < at + OWN_WORD_TIME);
        if !is_known || (is_current && !told) {
            table.upsert(record);
        }
    }

    fn unlist_others(
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

    fn has_room_for(&self, table: &InstanceTable, name: &str) -> bool {
        self.views.len() < INSTANCES_MAX || table.find(name).is_some()
    }

    fn view_mut(&mut self, now: Instant, name: &InstanceName) -> &mut MemberView {
        self.views.entry(name.clone()).or_insert(MemberView {
            listed: false,
            last_answer: now,
            told_itself: None,
            failures: 0,
            reads_platform: true,
        })
    }
}
