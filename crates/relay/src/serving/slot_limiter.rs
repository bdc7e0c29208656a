//! Limits the requests that the upstream runs at the same time.

use lagoonshore_coordination::forwarding::{
    rate_limiter::{LimitNotice, RateUsage},
    slot_queue::{RouteId, SlotChange, SlotDecision, SlotQueue, SlotRequest, TicketId},
};
use lagoonshore_state::{ids::InstanceName, upstream_list::UpstreamLimit};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Longest time between two refills while requests wait for the limit on the rate, which may change.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// A permit in an unread result frees its slot when it is dropped, also if the waiter has left.
type PermitResult = Result<SlotPermit, Duration>;
type PendingResult = (oneshot::Sender<PermitResult>, PermitResult);

/// `SlotLimiter` connects the slot queue with the futures that wait in it.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    inner: Rc<RefCell<LimiterState>>,
}

#[derive(Debug)]
struct LimiterState {
    queue: SlotQueue,
    waiters: HashMap<TicketId, (oneshot::Sender<PermitResult>, RouteId)>,
    /// Whether a task waits for the next admission by the limit on the rate.
    is_refill_scheduled: bool,
}

/// `SlotUsage` is the load of a limiter.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct SlotUsage {
    /// Slots in use.
    pub in_use: u32,
    /// Number of slots.
    pub limit: u32,
    /// Requests in the queue that can complete within their target latency.
    pub queued: u32,
}

