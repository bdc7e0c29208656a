//! The upstreams of a fleet as its published list names them.

use crate::{
    ids::{InstanceName, ServiceName, ZoneName},
    instance_table::InstanceState,
};

use std::{collections::BTreeMap, net::SocketAddr};

/// Names of upstreams that left which are remembered.
const DEPARTED_MAX: usize = 1024;

data_type! {
    /// `UpstreamRecord` is what the list says of one upstream.
    #[derive(Eq)]
    pub struct UpstreamRecord {
        /// Name of this run of the upstream.
        pub name: InstanceName,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Where it listens; only the node on the same instance reaches it.
        pub address: SocketAddr,
        /// Requests that it serves at the same time.
        pub slots: u32,
        /// Whether it takes new work.
        pub state: InstanceState,
        /// Change of the list that the record stems from.
        pub revision: u64,
    }
}

/// `UpstreamList` holds the upstreams that take work and the names of those that left.
#[derive(Debug, Default)]
pub struct UpstreamList {
    records: BTreeMap<InstanceName, UpstreamRecord>,
    departed: BTreeMap<InstanceName, u64>,
}

impl UpstreamList {
    /// Takes a record in; `false` if a newer one is held.
    pub fn upsert(&mut self, record: UpstreamRecord) -> bool {
        let known = self.records.get(&record.name).map(|known| known.revision);
        let departed = self.departed.get(&record.name).copied();
        let newest = known.max(departed);
        if newest.is_some_and(|newest| newest > record.revision) {
            return false;
        }
        if record.state == InstanceState::Leaving {
            self.note_departure(record.name.clone(), record.revision);
        } else {
            self.departed.remove(&record.name);
        }
        self.records.insert(record.name.clone(), record);
        true
    }

    /// Forgets an upstream that the list named no longer at `revision`.
    pub fn remove(&mut self, name: &str, revision: u64) -> Option<UpstreamRecord> {
        if self.records.get(name)?.revision > revision {
            return None;
        }
        self.note_departure(name.into(), revision);
        self.records.remove(name)
    }

    /// Record of an upstream.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&UpstreamRecord> {
        self.records.get(name)
    }

    /// Newest record of the upstream that listens at `address`.
    #[must_use]
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&UpstreamRecord> {
        let here = self.records.values();
        here.filter(|record| record.address == address)
            .max_by_key(|record| record.revision)
    }

    /// Tells whether the upstream gave notice that it leaves, or left.
    #[must_use]
    pub fn has_departed(&self, name: &str) -> bool {
        self.departed.contains_key(name)
    }

    /// All records, by name.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.values()
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn note_departure(&mut self, name: InstanceName, revision: u64) {
        self.departed.insert(name, revision);
        if self.departed.len() > DEPARTED_MAX {
            let oldest = self.departed.iter().min_by_key(|(_, revision)| **revision);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&name);
            }
        }
    }
}
