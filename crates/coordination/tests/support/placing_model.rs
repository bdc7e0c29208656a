//! Senders and instances in two zones, with the arithmetic of slots and queues only.

// Each test file uses only part of the model.
#![allow(dead_code, unreachable_pub)]

use lagoonshore_coordination::{
    placing::{InstancePlacer, Placement, PlacingRequest, ReplyTimes, urgency::RequestTime},
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::CallRefusal,
    },
    routing::{PeerSelector, RoutingOrigin, peer_view::ReportedLoad},
};
use lagoonshore_state::instance_table::{
    InstanceKey, InstanceRecord, InstanceState, InstanceTable,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Name of the called service.
pub const SERVICE: &str = "imaging";
/// Zone of the senders.
pub const OWN_ZONE: &str = "izmit";
/// Route of all requests.
pub const ROUTE: u64 = 7;
/// Time of a run on an instance of speed 1.
pub const WORK: Duration = Duration::from_millis(100);
/// Slots of each instance.
pub const SLOTS: usize = 40;
/// Requests that wait at an instance before it refuses more.
const QUEUE_MAX: usize = SLOTS / 2;
/// Instances that are tried for one request.
const TRIES_MAX: usize = 3;
/// Weight of a run in the mean time that an instance reports.
const WORK_WEIGHT: f64 = 0.1;

/// `ModelInstance` is an instance with its load.
pub struct ModelInstance {
    pub key: InstanceKey,
    pub zone: &'static str,
    pub speed: f64,
    pub running: usize,
    pub queue: VecDeque<usize>,
    pub started: usize,
    /// Mean time of the latest runs, in seconds.
    pub work_seconds: f64,
}

impl ModelInstance {
    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            in_progress: u32::try_from(self.running).unwrap(),
            limit: u32::try_from(SLOTS).unwrap(),
            queued: u32::try_from(self.queue.len()).unwrap(),
            draining: false,
        }
    }
}

struct ModelRequest {
    sender: usize,
    instance: usize,
    sent_at: Instant,
    started_at: Instant,
}

struct ModelSender {
    selector: PeerSelector,
    placer: InstancePlacer,
}

/// `PlacingModel` plays requests of many senders at a few instances.
pub struct PlacingModel {
    pub now: Instant,
    pub instances: Vec<ModelInstance>,
    pub latencies: Vec<Duration>,
    /// Requests that all tried instances refused.
    pub refused: usize,
    table: InstanceTable,
    senders: Vec<ModelSender>,
    requests: Vec<ModelRequest>,
    ends: BinaryHeap<Reverse<(Instant, usize)>>,
    random: SmallRng,
}

