//! Callers that return after most of their target latency has passed.
//!
//! The load: requests of one importance arrive at 0.7 of what an upstream can run, for a while at 1.8 of
//! it, then as before. A refused caller returns once, when it was told to.

use lagoonshore_coordination::forwarding::slot_queue::{
    SlotDecision, SlotQueue, SlotRank, SlotRequest, TicketId,
};
use lagoonshore_state::units::RequestImportance;
use rstest::rstest;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(10);
const SLOTS: u32 = 20;
const HOLD_TIME: Duration = Duration::from_millis(200);
const AIM: Duration = Duration::from_millis(600);
const TIME_LIMIT: Duration = Duration::from_millis(2500);
/// Requests per tick; the upstream can run one.
const USUAL_DEMAND: f64 = 0.7;
const SURGE_DEMAND: f64 = 1.8;
const SURGE_START: usize = 200;
const ARRIVALS_END: usize = 800;

#[derive(Clone, Copy, Debug)]
struct ModelCaller {
    first_sent: Instant,
    is_returning: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServedCounts {
    in_time: u32,
    late: u32,
    refused_again: u32,
}

struct UpstreamModel {
    queue: SlotQueue,
    returns_wait: bool,
    waiting: HashMap<TicketId, ModelCaller>,
    running: BTreeMap<Instant, Vec<ModelCaller>>,
    returns: BTreeMap<Instant, Vec<ModelCaller>>,
    counts: ServedCounts,
}

impl UpstreamModel {
    fn new(now: Instant, returns_wait: bool) -> Self {
        let mut queue = SlotQueue::new(now, SLOTS);
        queue.record_hold_time(1, HOLD_TIME);
        for _ in 0..100 {
            queue.record_hold_time(1, HOLD_TIME);
        }
        Self {
            queue,
            returns_wait,
            waiting: HashMap::new(),
            running: BTreeMap::new(),
            returns: BTreeMap::new(),
            counts: ServedCounts::default(),
        }
    }

    fn send(&mut self, now: Instant, caller: ModelCaller) {
        let deadline = caller.first_sent + TIME_LIMIT;
        let request = SlotRequest {
            rank: SlotRank {
                importance: RequestImportance(1),
                is_new: true,
            },
            route: 1,
            account: None,
            finish_by: (caller.first_sent + AIM).max(now),
            late_by: (caller.is_returning && self.returns_wait).then_some(deadline),
            wait_max: TIME_LIMIT,
        };
        match self.queue.offer(now, request) {
            SlotDecision::Admitted => self.start(now, caller),
            SlotDecision::Queued(ticket) => {
                self.waiting.insert(ticket, caller);
            }
            SlotDecision::Refused(wait) => self.refuse(now, caller, wait),
        }
    }

    fn start(&mut self, now: Instant, caller: ModelCaller) {
        let ending = self.running.entry(now + HOLD_TIME).or_default();
        ending.push(caller);
    }

    fn refuse(&mut self, now: Instant, caller: ModelCaller, wait: Duration) {
        if caller.is_returning {
            self.counts.refused_again += 1;
            return;
        }
        let time_left = caller.first_sent + TIME_LIMIT - now;
        let returns = self
            .returns
            .entry(now + wait.min(time_left / 3))
            .or_default();
        returns.push(ModelCaller {
            is_returning: true,
            ..caller
        });
    }

    fn advance(&mut self, now: Instant) {
        while let Some(ending) = self.running.first_entry()
            && *ending.key() <= now
        {
            for caller in ending.remove() {
                self.count(now, caller);
                let change = self.queue.release(now);
                for ticket in change.admitted {
                    let caller = self.waiting.remove(&ticket).expect("it waits");
                    self.start(now, caller);
                }
                for (ticket, wait) in change.refused {
                    let caller = self.waiting.remove(&ticket).expect("it waits");
                    self.refuse(now, caller, wait);
                }
            }
        }
        while let Some(due) = self.returns.first_entry()
            && *due.key() <= now
        {
            for caller in due.remove() {
                self.send(now, caller);
            }
        }
    }

    fn count(&mut self, now: Instant, caller: ModelCaller) {
        let latency = now - caller.first_sent;
        assert!(latency <= TIME_LIMIT + TICK, "{latency:?}");
        if latency <= AIM + TICK {
            self.counts.in_time += 1;
        } else {
            self.counts.late += 1;
        }
    }
}

fn play(surge_ticks: usize, returns_wait: bool) -> ServedCounts {
    let surge = SURGE_START..SURGE_START + surge_ticks;
    let start = Instant::now();
    let mut model = UpstreamModel::new(start, returns_wait);
    let mut demand = 0.0;
    for tick in 0..ARRIVALS_END + 300 {
        let now = start + TICK * u32::try_from(tick).expect("few ticks");
        model.advance(now);
        demand += match tick {
            _ if surge.contains(&tick) => SURGE_DEMAND,
            _ if tick < ARRIVALS_END => USUAL_DEMAND,
            _ => 0.0,
        };
        while demand >= 1.0 {
            demand -= 1.0;
            let caller = ModelCaller {
                first_sent: now,
                is_returning: false,
            };
            model.send(now, caller);
        }
    }
    model.counts
}

/// Fewer callers are refused a second time, and no request that can be served in time pays for it. After
/// a long surge the deadlines of most have passed before there is a free slot.
#[rstest]
#[case::short_surge(100, 0.5)]
#[case::long_surge(200, 0.8)]
fn late_returns_get_the_slots_that_others_leave(
    #[case] surge_ticks: usize,
    #[case] refused_share_max: f64,
) {
    let (refused, waiting) = (play(surge_ticks, false), play(surge_ticks, true));
    assert!(refused.refused_again > 20, "{refused:?}");
    let refused_max = f64::from(refused.refused_again) * refused_share_max;
    assert!(
        f64::from(waiting.refused_again) <= refused_max,
        "{waiting:?} {refused:?}"
    );
    assert!(
        waiting.in_time >= refused.in_time,
        "{waiting:?} {refused:?}"
    );
}
