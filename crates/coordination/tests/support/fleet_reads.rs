//! Reads of the fake platform by the nodes of a fake fleet.

use super::{FakeFleet, FakeNode, FakePlatform};

use lagoonshore_coordination::gossip::{platform_watchers, policy_digest::ListVersion};
use lagoonshore_state::{ids::ServiceName, policy_set::PolicySource};
use std::time::Duration;

/// Longest time that the platform holds a blocking query.
const WATCH_TIME: Duration = Duration::from_secs(30);

impl FakeFleet {
    pub(super) fn read_platform(&mut self, node: usize) {
        for service in self.nodes[node].distribution.due_reads(self.now) {
            if self.count_read(node) {
                self.apply_record(node, &service);
            }
        }
        for watch_index in 0..self.nodes[node].watches.len() {
            self.watch(node, watch_index);
        }
    }

    fn watch(&mut self, node: usize, watch_index: usize) {
        let now = self.now;
        let is_reachable = self.is_platform_reachable(node);
        let watch = &self.nodes[node].watches[watch_index];
        let (service, is_list) = (watch.service.clone(), watch.is_list);
        let is_watcher = self.is_watched_by_all || self.nodes[node].is_watcher(&service);
        let index = self.index_of(&service, is_list);
        if let Some(until) = watch.waiting {
            if is_reachable && index == watch.index && now < until {
                return;
            }
            self.nodes[node].reads_platform = is_reachable;
        } else if now < watch.due && !(is_watcher && now + WATCH_TIME < watch.due) {
            return;
        } else {
            let waits = is_watcher && index == watch.index && index > 0;
            if self.count_read(node) && waits {
                self.nodes[node].watches[watch_index].waiting = Some(now + WATCH_TIME);
                return;
            }
        }
        let watch = &mut self.nodes[node].watches[watch_index];
        watch.waiting = None;
        watch.index = if is_reachable { index } else { 0 };
        let found = is_reachable && index > 0;
        watch.due = now + platform_watchers::next_read_delay(is_watcher, found, &mut self.random);
        if is_reachable && is_list {
            self.apply_instance_list(node, &service);
        } else if is_reachable {
            self.apply_record(node, &service);
        }
        let node = &mut self.nodes[node];
        if !is_list && service == node.record.service {
            node.readiness.mark_platform_asked();
        }
    }

    /// Counts a read by a node; returns `true` if the platform responds to it.
    fn count_read(&mut self, node: usize) -> bool {
        let is_reachable = self.is_platform_reachable(node);
        self.platform.reads += 1;
        self.nodes[node].reads_platform = is_reachable;
        is_reachable
    }

    fn is_platform_reachable(&self, node: usize) -> bool {
        let record = &self.nodes[node].record;
        let reader = self.platform.only_reader.as_deref();
        let is_reader = reader.is_none_or(|reader| record.name == reader);
        self.platform.up && is_reader && !self.platform.partitioned_zones.contains(&record.zone)
    }

    fn platform_copy(&self) -> &FakePlatform {
        let older = self.platform.older.as_deref();
        older
            .filter(|_| self.platform.is_stale)
            .unwrap_or(&self.platform)
    }

    fn index_of(&self, service: &str, is_list: bool) -> u64 {
        let copy = self.platform_copy();
        if is_list {
            copy.lists.get(service).map_or(0, |(index, _)| *index)
        } else {
            copy.records.get(service).map_or(0, |(index, _)| *index)
        }
    }

    fn apply_record(&mut self, node: usize, service: &ServiceName) {
        let stored = self.platform_copy().records.get(service).cloned();
        if let Some((_, record)) = stored {
            let calls = self.calls.get(service).cloned().unwrap_or_default();
            self.nodes[node].offer(
                self.now,
                service,
                &record,
                &calls,
                PolicySource::Platform,
                &mut self.random,
            );
        }
    }

    fn apply_instance_list(&mut self, node: usize, service: &ServiceName) {
        let Some((index, listed)) = self.platform_copy().lists.get(service).cloned() else {
            return;
        };
        let version = ListVersion {
            service: service.clone(),
            index,
        };
        let FakeNode { members, table, .. } = &mut self.nodes[node];
        members.apply_list(self.now, table, &version, listed);
    }
}
