//! Slots of one upstream and the queue for them.
//!
//! A request needs a slot and, while the upstream names a limit on its rate, a permission of the
//! [`RateLimiter`].
//!
//! A request is refused on arrival if its expected wait is longer than it may wait, so that its
//! caller learns at once when to retry. Waiting requests are ordered by rank, then by the time by
//! which they must start. Among requests of the same importance, calls made by requests that
//! already run precede new ones: refusing such a call would waste the work of its parent. Among new
//! ones, those that can complete within their target latency go first, and among these, those of
//! client accounts that had no more than their share of the slots.

use super::{
    account_shares::{AccountHash, AccountShares, ShareExcess},
    rate_limiter::RateLimiter,
    wait_plan::{WaitClass, WaitPlan, WaitTimes},
    waiting_list::{QueueKey, QueuePosition, WaitingList, WaitingRequest},
};

use lagoonshore_state::units::RequestImportance;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Weight of a new sample in the moving averages of hold times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Hold time that is assumed before the first sample.
const HOLD_TIME_INITIAL: Duration = Duration::from_millis(50);
/// Largest number of routes whose hold times are tracked.
const ROUTES_MAX: usize = 256;

/// `RouteId` identifies a route, whose requests have similar hold times.
pub type RouteId = u64;
/// `TicketId` identifies a waiting request.
pub type TicketId = u64;

/// `SlotRank` orders waiting requests; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotRank {
    /// Importance of the request; for a call, that of the request at the start of its chain.
    pub importance: RequestImportance,
    /// Whether the request is new; calls made by running requests precede new ones.
    pub is_new: bool,
}

/// `SlotRequest` describes a request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Rank in the queue.
    pub rank: SlotRank,
    /// Route of the request.
    pub route: RouteId,
    /// Client account that sent it, if it has one.
    pub account: Option<AccountHash>,
    /// Time by which the request should have completed.
    pub finish_by: Instant,
    /// Time until which a later response is of use, if the request may wait that long behind those
    /// that can complete in time.
    pub late_by: Option<Instant>,
    /// Longest time that the request may wait in this queue.
    pub wait_max: Duration,
}

/// `SlotDecision` is the result of a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot.
    Admitted,
    /// The request waits under this ticket.
    Queued(TicketId),
    /// The request would have to wait longer than it may; holds the expected wait.
    Refused(Duration),
}

/// `SlotChange` lists the waiting requests that were admitted or refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotChange {
    /// Requests that hold a slot now.
    pub admitted: Vec<TicketId>,
    /// Requests that can no longer be served in time, each with its expected wait.
    pub refused: Vec<(TicketId, Duration)>,
}

/// `SlotQueue` assigns the slots of one upstream to requests.
#[derive(Debug)]
pub struct SlotQueue {
    limit: u32,
    in_use: u32,
    rate: RateLimiter,
    shares: AccountShares,
    waiting: WaitingList,
    mean_hold_time: Duration,
    route_hold_times: HashMap<RouteId, Duration>,
}

impl SlotQueue {
    /// Creates a queue for `limit` slots, without a limit on the rate.
    #[must_use]
    pub fn new(now: Instant, limit: u32) -> Self {
        Self {
            limit: limit.max(1),
            in_use: 0,
            rate: RateLimiter::new(now),
            shares: AccountShares::default(),
            waiting: WaitingList::default(),
            mean_hold_time: HOLD_TIME_INITIAL,
            route_hold_times: HashMap::new(),
        }
    }

