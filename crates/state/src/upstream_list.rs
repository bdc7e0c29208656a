//! The upstream list: the registered upstreams of a fleet.

use crate::{
    ids::{InstanceName, ServiceName, ZoneName},
    instance_table::InstanceState,
};

use std::{collections::BTreeMap, net::SocketAddr};

/// Upper bound of the remembered names of departed upstreams, and of those that announced their
/// departure themselves.
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
        /// Start of the upstream, in milliseconds since the Unix epoch, if its entry has it. It tells
        /// two runs under the same name apart.
        pub started_ms: Option<u64>,
        /// Whether the upstream takes new work.
        pub state: InstanceState,
        /// Revision of the list in which the record was last changed.
        pub revision: u64,
    }
}

data_type! {
    /// `UpstreamRun` identifies one run of an upstream.
    #[derive(Eq)]
    pub struct UpstreamRun {
        /// Name of the upstream.
        pub name: InstanceName,
        /// Start of the run, in milliseconds since the Unix epoch, if it is known.
        pub started_ms: Option<u64>,
    }
}

data_type! {
    /// `UpstreamLimit` is the limit on requests that an upstream named in its responses.
    pub struct UpstreamLimit {
        /// Name of the upstream.
        pub name: InstanceName,
        /// Requests a second from all nodes together.
        pub rate: f64,
    }
}

/// `UpstreamList` holds the records of the listed upstreams, and the names of those that are
/// leaving or have left.
#[derive(Debug, Default)]
pub struct UpstreamList {
    records: BTreeMap<InstanceName, UpstreamRecord>,
    departed: BTreeMap<InstanceName, u64>,
    /// Runs that announced their departure in a response, by name, with their start.
    announced: BTreeMap<InstanceName, Option<u64>>,
}

impl UpstreamList {
    /// Adds or replaces a record; returns `false` if a newer one is known. A run that announced its
    /// departure is kept as leaving, whatever the record says.
    pub fn upsert(&mut self, mut record: UpstreamRecord) -> bool {
        let known = self.records.get(&record.name).map(|known| known.revision);
        let departed = self.departed.get(&record.name).copied();
        let newest = known.max(departed);
        if newest.is_some_and(|newest| newest > record.revision) {
            return false;
        }
        if self.has_announced(&record) {
            record.state = InstanceState::Leaving;
        }
        if record.state == InstanceState::Leaving {
            self.record_departure(record.name.clone(), record.revision);
        } else {
            self.departed.remove(&record.name);
        }
        self.records.insert(record.name.clone(), record);
        true
    }

    /// Records that a run announced its departure in a response, which holds until another run of its
    /// name is listed. Returns `false` if this was known, or if a newer run is listed.
    pub fn announce_departure(&mut self, run: &UpstreamRun) -> bool {
        let UpstreamRun { name, started_ms } = run;
        if self.announced.contains_key(name) {
            return false;
        }
        let listed = self.records.get(name).and_then(|record| record.started_ms);
        if started_ms.is_some() && listed > *started_ms {
            return false;
        }
        if self.announced.len() >= DEPARTED_MAX {
            let records = &self.records;
            self.announced.retain(|name, _| records.contains_key(name));
        }
        let record = self.records.get_mut(name);
        let revision = record.as_ref().map_or(0, |record| record.revision);
        if let Some(record) = record {
            record.state = InstanceState::Leaving;
        }
        self.announced.insert(name.clone(), started_ms.or(listed));
        self.record_departure(name.clone(), revision);
        true
    }

    /// Returns the run of the upstream `name` that announced its departure.
    #[must_use]
    pub fn announced_run(&self, name: &InstanceName) -> Option<UpstreamRun> {
        let started_ms = *self.announced.get(name)?;
        Some(UpstreamRun {
            name: name.clone(),
            started_ms,
        })
    }

    /// Returns whether the run of `record` announced its departure. A run of unknown start that did
    /// is identified by the first record of its name.
    fn has_announced(&mut self, record: &UpstreamRecord) -> bool {
        let Some(started) = self.announced.get_mut(&record.name) else {
            return false;
        };
        let is_same_run = started.is_none() || *started == record.started_ms;
        if is_same_run {
            *started = record.started_ms;
        } else {
            self.announced.remove(&record.name);
        }
        is_same_run
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
        self.departed.contains_key(name) || self.announced.contains_key(name)
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
