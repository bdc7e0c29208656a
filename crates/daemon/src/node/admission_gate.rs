//! Queues requests until they are admitted.

use lagoonshore_coordination::{
    admission::admission_control::{
        AdmissionControl, AdmissionDecision, AdmissionRequest, AdmittedEntry, QueueChange,
    },
    request::outcome::RefusalReason,
};
use lagoonshore_state::{
    admission_level::AdmissionLevel,
    ids::{ClassName, LaneName},
    policy::ServicePolicy,
    queue::EntryKey,
    service_cost::{ServiceCost, ServiceSample},
    units::SlotCount,
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Slots before a policy is in force; no request is served in that state.
const INITIAL_SLOTS: SlotCount = SlotCount(1);

/// Interval between checks of the limit while requests wait.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);

/// Result for a waiting request. A permit in a result that nobody reads releases its slot when it
/// is dropped.
type SlotResult = Result<SlotPermit, RefusalReason>;

/// `AdmissionGate` connects the admission decisions with the requests that wait for them.
#[derive(Clone)]
pub struct AdmissionGate {
    inner: Rc<RefCell<GateState>>,
}

struct GateState {
    control: AdmissionControl,
    configured: bool,
    ticking: bool,
    waiters: BTreeMap<EntryKey, WaitingRequest>,
}

struct WaitingRequest {
    sender: oneshot::Sender<SlotResult>,
}

/// `SlotPermit` holds a slot until it is dropped.
pub struct SlotPermit {
    gate: AdmissionGate,
    lane: LaneName,
}

/// `GateLoad` is the load of a gate.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateLoad {
    /// Requests that hold a slot.
    pub in_progress: u32,
    /// Limit on requests that hold a slot.
    pub limit: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

impl Default for AdmissionGate {
    fn default() -> Self {
        let control = AdmissionControl::new(INITIAL_SLOTS);
        let state = GateState {
            control,
            configured: false,
            ticking: false,
            waiters: BTreeMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(state)),
        }
    }
}

impl AdmissionGate {
    /// Applies the slots and lanes of a policy; the first policy starts with few slots.
    pub fn configure(&self, policy: &ServicePolicy) {
        let mut state = self.inner.borrow_mut();
        state.control.configure(policy.slots, &policy.lanes);
        if !state.configured {
            state.control.slow_start();
            state.configured = true;
        }
        drop(state);
        self.refill();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// The reason why the request gets no slot.
    pub async fn acquire(&self, mut offer: AdmissionRequest) -> Result<SlotPermit, RefusalReason> {
        let latest_start = self.prepare(&mut offer);
        let lane = offer.lane.clone();
        let decision = self.offer(offer);
        match decision {
            GateDecision::Admitted => {}
            GateDecision::Refused(reason) => return Err(reason),
            GateDecision::Queued(key, receiver) => {
                self.start_ticker();
                let ticket = WaitTicket {
                    gate: self.clone(),
                    key,
                    receiver,
                };
                return ticket.wait(latest_start).await;
            }
        }
        Ok(SlotPermit {
            gate: self.clone(),
            lane,
        })
    }

    /// Checks the limit periodically while requests wait, because it rises with time even if no
    /// request ends.
    fn start_ticker(&self) {
        let was_ticking = std::mem::replace(&mut self.inner.borrow_mut().ticking, true);
        if was_ticking {
            return;
        }
        let gate = self.clone();
        actix_rt::spawn(async move {
            while !gate.inner.borrow().waiters.is_empty() {
                actix_rt::time::sleep(REFILL_INTERVAL).await;
                gate.refill();
            }
            gate.inner.borrow_mut().ticking = false;
        });
    }

    /// Restarts with few slots, for an upstream that has just started.
    pub fn slow_start(&self) {
        self.inner.borrow_mut().control.slow_start();
    }

    /// Current load of the gate.
    #[must_use]
    pub fn load(&self) -> GateLoad {
        let state = self.inner.borrow();
        GateLoad {
            in_progress: state.control.in_progress(),
            limit: state.control.limit().0,
            queued: u32::try_from(state.control.queued()).unwrap_or(u32::MAX),
        }
    }

    /// Admission level of the local upstream.
    #[must_use]
    pub fn level(&self) -> AdmissionLevel {
        self.inner.borrow().control.level()
    }

    /// Returns whether the last window showed a standing queue.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.inner.borrow().control.is_overloaded()
    }

