//! The instances that a node knows.

use crate::ids::{InstanceName, RegionName, ServiceName, ZoneName};

use slotmap::{SlotMap, new_key_type};
use std::{collections::BTreeMap, net::SocketAddr};

new_key_type! {
    /// `InstanceKey` identifies an instance in an [`InstanceTable`].
    pub struct InstanceKey;
}

data_type! {
    /// `InstanceState` is what the platform's list says of an instance.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum InstanceState {
        /// The instance takes work.
        Live,
        /// The instance is leaving and takes no new work.
        Leaving,
    }

    /// `InstanceRecord` describes one instance.
    pub struct InstanceRecord {
        /// Name of the instance.
        pub name: InstanceName,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Its region.
        pub region: RegionName,
        /// Address of its peer door.
        pub peer: SocketAddr,
        /// What the list says of it.
        pub state: InstanceState,
    }
}

/// `InstanceTable` holds the instances of the services that a node calls, and of its own.
#[derive(Debug, Default)]
pub struct InstanceTable {
    records: SlotMap<InstanceKey, InstanceRecord>,
    names: BTreeMap<InstanceName, InstanceKey>,
}

impl InstanceTable {
    /// Adds an instance or replaces what is known of it.
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

    /// Forgets an instance.
    pub fn remove(&mut self, key: InstanceKey) -> Option<InstanceRecord> {
        let record = self.records.remove(key)?;
        self.names.remove(&record.name);
        Some(record)
    }

    /// Record of an instance.
    #[must_use]
    pub fn get(&self, key: InstanceKey) -> Option<&InstanceRecord> {
        self.records.get(key)
    }

    /// Finds an instance by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<InstanceKey> {
        self.names.get(name).copied()
    }

    /// Instances of `service`, by name.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (InstanceKey, &'a InstanceRecord)> {
        self.iter()
            .filter(move |(_, record)| record.service == service)
    }

    /// All instances, by name.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &InstanceRecord)> {
        self.names.values().map(|key| (*key, &self.records[*key]))
    }
}
