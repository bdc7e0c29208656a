//! Slots of one upstream and the queue for them.
//!
//! A request is refused on arrival where the wait that stands before it is longer than it may
//! wait, so that its caller learns at once when to come back. Waiting requests are ordered by
//! rank, then by the time by which they must start. Among requests of the same importance, calls
//! of requests that run already go before new ones: turning one away would throw away the work of
//! its parent.

use lagoonshore_state::units::RequestImportance;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Weight of a new sample in the moving averages of holding times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Holding time that is assumed before the first sample.
const HOLD_TIME_START: Duration = Duration::from_millis(50);
/// Kinds of requests whose holding times are learned.
const KINDS_MAX: usize = 256;

/// `RouteId` tells kinds of requests with different holding times apart.
pub type RouteId = u64;
/// `TicketId` numbers a waiting request.
pub type TicketId = u64;

/// `SlotRank` orders waiting requests; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotRank {
    /// Importance; that of the first request of the chain for a call.
    pub importance: RequestImportance,
    /// Whether the request is new; calls of running requests go first.
    pub is_new: bool,
}

/// `SlotRequest` describes a request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Place in the order.
    pub rank: SlotRank,
    /// Kind of the request.
    pub route: RouteId,
    /// Time by which it should have ended.
    pub finish_by: Instant,
    /// Longest time that it may wait here.
    pub wait_max: Duration,
}

/// `SlotDecision` answers an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot.
    Admitted,
    /// The request waits.
    Queued(TicketId),
    /// The request would wait longer than it may; the wait that stands before it.
    Refused(Duration),
}

/// `SlotChange` lists what became of waiting requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotChange {
    /// Requests that hold a slot now.
    pub admitted: Vec<TicketId>,
    /// Requests that can no longer be served in time, each with the wait that stood before it.
    pub refused: Vec<(TicketId, Duration)>,
}

type OrderKey = (SlotRank, Instant, TicketId);

/// `SlotQueue` gives the slots of one upstream to the requests that ask for them.
#[derive(Debug)]
pub struct SlotQueue {
    limit: u32,
    in_use: u32,
    waiting: BTreeMap<OrderKey, RouteId>,
    orders: HashMap<TicketId, OrderKey>,
    next_ticket: TicketId,
    hold: Duration,
    holds: HashMap<RouteId, Duration>,
}

impl SlotQueue {
    /// Creates a queue before `limit` slots.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.max(1),
            in_use: 0,
            waiting: BTreeMap::new(),
            orders: HashMap::new(),
            next_ticket: 0,
            hold: HOLD_TIME_START,
            holds: HashMap::new(),
        }
    }

    /// Changes the number of slots; requests above a lower one go on.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Slots in all.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Slots that are held.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Wait that stands before a new request of `rank`.
    #[must_use]
    pub fn wait(&self, rank: SlotRank) -> Duration {
        if self.in_use < self.limit && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.waiting.keys().filter(|(other, ..)| *other <= rank);
        self.wait_behind(ahead.count())
    }

    /// Time that a request of `kind` holds its slot.
    #[must_use]
    pub fn hold_time(&self, kind: RouteId) -> Duration {
        self.holds.get(&kind).copied().unwrap_or(self.hold)
    }

    /// Decides on a request that has just arrived.
    pub fn offer(&mut self, now: Instant, offer: SlotRequest) -> SlotDecision {
        if self.in_use < self.limit && self.waiting.is_empty() {
            self.in_use += 1;
            return SlotDecision::Admitted;
        }
        let hold = self.hold_time(offer.route);
        let latest = offer.finish_by.checked_sub(hold).unwrap_or(now);
        let latest = latest.min(now + offer.wait_max);
        let wait = self.wait(offer.rank);
        if now + wait > latest {
            return SlotDecision::Refused(wait);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let order = (offer.rank, latest, ticket);
        self.waiting.insert(order, offer.route);
        self.orders.insert(ticket, order);
        SlotDecision::Queued(ticket)
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, ticket: TicketId) {
        if let Some(order) = self.orders.remove(&ticket) {
            self.waiting.remove(&order);
        }
    }

    /// Learns how long a request of `kind` held its slot.
    pub fn record_hold_time(&mut self, kind: RouteId, held: Duration) {
        self.hold = average(self.hold, held);
        if let Some(known) = self.holds.get_mut(&kind) {
            *known = average(*known, held);
        } else {
            if self.holds.len() >= KINDS_MAX {
                self.holds.clear();
            }
            self.holds.insert(kind, held);
        }
    }

    /// Takes back the slot of a request that ended.
    pub fn release(&mut self, now: Instant) -> SlotChange {
        self.in_use = self.in_use.saturating_sub(1);
        self.refill(now)
    }

    /// Refuses what is too late and gives free slots to those that wait.
    pub fn refill(&mut self, now: Instant) -> SlotChange {
        let mut change = SlotChange::default();
        self.expire(now, &mut change);
        while self.in_use < self.limit {
            let Some(((_, _, ticket), _)) = self.waiting.pop_first() else {
                break;
            };
            self.orders.remove(&ticket);
            self.in_use += 1;
            change.admitted.push(ticket);
        }
        change
    }

    fn expire(&mut self, now: Instant, change: &mut SlotChange) {
        let late = self.waiting.keys().filter(|(_, latest, _)| *latest < now);
        let late: Vec<OrderKey> = late.copied().collect();
        for order in late {
            let (rank, _, ticket) = order;
            self.waiting.remove(&order);
            self.orders.remove(&ticket);
            change.refused.push((ticket, self.wait(rank)));
        }
    }

    /// Earliest time at which a waiting request has to be refused.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiting.keys().map(|(_, latest, _)| *latest).min()
    }

    fn wait_behind(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let over = self.in_use.saturating_sub(self.limit);
        let turns = ahead.saturating_add(over).saturating_add(1);
        self.hold.mul_f64(f64::from(turns) / f64::from(self.limit))
    }
}

fn average(known: Duration, sample: Duration) -> Duration {
    known.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
