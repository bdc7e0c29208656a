//! Deterministic model of a chain of three nodes with its own clock. Upstreams finish work that
//! they have started even when its request has ended; callers retry failed requests.

use super::overload_checker::OverloadChecker;

use lagoonshore_coordination::admission::{
    admission_control::{
        AdmissionControl, AdmissionDecision, AdmissionFeatures, AdmissionRequest, QueueChange,
    },
    level_table::LevelTable,
};
use lagoonshore_state::{
    admission_level::{self, AdmissionLevel},
    ids::{ClassName, LaneName},
    queue::EntryKey,
    service_cost::ServiceSample,
    units::{RequestImportance, SlotCount},
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

const SERVICES: [&str; 3] = ["entry", "middle", "deep"];
const CALLERS: u64 = 300;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// `ModelClass` is a request class of the model.
#[derive(Clone, Debug)]
pub struct ModelClass {
    pub name: ClassName,
    pub importance: u8,
    pub timeout: Duration,
    /// Service time at each node of the chain; the length is the number of nodes that the class
    /// reaches.
    pub work: Vec<Duration>,
    pub lane: &'static str,
}

/// `ModelCount` counts the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelCount {
    pub offered: u32,
    pub completed: u32,
    /// Sum of the times to a complete response.
    pub latency: Duration,
}

#[derive(Clone, Debug)]
struct HeldSlot {
    lane: LaneName,
    since: Instant,
    /// Start of the child call.
    child: Option<Instant>,
}

struct ModelRequest {
    class: usize,
    caller: u64,
    attempt: u32,
    deadline: Instant,
    held: BTreeMap<usize, HeldSlot>,
    queued: Option<(usize, EntryKey)>,
    done: bool,
}

struct ModelNode {
    control: AdmissionControl,
    levels: LevelTable,
    checker: OverloadChecker,
    waiting: BTreeMap<EntryKey, usize>,
    busy: u32,
    backlog: VecDeque<usize>,
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Offer(usize, u64, u32),
    WorkDone(usize, usize),
    Deadline(usize),
}

/// `ChainModel` simulates the chain and its clock.
pub struct ChainModel {
    pub classes: Vec<ModelClass>,
    pub counts: Vec<ModelCount>,
    /// Requests dispatched to each upstream.
    pub runs: [u32; 3],
    /// Factor on the service time of the deep service.
    pub slowdown: f64,
    /// Number of times that a caller retries a failed request.
    pub retries: u32,
    nodes: Vec<ModelNode>,
    requests: Vec<ModelRequest>,
    events: BTreeMap<(Instant, u64), ModelEvent>,
    sequence: u64,
    callers: u64,
    slots: u32,
    now: Instant,
}

impl ChainModel {
    pub fn new(classes: Vec<ModelClass>, slots: u32, features: AdmissionFeatures) -> Self {
        let node = || ModelNode {
            control: AdmissionControl::with_features(SlotCount(slots), features),
            levels: LevelTable::default(),
            checker: OverloadChecker::default(),
            waiting: BTreeMap::new(),
            busy: 0,
            backlog: VecDeque::new(),
        };
        Self {
            counts: vec![ModelCount::default(); classes.len()],
            classes,
            runs: [0; 3],
            slowdown: 1.0,
            retries: 0,
            nodes: vec![node(), node(), node()],
            requests: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            callers: 0,
            slots,
            now: Instant::now(),
        }
    }

    /// Returns the admission control of one node.
    pub fn control(&mut self, node: usize) -> &mut AdmissionControl {
        &mut self.nodes[node].control
    }