impl SlotLimiter {
    /// Creates a limiter with `limit` slots.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        let state = LimiterState {
            queue: SlotQueue::new(Instant::now(), limit),
            waiters: HashMap::new(),
            is_refill_scheduled: false,
        };
        Self {
            inner: Rc::new(RefCell::new(state)),
        }
    }

    /// Changes the number of slots.
    pub fn set_limit(&self, limit: u32) {
        let mut state = self.inner.borrow_mut();
        if state.queue.limit() == limit.max(1) {
            return;
        }
        state.queue.set_limit(limit);
        drop(state);
        self.refill();
    }

    /// Current load.
    #[must_use]
    pub fn usage(&self) -> SlotUsage {
        let state = self.inner.borrow();
        SlotUsage {
            in_use: state.queue.in_use(),
            limit: state.queue.limit(),
            queued: u32::try_from(state.queue.queued_in_time()).unwrap_or(u32::MAX),
        }
    }

    /// Mean time for which requests of `route` hold their slots; `None` before the first one.
    #[must_use]
    pub fn known_hold_time(&self, route: RouteId) -> Option<Duration> {
        self.inner.borrow().queue.known_hold_time(route)
    }

    /// Mean time for which requests hold their slots.
    #[must_use]
    pub fn mean_hold_time(&self) -> Duration {
        self.inner.borrow().queue.mean_hold_time()
    }

    /// Applies what a response of the upstream `run` says about its limit on the rate; `received` is
    /// the time of its head. Returns whether the limit changed.
    #[must_use]
    pub fn observe_limit(
        &self,
        received: Instant,
        run: &InstanceName,
        notice: LimitNotice,
    ) -> bool {
        let is_changed = {
            let mut state = self.inner.borrow_mut();
            state.queue.rate_mut().observe(received, run, notice)
        };
        if is_changed {
            self.refill();
        }
        is_changed
    }

    /// Takes the limit on the rate that a sender remembers; returns whether the limit changed.
    #[must_use]
    pub fn adopt_limit(&self, limit: &UpstreamLimit) -> bool {
        let mut state = self.inner.borrow_mut();
        state.queue.rate_mut().adopt(Instant::now(), limit)
    }

    /// Limit on the rate that the upstream named.
    #[must_use]
    pub fn rate_limit(&self) -> Option<UpstreamLimit> {
        self.inner.borrow().queue.rate().limit()
    }

    /// What the upstream got since it first named a limit on the rate.
    #[must_use]
    pub fn rate_usage(&self) -> RateUsage {
        self.inner.borrow().queue.rate().usage()
    }

    /// Time until the limit on the rate allows another request.
    #[must_use]
    pub fn rate_wait(&self) -> Duration {
        let state = self.inner.borrow();
        let queued = state.queue.queued_in_time();
        state.queue.rate().expected_wait(Instant::now(), queued)
    }

    /// Counts a request that is sent in addition to the one that holds the slot.
    pub fn record_second_attempt(&self) {
        let mut state = self.inner.borrow_mut();
        state.queue.rate_mut().take_unconditionally(Instant::now());
    }

    /// Returns whether the health of the upstream should be checked to learn its limit on the rate.
    #[must_use]
    pub fn start_check(&self) -> bool {
        let mut state = self.inner.borrow_mut();
        state.queue.rate_mut().start_check(Instant::now())
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// The expected wait, if it is longer than the request may wait; zero if the wait itself took
    /// too long.
    pub async fn acquire(&self, request: SlotRequest) -> Result<SlotPermit, Duration> {
        let waiting = match self.enqueue(request) {
            AcquireDecision::Admitted => return Ok(self.permit(request.route)),
            AcquireDecision::Refused(wait) => return Err(wait),
            AcquireDecision::Waiting(waiting) => waiting,
        };
        let latest = request.late_by.unwrap_or(request.finish_by);
        waiting.wait(latest).await
    }

    fn enqueue(&self, request: SlotRequest) -> AcquireDecision {
        let mut state = self.inner.borrow_mut();
        let ticket = match state.queue.offer(Instant::now(), request) {
            SlotDecision::Admitted => return AcquireDecision::Admitted,
            SlotDecision::Refused(wait) => return AcquireDecision::Refused(wait),
            SlotDecision::Queued(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(ticket, (sender, request.route));
        drop(state);
        self.schedule_refill();
        AcquireDecision::Waiting(QueuedRequest {
            limiter: self.clone(),
            ticket,
            receiver,
        })
    }

    fn permit(&self, route: RouteId) -> SlotPermit {
        SlotPermit {
            limiter: self.clone(),
            route,
            acquired_at: Instant::now(),
            is_finished: false,
        }
    }

    fn refill(&self) {
        self.apply(SlotQueue::refill);
    }

    /// Starts the task that admits the next waiting request when the limit on the rate allows it. No
    /// task is needed without such a limit: requests are admitted as slots are released.
    fn schedule_refill(&self) {
        let mut state = self.inner.borrow_mut();
        if state.is_refill_scheduled || state.queue.rate().limit().is_none() {
            return;
        }
        let Some(at) = state.queue.next_admission(Instant::now()) else {
            return;
        };
        let latest = Instant::now() + REFILL_INTERVAL;
        state.is_refill_scheduled = true;
        let limiter = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(at.min(latest)).await;
            limiter.inner.borrow_mut().is_refill_scheduled = false;
            limiter.refill();
        });
    }

    fn apply(&self, operation: impl FnOnce(&mut SlotQueue, Instant) -> SlotChange) {
        let mut state = self.inner.borrow_mut();
        let change = operation(&mut state.queue, Instant::now());
        let results = self.results(&mut state, change);
        drop(state);
        for (sender, result) in results {
            // If the waiter has left, the result and its permit are dropped here.
            let _ = sender.send(result);
        }
        self.schedule_refill();
    }

    fn results(&self, state: &mut LimiterState, change: SlotChange) -> Vec<PendingResult> {
        let mut results = Vec::with_capacity(change.admitted.len() + change.refused.len());
        for ticket in change.admitted {
            if let Some((sender, route)) = state.waiters.remove(&ticket) {
                results.push((sender, Ok(self.permit(route))));
            }
        }
        for (ticket, wait) in change.refused {
            if let Some((sender, _)) = state.waiters.remove(&ticket) {
                results.push((sender, Err(wait)));
            }
        }
        results
    }
}

enum AcquireDecision {
    Admitted,
    Refused(Duration),
    Waiting(QueuedRequest),
}

struct QueuedRequest {
    limiter: SlotLimiter,
    ticket: TicketId,
    receiver: oneshot::Receiver<PermitResult>,
}

impl QueuedRequest {
    async fn wait(mut self, latest: Instant) -> Result<SlotPermit, Duration> {
        if let Ok(Ok(result)) = tokio::time::timeout_at(latest, &mut self.receiver).await {
            return result;
        }
        self.limiter.refill();
        Err(Duration::ZERO)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut state = self.limiter.inner.borrow_mut();
        state.waiters.remove(&self.ticket);
        state.queue.cancel(self.ticket);
    }
}

/// `SlotPermit` holds a slot until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    limiter: SlotLimiter,
    route: RouteId,
    acquired_at: Instant,
    is_finished: bool,
}

impl SlotPermit {
    /// Marks the request as run to its end, so that its hold time is recorded.
    pub const fn mark_finished(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let held = self.acquired_at.elapsed();
        if self.is_finished {
            let mut state = self.limiter.inner.borrow_mut();
            state.queue.record_hold_time(self.route, held);
        }
        self.limiter.apply(SlotQueue::release);
    }
}