    /// Learned service times by class.
    #[must_use]
    pub fn costs(&self) -> BTreeMap<ClassName, ServiceCost> {
        self.inner.borrow().control.costs().costs().clone()
    }

    /// Slots held in each lane.
    #[must_use]
    pub fn lanes(&self) -> BTreeMap<LaneName, u32> {
        self.inner.borrow().control.lanes().clone()
    }

    /// Sets the lane of a request; returns the latest time at which it may start.
    fn prepare(&self, offer: &mut AdmissionRequest) -> Instant {
        let state = self.inner.borrow();
        offer.lane = state.control.lane_for(&offer.class, &offer.lane);
        state.control.latest_start(offer)
    }

    fn refill(&self) {
        let mut state = self.inner.borrow_mut();
        let change = state.control.refill(Instant::now());
        let results = self.take_results(&mut state, change);
        drop(state);
        send_all(results);
    }

    fn offer(&self, offer: AdmissionRequest) -> GateDecision {
        let mut state = self.inner.borrow_mut();
        let mut change = QueueChange::default();
        let decision = state.control.offer(Instant::now(), offer, &mut change);
        let results = self.take_results(&mut state, change);
        let decision = match decision {
            AdmissionDecision::Admitted => GateDecision::Admitted,
            AdmissionDecision::Refused(reason) => GateDecision::Refused(reason),
            AdmissionDecision::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(key, WaitingRequest { sender });
                GateDecision::Queued(key, receiver)
            }
        };
        drop(state);
        send_all(results);
        decision
    }

    fn release(&self, lane: &str) {
        let mut state = self.inner.borrow_mut();
        let change = state.control.release(Instant::now(), lane);
        let results = self.take_results(&mut state, change);
        drop(state);
        send_all(results);
    }

    /// Pairs decisions on waiting requests with their senders. Dropping a permit releases its slot
    /// and borrows the state again, so the results are sent only after the state is released.
    fn take_results(&self, state: &mut GateState, change: QueueChange) -> Vec<PendingResult> {
        let mut results = Vec::new();
        for AdmittedEntry { key, lane } in change.admitted {
            if let Some(WaitingRequest { sender }) = state.waiters.remove(&key) {
                results.push((
                    sender,
                    Ok(SlotPermit {
                        gate: self.clone(),
                        lane,
                    }),
                ));
            }
        }
        for (key, reason) in change.refused {
            if let Some(WaitingRequest { sender }) = state.waiters.remove(&key) {
                results.push((sender, Err(reason)));
            }
        }
        results
    }
}

type PendingResult = (oneshot::Sender<SlotResult>, SlotResult);

fn send_all(results: Vec<PendingResult>) {
    for (sender, result) in results {
        // If the waiter is gone, the result is dropped together with its permit.
        let _ = sender.send(result);
    }
}

enum GateDecision {
    Admitted,
    Queued(EntryKey, oneshot::Receiver<SlotResult>),
    Refused(RefusalReason),
}

struct WaitTicket {
    gate: AdmissionGate,
    key: EntryKey,
    receiver: oneshot::Receiver<SlotResult>,
}

impl WaitTicket {
    async fn wait(mut self, latest_start: Instant) -> SlotResult {
        let result = tokio::time::timeout_at(latest_start, &mut self.receiver).await;
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(RefusalReason::Overload),
            Err(_) => {
                self.gate.refill();
                Err(RefusalReason::Timeout)
            }
        }
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        let mut state = self.gate.inner.borrow_mut();
        state.waiters.remove(&self.key);
        state.control.abandon(self.key);
    }
}

impl SlotPermit {
    /// Records the time for which a request of `class` held the slot.
    pub fn record(&self, class: &ClassName, sample: ServiceSample) {
        let mut state = self.gate.inner.borrow_mut();
        state
            .control
            .record(Instant::now(), class, &self.lane, sample);
    }

    /// Restarts with few slots, for an upstream that has just started.
    pub fn slow_start(&self) {
        self.gate.slow_start();
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.gate.release(&self.lane);
    }
}