    /// Offers each class at its rate (requests per second) for `time` and handles all events up to
    /// the end.
    pub fn run(&mut self, rates: &[f64], time: Duration) {
        let end = self.now + time;
        for (class, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
            let mut at = Duration::from_secs_f64(0.5 / rate);
            while at < time {
                self.callers += 1;
                // The stride is coprime to the number of callers, so that requests are spread over
                // all callers.
                let caller = self.callers * 7 % CALLERS;
                self.push(self.now + at, ModelEvent::Offer(class, caller, 0));
                at += Duration::from_secs_f64(1.0 / rate);
            }
        }
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn push(&mut self, at: Instant, event: ModelEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle_event(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Offer(class, caller, attempt) => {
                let deadline = self.now + self.classes[class].timeout;
                self.counts[class].offered += u32::from(attempt == 0);
                self.requests.push(ModelRequest {
                    class,
                    caller,
                    attempt,
                    deadline,
                    held: BTreeMap::new(),
                    queued: None,
                    done: false,
                });
                let id = self.requests.len() - 1;
                self.push(deadline, ModelEvent::Deadline(id));
                self.arrive(0, id);
            }
            ModelEvent::WorkDone(node, id) => self.finish_work(node, id),
            ModelEvent::Deadline(id) => self.fail(id),
        }
    }

    fn build_request(&self, node: usize, id: usize) -> AdmissionRequest {
        let request = &self.requests[id];
        let class = &self.classes[request.class];
        let control = &self.nodes[node].control;
        AdmissionRequest {
            importance: RequestImportance(class.importance),
            class: class.name.clone(),
            caller: admission_level::caller_hash(&request.caller.to_string()),
            lane: control.lane_for(&class.name, &class.lane.into()),
            timeout: class.timeout,
            deadline: request.deadline,
        }
    }

    fn level(&self, node: usize, class: &str) -> AdmissionLevel {
        let node = &self.nodes[node];
        let route_level = node.levels.route_level(self.now, class);
        node.control.level().stricter_of(route_level)
    }

    fn arrive(&mut self, node: usize, id: usize) {
        let request = self.build_request(node, id);
        let route_level = self.nodes[node]
            .levels
            .route_level(self.now, &request.class);
        if !route_level.admits(request.importance, request.caller) {
            return self.refuse(node, id);
        }
        let mut change = QueueChange::default();
        let state = &mut self.nodes[node];
        let decision = state.control.offer(self.now, request.clone(), &mut change);
        state
            .checker
            .check_offer(self.now, &request, decision, &change);
        if let AdmissionDecision::Queued(key) = decision {
            state.waiting.insert(key, id);
            self.requests[id].queued = Some((node, key));
        }
        self.apply(node, &change);
        match decision {
            AdmissionDecision::Admitted => self.start(node, id, request.lane),
            AdmissionDecision::Refused(_) => self.refuse(node, id),
            AdmissionDecision::Queued(_) => {}
        }
    }

    fn apply(&mut self, node: usize, change: &QueueChange) {
        for entry in &change.admitted {
            if let Some(id) = self.nodes[node].waiting.remove(&entry.key) {
                self.requests[id].queued = None;
                self.start(node, id, entry.lane.clone());
            }
        }
        for (key, _) in &change.refused {
            if let Some(id) = self.nodes[node].waiting.remove(key) {
                self.requests[id].queued = None;
                self.refuse(node, id);
            }
        }
    }

    fn start(&mut self, node: usize, id: usize, lane: LaneName) {
        let (since, child) = (self.now, None);
        let held = HeldSlot { lane, since, child };
        self.requests[id].held.insert(node, held);
        self.runs[node] += 1;
        self.nodes[node].backlog.push_back(id);
        self.start_work(node);
    }

    fn start_work(&mut self, node: usize) {
        while self.nodes[node].busy < self.slots {
            let Some(id) = self.nodes[node].backlog.pop_front() else {
                return;
            };
            self.nodes[node].busy += 1;
            let class = &self.classes[self.requests[id].class];
            let factor = if node == 2 { self.slowdown } else { 1.0 };
            let at = self.now + class.work[node].mul_f64(factor);
            self.push(at, ModelEvent::WorkDone(node, id));
        }
    }

    fn finish_work(&mut self, node: usize, id: usize) {
        self.nodes[node].busy -= 1;
        self.start_work(node);
        let request = &mut self.requests[id];
        if request.done {
            return;
        }
        let class = &self.classes[request.class];
        if class.work.len() == node + 1 {
            return self.complete(id);
        }
        if let Some(held) = request.held.get_mut(&node) {
            held.child = Some(self.now);
        }
        let (name, importance) = (class.name.clone(), RequestImportance(class.importance));
        let caller = admission_level::caller_hash(&request.caller.to_string());
        let levels = &self.nodes[node].levels;
        let level = levels.service_level(self.now, &name, SERVICES[node + 1]);
        if level.admits(importance, caller) {
            self.arrive(node + 1, id);
        } else {
            self.fail(id);
        }
    }

    fn complete(&mut self, id: usize) {
        let ModelRequest {
            class, deadline, ..
        } = self.requests[id];
        let arrival = deadline - self.classes[class].timeout;
        self.counts[class].completed += 1;
        self.counts[class].latency += self.now - arrival;
        self.finish(id, true);
    }

    /// Refuses a request; the reply to the calling node carries the admission level of the refusing
    /// node.
    fn refuse(&mut self, node: usize, id: usize) {
        self.propagate_level(node, id);
        self.fail(id);
    }

    fn propagate_level(&mut self, node: usize, id: usize) {
        let class = self.classes[self.requests[id].class].name.clone();
        if node > 0 {
            let level = self.level(node, &class);
            let service = SERVICES[node].into();
            let levels = &mut self.nodes[node - 1].levels;
            levels.record(self.now, &class, &service, level);
        }
    }

    fn fail(&mut self, id: usize) {
        if self.requests[id].done {
            return;
        }
        self.finish(id, false);
        let ModelRequest {
            class,
            caller,
            attempt,
            ..
        } = self.requests[id];
        if attempt < self.retries {
            let event = ModelEvent::Offer(class, caller, attempt + 1);
            self.push(self.now + RETRY_DELAY, event);
        }
    }

    /// Ends a request at every node, the deepest first.
    fn finish(&mut self, id: usize, succeeded: bool) {
        self.requests[id].done = true;
        if let Some((node, key)) = self.requests[id].queued.take() {
            self.nodes[node].waiting.remove(&key);
            let change = self.nodes[node].control.refill(self.now);
            self.nodes[node].checker.check_release(self.now, &change);
            self.nodes[node].control.abandon(key);
            self.nodes[node].checker.remove_entry(key);
            self.apply(node, &change);
        }
        let held = std::mem::take(&mut self.requests[id].held);
        for (node, slot) in held.into_iter().rev() {
            self.nodes[node].backlog.retain(|waiting| *waiting != id);
            self.release(node, id, &slot, succeeded);
            self.propagate_level(node, id);
        }
    }

    fn release(&mut self, node: usize, id: usize, slot: &HeldSlot, succeeded: bool) {
        let class = &self.classes[self.requests[id].class].name;
        let sample = ServiceSample {
            total: self.now - slot.since,
            own: slot.child.unwrap_or(self.now) - slot.since,
            succeeded,
        };
        let state = &mut self.nodes[node];
        state.control.record(self.now, class, &slot.lane, sample);
        let change = state.control.release(self.now, &slot.lane);
        state.checker.check_release(self.now, &change);
        self.apply(node, &change);
    }
}