impl PlacingModel {
    /// Creates a model with an instance for each zone and speed in `listed`.
    pub fn new(seed: u64, senders: usize, listed: &[(&'static str, f64)], cost: Duration) -> Self {
        let mut table = InstanceTable::default();
        let now = Instant::now();
        let instances = listed.iter().enumerate().map(|(index, (zone, speed))| {
            let record = InstanceRecord {
                name: format!("imaging-{index:02}").into(),
                service: SERVICE.into(),
                zone: (*zone).into(),
                region: "marmara".into(),
                peer: ([127, 0, 0, 1], 9000 + u16::try_from(index).unwrap()).into(),
                state: InstanceState::Live,
            };
            ModelInstance {
                key: table.upsert(record),
                zone,
                speed: *speed,
                running: 0,
                queue: VecDeque::new(),
                started: 0,
                work_seconds: WORK.as_secs_f64() / speed,
            }
        });
        let instances: Vec<_> = instances.collect();
        let sender = |_| ModelSender {
            selector: PeerSelector::new(RoutingOrigin {
                instance: "".into(),
                zone: OWN_ZONE.into(),
                region: "marmara".into(),
            }),
            placer: InstancePlacer::new(OWN_ZONE.into(), cost),
        };
        Self {
            now,
            instances,
            latencies: Vec::new(),
            refused: 0,
            table,
            senders: (0..senders).map(sender).collect(),
            requests: Vec::new(),
            ends: BinaryHeap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Plays `rate` requests per second for `time`; `observe` is called after each.
    pub fn play(
        &mut self,
        rate: f64,
        time: Duration,
        request_time: impl Fn(&mut SmallRng) -> RequestTime,
        mut observe: impl FnMut(&Self, Placement),
    ) {
        let end = self.now + time;
        while self.now < end {
            let pause = -self.random.random::<f64>().max(1e-9).ln() / rate;
            let next = self.now + Duration::from_secs_f64(pause);
            self.finish_until(next);
            self.now = next;
            let request_time = request_time(&mut self.random);
            let placement = self.send(request_time);
            observe(self, placement);
        }
    }

    /// Mean share of its requests for the service that a sender sends to other zones.
    pub fn mean_share(&self) -> f64 {
        let shares = self.senders.iter();
        let sum: f64 = shares.map(|sender| sender.placer.zone_share(SERVICE)).sum();
        sum / f64::from(u32::try_from(self.senders.len()).unwrap())
    }

    /// Sends a request to the first instance that does not refuse it; returns the last placement.
    fn send(&mut self, time: RequestTime) -> Placement {
        let sender = self.random.random_range(0..self.senders.len());
        let mut tried = Vec::new();
        loop {
            let placed = self.place(sender, time, &tried);
            let mut instance = self.instances.iter();
            let instance = instance.position(|known| known.key == placed.key).unwrap();
            if self.instances[instance].queue.len() < QUEUE_MAX {
                self.start(sender, instance);
                return placed;
            }
            self.refuse(sender, instance);
            tried.push(placed.key);
            if tried.len() >= TRIES_MAX {
                self.refused += 1;
                return placed;
            }
        }
    }

    fn place(&mut self, sender: usize, time: RequestTime, tried: &[InstanceKey]) -> Placement {
        let sender = &mut self.senders[sender];
        let request = PlacingRequest {
            service: SERVICE,
            route: ROUTE,
            time,
            tried,
            is_refused: !tried.is_empty(),
        };
        let candidates = sender.selector.candidates(self.now, &self.table, SERVICE);
        let random = &mut self.random;
        let placed = sender
            .placer
            .place(self.now, &request, candidates, |_| false, random);
        let placed = placed.expect("an instance must be chosen");
        sender.selector.record_start(placed.key);
        placed
    }

    fn start(&mut self, sender: usize, instance: usize) {
        self.requests.push(ModelRequest {
            sender,
            instance,
            sent_at: self.now,
            started_at: self.now,
        });
        self.instances[instance]
            .queue
            .push_back(self.requests.len() - 1);
        self.start_next(instance);
    }

    fn refuse(&mut self, sender: usize, instance: usize) {
        let instance = &self.instances[instance];
        let refusal = CallRefusal {
            outcome: CallOutcome::NotRun,
            reason: RefusalReason::Overload,
        };
        let selector = &mut self.senders[sender].selector;
        selector.record_refusal(instance.key, self.now, refusal, &self.table);
        selector.record_load(instance.key, self.now, instance.load());
    }

    fn start_next(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.running >= SLOTS {
            return;
        }
        let Some(request) = instance.queue.pop_front() else {
            return;
        };
        instance.running += 1;
        instance.started += 1;
        let noise = self.random.random_range(0.5..1.5);
        self.requests[request].started_at = self.now;
        let work = WORK.mul_f64(noise / instance.speed);
        self.ends.push(Reverse((self.now + work, request)));
    }

    fn finish_until(&mut self, until: Instant) {
        while let Some(Reverse((at, _))) = self.ends.peek()
            && *at <= until
        {
            let Some(Reverse((at, request))) = self.ends.pop() else {
                return;
            };
            self.now = at;
            self.finish(request);
        }
    }

    fn finish(&mut self, request: usize) {
        let ModelRequest {
            sender,
            instance: index,
            sent_at,
            started_at,
        } = self.requests[request];
        let instance = &mut self.instances[index];
        instance.running -= 1;
        let work = self.now - started_at;
        instance.work_seconds += WORK_WEIGHT * (work.as_secs_f64() - instance.work_seconds);
        let load = instance.load();
        let mean = Duration::from_secs_f64(instance.work_seconds);
        let times = ReplyTimes {
            work: Some(mean),
            hold: mean,
            link: Duration::from_millis(1),
        };
        let (key, zone) = (instance.key, instance.zone.into());
        let latency = self.now - sent_at;
        let sender = &mut self.senders[sender];
        let (now, table) = (self.now, &self.table);
        sender
            .selector
            .record_response(key, now, latency, WORK, table);
        sender.selector.record_load(key, now, load);
        sender.placer.record_reply(now, key, &zone, ROUTE, times);
        self.latencies.push(latency);
        self.start_next(index);
    }
}
