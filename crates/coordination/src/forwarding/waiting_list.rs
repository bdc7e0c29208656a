//! Requests that wait for a slot, in the order in which they are served.

use super::{
    account_shares::{AccountHash, ShareExcess},
    slot_queue::{RouteId, SlotRank, TicketId},
    wait_plan::{WaitClass, WaitPlan},
};

use std::collections::{BTreeMap, HashMap};
use tokio::time::Instant;

/// `QueuePosition` orders the waiting requests; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) rank: SlotRank,
    pub(super) class: WaitClass,
    pub(super) excess: ShareExcess,
}

/// `QueueKey` orders requests at the same position by the time by which they must start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) position: QueuePosition,
    pub(super) start_by: Instant,
    pub(super) ticket: TicketId,
}

impl QueueKey {
    fn is_late(&self) -> bool {
        self.position.class == WaitClass::Late
    }
}

/// `WaitingRequest` is what is needed of a request once it leaves the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) route: RouteId,
    pub(super) account: Option<AccountHash>,
    /// Plan that it follows once it can only complete late.
    pub(super) late: Option<WaitPlan>,
}

/// `WaitingList` holds the requests that wait for the slots of one upstream.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    requests: BTreeMap<QueueKey, WaitingRequest>,
    keys: HashMap<TicketId, QueueKey>,
    next_ticket: TicketId,
    late_count: usize,
}

impl WaitingList {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests that can only complete late.
    pub(super) const fn late_count(&self) -> usize {
        self.late_count
    }

    /// Number of requests that are served before a new one at `position`.
    pub(super) fn ahead_of(&self, position: QueuePosition) -> usize {
        let keys = self.requests.keys();
        keys.filter(|key| key.position <= position).count()
    }

    /// Adds a request under a new ticket.
    pub(super) fn push(
        &mut self,
        position: QueuePosition,
        start_by: Instant,
        request: WaitingRequest,
    ) -> TicketId {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let key = QueueKey {
            position,
            start_by,
            ticket,
        };
        self.insert(key, request);
        ticket
    }

    /// Adds a request under the ticket that it had.
    pub(super) fn insert(&mut self, key: QueueKey, request: WaitingRequest) {
        self.late_count += usize::from(key.is_late());
        self.requests.insert(key, request);
        self.keys.insert(key.ticket, key);
    }

    pub(super) fn remove(&mut self, ticket: TicketId) -> Option<WaitingRequest> {
        let key = self.keys.remove(&ticket)?;
        self.late_count -= usize::from(key.is_late());
        self.requests.remove(&key)
    }

    /// Removes the request that is served next.
    pub(super) fn pop_first(&mut self) -> Option<(TicketId, WaitingRequest)> {
        let (key, request) = self.requests.pop_first()?;
        self.late_count -= usize::from(key.is_late());
        self.keys.remove(&key.ticket);
        Some((key.ticket, request))
    }

    /// Keys of the waiting requests, in order.
    pub(super) fn keys(&self) -> impl Iterator<Item = &QueueKey> {
        self.requests.keys()
    }
}
