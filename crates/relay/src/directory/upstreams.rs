//! Changes of the upstream list.

use super::FleetDirectory;

use crate::events;

use lagoonshore_state::{
    instance_table::InstanceRecord,
    upstream_list::{UpstreamRecord, UpstreamRun},
};
use tracing::{info, warn};

impl FleetDirectory {
    /// Adds or updates an upstream, unless a newer revision of it is known.
    pub fn upsert_upstream(&self, record: UpstreamRecord) {
        let name = record.name.clone();
        let revision = record.revision;
        if !self.upstreams.borrow_mut().upsert(record) {
            return;
        }
        let Some(entry) = self.instance_record(&name) else {
            return;
        };
        let state = entry.state;
        info!(
            event = events::UPSTREAM_LISTED,
            instance = %name, service = %entry.service, ?state, revision, "upstream: listed"
        );
        self.instances.borrow_mut().upsert(entry);
        self.notify_change();
    }

    /// Records that a run announced its departure in a response.
    pub fn announce_departure(&self, run: &UpstreamRun) {
        if !self.upstreams.borrow_mut().announce_departure(run) {
            return;
        }
        let name = &run.name;
        info!(
            event = events::DEPARTURE_ANNOUNCED,
            instance = %name,
            "upstream: announced its departure in a response"
        );
        if let Some(entry) = self.instance_record(name) {
            self.instances.borrow_mut().upsert(entry);
        }
        self.notify_change();
    }

    /// Removes an upstream that is no longer listed at `revision` of the store.
    pub fn remove_upstream(&self, name: &str, revision: u64) {
        if self.upstreams.borrow_mut().remove(name, revision).is_none() {
            return;
        }
        info!(
            event = events::UPSTREAM_REMOVED,
            instance = name,
            revision,
            "upstream: removed from the list"
        );
        let mut instances = self.instances.borrow_mut();
        if let Some(key) = instances.find(name) {
            instances.remove(key);
        }
        drop(instances);
        self.notify_change();
    }

    /// Logs and counts an invalid list entry, and removes the upstream that was listed under its
    /// name.
    pub fn refuse_entry(&self, name: &str, revision: u64, error: &str) {
        self.refused_count.set(self.refused_count.get() + 1);
        warn!(
            event = events::ENTRY_REFUSED,
            instance = name,
            revision,
            fault = error,
            "list entry: refused"
        );
        self.remove_upstream(name, revision);
    }

    fn instance_record(&self, name: &str) -> Option<InstanceRecord> {
        let upstreams = self.upstreams.borrow();
        let record = upstreams.get(name)?;
        Some(InstanceRecord {
            name: record.name.clone(),
            service: record.service.clone(),
            zone: record.zone.clone(),
            region: self.region.clone(),
            peer: self.peer_address(record),
            state: record.state,
        })
    }
}
