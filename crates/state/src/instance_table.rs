//! Table of the instances that a node knows.

use crate::ids::{InstanceName, RegionName, ServiceName, ZoneName};

use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

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
    /// Instances of each service, ordered by name.
    services: HashMap<ServiceName, Vec<InstanceKey>>,
}

impl InstanceTable {
    /// Adds an instance or replaces its record; the key of a known instance stays the same.
    pub fn upsert(&mut self, record: InstanceRecord) -> InstanceKey {
        let service = record.service.clone();
        let Some(&key) = self.names.get(&record.name) else {
            let name = record.name.clone();
            let key = self.records.insert(record);
            self.names.insert(name, key);
            self.list(key, service);
            return key;
        };
        let known = std::mem::replace(&mut self.records[key], record);
        if known.service != service {
            self.unlist(key, &known.service);
            self.list(key, service);
        }
        key
    }

    /// Removes an instance.
    pub fn remove(&mut self, key: InstanceKey) -> Option<InstanceRecord> {
        let record = self.records.remove(key)?;
        self.names.remove(&record.name);
        self.unlist(key, &record.service);
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
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (InstanceKey, &InstanceRecord)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, &self.records[*key]))
    }

    /// Returns all instances, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &InstanceRecord)> {
        self.names.values().map(|key| (*key, &self.records[*key]))
    }

    fn list(&mut self, key: InstanceKey, service: ServiceName) {
        let records = &self.records;
        let keys = self.services.entry(service).or_default();
        let position = keys.partition_point(|other| records[*other].name < records[key].name);
        keys.insert(position, key);
    }

    fn unlist(&mut self, key: InstanceKey, service: &str) {
        let Some(keys) = self.services.get_mut(service) else {
            return;
        };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.services.remove(service);
        }
    }
}
