//! Lets requests wait for a slot of the upstream.

use lagoonshore_coordination::forwarding::slot_queue::{
    RouteId, SlotChange, SlotDecision, SlotQueue, SlotRequest, TicketId,
};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// A permit inside the answer gives its slot back even if the waiter left before it read it.
type GateAnswer = Result<SlotPermit, Duration>;
type PendingAnswer = (oneshot::Sender<GateAnswer>, GateAnswer);

/// `SlotLimiter` joins the queue for slots with the requests that wait in it.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    inner: Rc<RefCell<GateState>>,
}

#[derive(Debug)]
struct GateState {
    queue: SlotQueue,
    waiters: HashMap<TicketId, (oneshot::Sender<GateAnswer>, RouteId)>,
}

/// `SlotUsage` is the load of a gate.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct SlotUsage {
    /// Slots in use.
    pub in_use: u32,
    /// Slots in all.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
}

impl SlotLimiter {
    /// Creates a gate before `limit` slots.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        let state = GateState {
            queue: SlotQueue::new(limit),
            waiters: HashMap::new(),
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

    /// Load of the gate.
    #[must_use]
    pub fn load(&self) -> SlotUsage {
        let state = self.inner.borrow();
        SlotUsage {
            in_use: state.queue.in_use(),
            limit: state.queue.limit(),
            queued: u32::try_from(state.queue.queued()).unwrap_or(u32::MAX),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// The wait that stands before the request, if it is longer than the request may wait.
    pub async fn acquire(&self, offer: SlotRequest) -> Result<SlotPermit, Duration> {
        let waiting = match self.offer(offer) {
            GateVerdict::Admitted => return Ok(self.permit(offer.route)),
            GateVerdict::Refused(wait) => return Err(wait),
            GateVerdict::Waiting(waiting) => waiting,
        };
        waiting.wait(offer.finish_by).await
    }

    fn offer(&self, offer: SlotRequest) -> GateVerdict {
        let mut state = self.inner.borrow_mut();
        let ticket = match state.queue.offer(Instant::now(), offer) {
            SlotDecision::Admitted => return GateVerdict::Admitted,
            SlotDecision::Refused(wait) => return GateVerdict::Refused(wait),
            SlotDecision::Queued(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        state.waiters.insert(ticket, (sender, offer.route));
        GateVerdict::Waiting(WaitTicket {
            gate: self.clone(),
            ticket,
            receiver,
        })
    }

    fn permit(&self, kind: RouteId) -> SlotPermit {
        SlotPermit {
            gate: self.clone(),
            kind,
            since: Instant::now(),
            counts: false,
        }
    }

    fn refill(&self) {
        self.change(SlotQueue::refill);
    }

    fn change(&self, act: impl FnOnce(&mut SlotQueue, Instant) -> SlotChange) {
        let mut state = self.inner.borrow_mut();
        let change = act(&mut state.queue, Instant::now());
        let answers = self.answers(&mut state, change);
        drop(state);
        for (sender, answer) in answers {
            // An answer that nobody waits for is dropped, with the permit in it.
            let _ = sender.send(answer);
        }
    }

    fn answers(&self, state: &mut GateState, change: SlotChange) -> Vec<PendingAnswer> {
        let mut answers = Vec::with_capacity(change.admitted.len() + change.refused.len());
        for ticket in change.admitted {
            if let Some((sender, kind)) = state.waiters.remove(&ticket) {
                answers.push((sender, Ok(self.permit(kind))));
            }
        }
        for (ticket, wait) in change.refused {
            if let Some((sender, _)) = state.waiters.remove(&ticket) {
                answers.push((sender, Err(wait)));
            }
        }
        answers
    }
}

enum GateVerdict {
    Admitted,
    Refused(Duration),
    Waiting(WaitTicket),
}

struct WaitTicket {
    gate: SlotLimiter,
    ticket: TicketId,
    receiver: oneshot::Receiver<GateAnswer>,
}

impl WaitTicket {
    async fn wait(mut self, latest: Instant) -> Result<SlotPermit, Duration> {
        if let Ok(Ok(answer)) = tokio::time::timeout_at(latest, &mut self.receiver).await {
            return answer;
        }
        self.gate.refill();
        Err(Duration::ZERO)
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        let mut state = self.gate.inner.borrow_mut();
        state.waiters.remove(&self.ticket);
        state.queue.cancel(self.ticket);
    }
}

/// `SlotPermit` holds a slot until it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    gate: SlotLimiter,
    kind: RouteId,
    since: Instant,
    counts: bool,
}

impl SlotPermit {
    /// Notes that the upstream ran the request to its end, so that its time is learned from.
    pub const fn finished(&mut self) {
        self.counts = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let held = self.since.elapsed();
        if self.counts {
            let mut state = self.gate.inner.borrow_mut();
            state.queue.record_hold_time(self.kind, held);
        }
        self.gate.change(SlotQueue::release);
    }
}
