//! Table of the instances that a node knows.

use crate::ids::{InstanceName, RegionName, ServiceName, ZoneName};

use slotmap::{SlotMap, new_key_type};
use std::{collections::BTreeMap, net::SocketAddr};

new_key_type! {
    /// `InstanceKey` identifies an instance in an [`InstanceTable`].
    pub struct InstanceKey;
}

data_type! {
    /// `InstanceState` is the state of an instance in the platform's list.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum InstanceState {
        /// The instance takes work.
        Live,
        /// The instance is draining and takes no new work.
        Leaving,
    }

    /// `InstanceRecord` describes one instance.
    pub struct InstanceRecord {
        /// Name of the instance.
        pub name: InstanceName,
        /// Service that the instance belongs to.
        pub service: ServiceName,
        /// Availability zone of the instance.
        pub zone: ZoneName,
        /// Region of the instance.
        pub region: RegionName,
        /// Address of the listener for other nodes.
        pub peer: SocketAddr,
        /// State in the platform's list.
        pub state: InstanceState,
    }
}

/// `InstanceTable` holds the instances of a node's own service and of the services that it calls.
#[derive(Debug, Default)]
pub struct InstanceTable {
    records: SlotMap<InstanceKey, InstanceRecord>,
    names: BTreeMap<InstanceName, InstanceKey>,
}

impl InstanceTable {
    /// Adds an instance or replaces its record; the key of a known instance stays the same.
    pub fn upsert(&mut self, record: InstanceRecord) -> InstanceKey {
        if let Some(key) = self.names.get(&record.name) {
            self.records[*key] = record;
            return *key;
        }
        let name = record.name.clone();
        let key = self.records.insert(record);
        self.names.insert(name, key);
        key
    }

    /// Removes an instance.
    pub fn remove(&mut self, key: InstanceKey) -> Option<InstanceRecord> {
        let record = self.records.remove(key)?;
        self.names.remove(&record.name);
        Some(record)
    }

    /// Returns the record of an instance.
    #[must_use]
    pub fn get(&self, key: InstanceKey) -> Option<&InstanceRecord> {
        self.records.get(key)
    }

    /// Finds an instance by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<InstanceKey> {
        self.names.get(name).copied()
    }

    /// Returns the instances of `service`, ordered by name.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (InstanceKey, &'a InstanceRecord)> {
        self.iter()
            .filter(move |(_, record)| record.service == service)
    }

    /// Returns all instances, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &InstanceRecord)> {
        self.names.values().map(|key| (*key, &self.records[*key]))
    }
}
