//! Who holds how much of the memory of messages.

use serde::Serialize;
use std::{collections::HashMap, net::IpAddr, sync::Mutex, sync::PoisonError};

/// Most holders that a report names.
const REPORTED_HOLDERS_MAX: usize = 10;

/// `MemoryHolder` is the side from which a message came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemoryHolder {
    /// A caller, by its address.
    Caller(IpAddr),
    /// Another node, by its address.
    Node(IpAddr),
    /// The local upstream or the store.
    #[default]
    Upstream,
}

/// `MessageKind` tells requests from responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// A request, which has not run.
    Request,
    /// A response, for which work was done.
    Response,
}

/// `HeldMemory` is what the messages of one kind from one side hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldMemory {
    /// The side from which the messages came.
    pub holder: MemoryHolder,
    /// Kind of the messages.
    pub kind: MessageKind,
    /// Bytes that they hold.
    pub bytes: usize,
}

/// `MemoryReport` shows the use of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemoryReport {
    /// Bytes that no message holds.
    pub free_bytes: usize,
    /// Bytes that requests of callers hold.
    pub caller_bytes: usize,
    /// Bytes that messages of other nodes hold.
    pub link_bytes: usize,
    /// Bytes that responses of the upstream hold.
    pub upstream_bytes: usize,
    /// Requests that were given up for others while they arrived, since the start of the process.
    pub given_up: u64,
    /// The largest holders, the largest one first.
    pub largest: Vec<HeldMemory>,
}

/// `HolderTable` counts what each holder holds.
#[derive(Debug, Default)]
pub(crate) struct HolderTable {
    held: Mutex<HashMap<(MemoryHolder, MessageKind), usize>>,
}

impl HolderTable {
    pub(crate) fn add(&self, holder: MemoryHolder, kind: MessageKind, bytes: usize) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        *held.entry((holder, kind)).or_default() += bytes;
    }

    pub(crate) fn remove(&self, holder: MemoryHolder, kind: MessageKind, bytes: usize) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(count) = held.get_mut(&(holder, kind)) else {
            return;
        };
        *count = count.saturating_sub(bytes);
        if *count == 0 {
            held.remove(&(holder, kind));
        }
    }

    pub(crate) fn report(&self, free_bytes: usize, given_up: u64) -> MemoryReport {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = held.iter().map(|((holder, kind), bytes)| HeldMemory {
            holder: *holder,
            kind: *kind,
            bytes: *bytes,
        });
        let mut largest: Vec<HeldMemory> = rows.collect();
        largest.sort_by_key(|row| (std::cmp::Reverse(row.bytes), row.holder, row.kind));
        let sum_of = |is_counted: fn(MemoryHolder) -> bool| {
            let counted = largest.iter().filter(|row| is_counted(row.holder));
            counted.map(|row| row.bytes).sum()
        };
        let report = MemoryReport {
            free_bytes,
            caller_bytes: sum_of(|holder| matches!(holder, MemoryHolder::Caller(_))),
            link_bytes: sum_of(|holder| matches!(holder, MemoryHolder::Node(_))),
            upstream_bytes: sum_of(|holder| holder == MemoryHolder::Upstream),
            given_up,
            largest: Vec::new(),
        };
        largest.truncate(REPORTED_HOLDERS_MAX);
        MemoryReport { largest, ..report }
    }
}
