//! The upstream list: the registered upstreams of a fleet.

use crate::{
    ids::{InstanceName, ServiceName, ZoneName},
    instance_table::InstanceState,
};

use std::{collections::BTreeMap, net::SocketAddr};

/// Upper bound of the remembered names of departed upstreams.
const DEPARTED_MAX: usize = 1024;

data_type! {
    /// `UpstreamRecord` is the entry of one upstream in the upstream list.
    #[derive(Eq)]
    pub struct UpstreamRecord {
        /// Name of the upstream, which is new with each of its runs.
        pub name: InstanceName,
        /// Service that the upstream belongs to.
        pub service: ServiceName,
        /// Availability zone of the upstream.
        pub zone: ZoneName,
        /// Address that the upstream listens on; only the node on the same instance can reach it.
        pub address: SocketAddr,
        /// Concurrent requests that the upstream serves.
        pub slots: u32,
        /// Whether the upstream takes new work.
        pub state: InstanceState,
        /// Revision of the list in which the record was last changed.
        pub revision: u64,
    }
}

/// `UpstreamList` holds the records of the listed upstreams, and the names of those that are
/// leaving or have left.
#[derive(Debug, Default)]
pub struct UpstreamList {
    records: BTreeMap<InstanceName, UpstreamRecord>,
    departed: BTreeMap<InstanceName, u64>,
}

impl UpstreamList {
    /// Adds or replaces a record; returns `false` if a newer one is known.
    pub fn upsert(&mut self, record: UpstreamRecord) -> bool {
        let known = self.records.get(&record.name).map(|known| known.revision);
        let departed = self.departed.get(&record.name).copied();
        let newest = known.max(departed);
        if newest.is_some_and(|newest| newest > record.revision) {
            return false;
        }
        if record.state == InstanceState::Leaving {
            self.record_departure(record.name.clone(), record.revision);
        } else {
            self.departed.remove(&record.name);
        }
        self.records.insert(record.name.clone(), record);
        true
    }

    /// Removes an upstream that is no longer listed as of `revision`; `None` if it is unknown or
    /// its record is newer.
    pub fn remove(&mut self, name: &str, revision: u64) -> Option<UpstreamRecord> {
        if self.records.get(name)?.revision > revision {
            return None;
        }
        self.record_departure(name.into(), revision);
        self.records.remove(name)
    }

    /// Returns the record of an upstream.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&UpstreamRecord> {
        self.records.get(name)
    }

    /// Returns the newest record of an upstream that listens on `address`.
    #[must_use]
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&UpstreamRecord> {
        let records = self.records.values();
        records
            .filter(|record| record.address == address)
            .max_by_key(|record| record.revision)
    }

    /// Returns `true` if the upstream is leaving or has left.
    #[must_use]
    pub fn has_departed(&self, name: &str) -> bool {
        self.departed.contains_key(name)
    }

    /// Returns all records, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.values()
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if the list is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_departure(&mut self, name: InstanceName, revision: u64) {
        self.departed.insert(name, revision);
        if self.departed.len() > DEPARTED_MAX {
            let oldest = self.departed.iter().min_by_key(|(_, revision)| **revision);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&name);
            }
        }
    }
}