    /// Changes the number of slots; running requests above a lower limit complete.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit.max(1);
    }

    /// Total number of slots.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of slots in use.
    #[must_use]
    pub const fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Number of waiting requests that can complete within their target latency.
    #[must_use]
    pub fn queued_in_time(&self) -> usize {
        self.waiting.len() - self.waiting.late_count()
    }

    /// Limit on the rate of requests.
    #[must_use]
    pub const fn rate(&self) -> &RateLimiter {
        &self.rate
    }

    /// Limit on the rate of requests, to change it; a refill is due afterwards.
    pub const fn rate_mut(&mut self) -> &mut RateLimiter {
        &mut self.rate
    }

    /// Expected wait of a new request of `rank`.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, rank: SlotRank) -> Duration {
        let position = QueuePosition {
            rank,
            class: WaitClass::InTime,
            excess: ShareExcess::MAX,
        };
        self.wait_of(now, position)
    }

    fn wait_of(&self, now: Instant, position: QueuePosition) -> Duration {
        let ahead = self.waiting.ahead_of(position);
        let slot_wait = self.slot_wait(ahead);
        slot_wait.max(self.rate.expected_wait(now, ahead))
    }

    /// Time at which the next waiting request may be admitted by the limit on the rate; `None` if
    /// none waits or a slot has to be released first.
    #[must_use]
    pub fn next_admission(&self, now: Instant) -> Option<Instant> {
        let is_waiting = !self.waiting.is_empty() && self.in_use < self.limit;
        is_waiting.then(|| now + self.rate.expected_wait(now, 0))
    }

    /// Mean time for which a request of `route` holds its slot.
    #[must_use]
    pub fn hold_time(&self, route: RouteId) -> Duration {
        self.route_hold_times
            .get(&route)
            .copied()
            .unwrap_or(self.mean_hold_time)
    }

    /// Mean time for which a request of any route holds its slot.
    #[must_use]
    pub const fn mean_hold_time(&self) -> Duration {
        self.mean_hold_time
    }

    /// Mean time for which a request of `route` holds its slot; `None` before the first one.
    #[must_use]
    pub fn known_hold_time(&self, route: RouteId) -> Option<Duration> {
        self.route_hold_times.get(&route).copied()
    }

    /// Admits, queues or refuses a request that has just arrived.
    pub fn offer(&mut self, now: Instant, request: SlotRequest) -> SlotDecision {
        let is_free = self.in_use < self.limit && self.waiting.is_empty();
        if is_free && self.rate.try_take(now) {
            self.start(now, request.route, request.account);
            return SlotDecision::Admitted;
        }
        let times = WaitTimes {
            finish_by: request.finish_by,
            late_by: request.late_by,
            wait_until: now + request.wait_max,
            hold_time: self.hold_time(request.route),
        };
        let late = times.late(now);
        let decision = self.enqueue(now, &request, times.in_time(now), late);
        match (decision, late) {
            (SlotDecision::Refused(_), Some(late)) => self.enqueue(now, &request, late, None),
            _ => decision,
        }
    }

    /// Queues a request by `plan` unless its expected wait is longer. It follows `late` afterwards.
    fn enqueue(
        &mut self,
        now: Instant,
        request: &SlotRequest,
        plan: WaitPlan,
        late: Option<WaitPlan>,
    ) -> SlotDecision {
        let excess = if request.rank.is_new {
            self.shares.excess(now, request.account)
        } else {
            0
        };
        let position = QueuePosition {
            rank: request.rank,
            class: plan.class,
            excess,
        };
        let expected_wait = self.wait_of(now, position);
        if now + expected_wait > plan.start_by {
            return SlotDecision::Refused(expected_wait);
        }
        let waiting = WaitingRequest {
            route: request.route,
            account: request.account,
            late,
        };
        SlotDecision::Queued(self.waiting.push(position, plan.start_by, waiting))
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, ticket: TicketId) {
        self.waiting.remove(ticket);
    }

    /// Records how long a request of `route` held its slot.
    pub fn record_hold_time(&mut self, route: RouteId, held: Duration) {
        self.mean_hold_time = moving_average(self.mean_hold_time, held);
        if let Some(known) = self.route_hold_times.get_mut(&route) {
            *known = moving_average(*known, held);
        } else {
            if self.route_hold_times.len() >= ROUTES_MAX {
                self.route_hold_times.clear();
            }
            self.route_hold_times.insert(route, held);
        }
    }

    /// Releases the slot of a request that ended, and refills the free slots.
    pub fn release(&mut self, now: Instant) -> SlotChange {
        self.in_use = self.in_use.saturating_sub(1);
        self.refill(now)
    }

    /// Refuses requests that may not wait any longer, then assigns free slots to waiting ones.
    pub fn refill(&mut self, now: Instant) -> SlotChange {
        let mut change = SlotChange::default();
        self.refuse_expired(now, &mut change);
        while self.in_use < self.limit && !self.waiting.is_empty() && self.rate.try_take(now) {
            let Some((ticket, waiting)) = self.waiting.pop_first() else {
                break;
            };
            self.start(now, waiting.route, waiting.account);
            change.admitted.push(ticket);
        }
        change
    }

    fn start(&mut self, now: Instant, route: RouteId, account: Option<AccountHash>) {
        self.in_use += 1;
        let slot_time = self.hold_time(route);
        self.shares.record(now, account, slot_time);
    }

    /// Refuses the requests that cannot start in time any more. Those that can still complete before
    /// their deadlines move behind the ones that can complete within the target.
    fn refuse_expired(&mut self, now: Instant, change: &mut SlotChange) {
        for key in self.expired(now) {
            if let Some(waiting) = self.waiting.remove(key.ticket)
                && let Some(wait) = self.postpone(now, key, waiting)
            {
                change.refused.push((key.ticket, wait));
            }
        }
    }

    fn expired(&self, now: Instant) -> Vec<QueueKey> {
        let mut ahead = 0;
        let mut expired = Vec::new();
        for key in self.waiting.keys() {
            if self.is_expired(now, ahead, key) {
                expired.push(*key);
            } else {
                ahead += 1;
            }
        }
        expired
    }

    /// Makes a request follow its plan for a late completion; returns its expected wait if it has
    /// none that can be met.
    fn postpone(
        &mut self,
        now: Instant,
        key: QueueKey,
        waiting: WaitingRequest,
    ) -> Option<Duration> {
        let Some(plan) = waiting.late else {
            return Some(self.wait_of(now, key.position));
        };
        let position = QueuePosition {
            class: plan.class,
            ..key.position
        };
        let wait = self.wait_of(now, position);
        if now + wait > plan.start_by {
            return Some(wait);
        }
        let key = QueueKey {
            position,
            start_by: plan.start_by,
            ..key
        };
        let waiting = WaitingRequest {
            late: None,
            ..waiting
        };
        self.waiting.insert(key, waiting);
        None
    }

    /// Returns whether a request with `ahead` others before it can no longer start in time. A late one
    /// is given up as soon as that is expected, so that its caller does not wait in vain.
    fn is_expired(&self, now: Instant, ahead: usize, key: &QueueKey) -> bool {
        let expected_wait = match key.position.class {
            WaitClass::InTime => Duration::ZERO,
            WaitClass::Late => self.slot_wait(ahead),
        };
        key.start_by < now + expected_wait
    }

    /// Expected wait for a slot of a request with `ahead` others before it.
    fn slot_wait(&self, ahead: usize) -> Duration {
        if self.in_use < self.limit && ahead == 0 {
            return Duration::ZERO;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let excess = self.in_use.saturating_sub(self.limit);
        let turns = ahead.saturating_add(excess).saturating_add(1);
        self.mean_hold_time
            .mul_f64(f64::from(turns) / f64::from(self.limit))
    }
}

fn moving_average(known: Duration, sample: Duration) -> Duration {
    known.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
