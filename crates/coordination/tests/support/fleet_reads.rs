//! Reads of the fake platform by the nodes of a fake fleet.

use super::{FakeNode, FakePlatform, FleetFake};

use lagoonshore_coordination::gossip::{platform_watchers, policy_digest::ListVersion};
use lagoonshore_state::{ids::ServiceName, policy_set::PolicySource};
use std::time::Duration;

/// Longest wait of one query at the platform.
const WATCH_TIME: Duration = Duration::from_secs(30);

impl FleetFake {
    pub(super) fn read_platform(&mut self, node: usize) {
        for service in self.nodes[node].distribution.due_reads(self.now) {
            if self.count_read(node) {
                self.take_record(node, &service);
            }
        }
        for place in 0..self.nodes[node].follows.len() {
            self.follow(node, place);
        }
    }

    fn follow(&mut self, node: usize, place: usize) {
        let now = self.now;
        let answers = self.platform_answers(node);
        let follow = &self.nodes[node].follows[place];
        let (service, is_list) = (follow.service.clone(), follow.is_list);
        let watches = self.everyone_watches || self.nodes[node].is_watcher(&service);
        let index = self.index_of(&service, is_list);
        if let Some(until) = follow.waiting {
            if answers && index == follow.index && now < until {
                return;
            }
            self.nodes[node].reads_platform = answers;
        } else if now < follow.due && !(watches && now + WATCH_TIME < follow.due) {
            return;
        } else {
            let waits = watches && index == follow.index && index > 0;
            if self.count_read(node) && waits {
                self.nodes[node].follows[place].waiting = Some(now + WATCH_TIME);
                return;
            }
        }
        let follow = &mut self.nodes[node].follows[place];
        follow.waiting = None;
        follow.index = if answers { index } else { 0 };
        let found = answers && index > 0;
        follow.due = now + platform_watchers::next_read_delay(watches, found, &mut self.random);
        if answers && is_list {
            self.take_list(node, &service);
        } else if answers {
            self.take_record(node, &service);
        }
        let node = &mut self.nodes[node];
        if !is_list && service == node.record.service {
            node.readiness.mark_platform_asked();
        }
    }

    /// Counts a read of a node; tells whether the platform answers it.
    fn count_read(&mut self, node: usize) -> bool {
        let answers = self.platform_answers(node);
        self.platform.reads += 1;
        self.nodes[node].reads_platform = answers;
        answers
    }

    fn platform_answers(&self, node: usize) -> bool {
        let record = &self.nodes[node].record;
        let reader = self.platform.only_reader.as_deref();
        let is_reader = reader.is_none_or(|reader| record.name == reader);
        self.platform.up && is_reader && !self.platform.cut_zones.contains(&record.zone)
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

    fn take_record(&mut self, node: usize, service: &ServiceName) {
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

    fn take_list(&mut self, node: usize, service: &ServiceName) {
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
