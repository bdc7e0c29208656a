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
const SURGE_START: u32 = 200;
const TICKS: u32 = 1100;

/// Time of the first attempt of a caller, and whether it returns.
type ModelCaller = (Instant, bool);

#[derive(Debug, Default)]
struct CallerCounts {
    in_time: u32,
    late: u32,
    refused_first: u32,
}

struct UpstreamModel {
    queue: SlotQueue,
    can_wait_late: bool,
    waiting: HashMap<TicketId, ModelCaller>,
    running: BTreeMap<Instant, u32>,
    returns: BTreeMap<Instant, Vec<ModelCaller>>,
    counts: CallerCounts,
}

impl UpstreamModel {
    fn send(&mut self, now: Instant, caller: ModelCaller) {
        let (first_sent, is_returning) = caller;
        let can_wait_late = is_returning && self.can_wait_late;
        let request = SlotRequest {
            rank: SlotRank {
                importance: RequestImportance(1),
                is_new: true,
            },
            route: 1,
            account: None,
            finish_by: (first_sent + AIM).max(now),
            late_by: can_wait_late.then_some(first_sent + TIME_LIMIT),
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

    fn start(&mut self, now: Instant, (first_sent, _): ModelCaller) {
        let end = now + HOLD_TIME;
        let is_in_time = end <= first_sent + AIM + TICK;
        self.counts.in_time += u32::from(is_in_time);
        self.counts.late += u32::from(!is_in_time);
        assert!(end <= first_sent + TIME_LIMIT + TICK);
        *self.running.entry(end).or_default() += 1;
    }

    fn refuse(&mut self, now: Instant, (first_sent, is_returning): ModelCaller, wait: Duration) {
        if !is_returning {
            self.counts.refused_first += 1;
            let due = now + wait.min((first_sent + TIME_LIMIT - now) / 3);
            let returns = self.returns.entry(due).or_default();
            returns.push((first_sent, true));
        }
    }

    fn advance(&mut self, now: Instant) {
        let ended: u32 = take_until(&mut self.running, now).into_values().sum();
        for _ in 0..ended {
            let change = self.queue.release(now);
            for ticket in change.admitted {
                self.start(now, self.waiting[&ticket]);
            }
            for (ticket, wait) in change.refused {
                self.refuse(now, self.waiting[&ticket], wait);
            }
        }
        for caller in take_until(&mut self.returns, now).into_values().flatten() {
            self.send(now, caller);
        }
    }
}

fn take_until<V>(entries: &mut BTreeMap<Instant, V>, now: Instant) -> BTreeMap<Instant, V> {
    let later = entries.split_off(&(now + Duration::from_nanos(1)));
    std::mem::replace(entries, later)
}

fn play(surge_ticks: u32, can_wait_late: bool) -> CallerCounts {
    let start = Instant::now();
    let mut queue = SlotQueue::new(start, SLOTS);
    (0..100).for_each(|_| queue.record_hold_time(1, HOLD_TIME));
    let mut model = UpstreamModel {
        queue,
        can_wait_late,
        waiting: HashMap::new(),
        running: BTreeMap::new(),
        returns: BTreeMap::new(),
        counts: CallerCounts::default(),
    };
    let mut demand = 0.0;
    for tick in 0..TICKS {
        let now = start + TICK * tick;
        model.advance(now);
        let is_surge = (SURGE_START..SURGE_START + surge_ticks).contains(&tick);
        demand += if is_surge { SURGE_DEMAND } else { USUAL_DEMAND };
        while demand >= 1.0 {
            demand -= 1.0;
            model.send(now, (now, false));
        }
    }
    model.counts
}

/// Slots that the usual demand leaves until the last caller refused in the surge must start, less those
/// for the requests in time that wait when the surge ends.
fn slots_left() -> f64 {
    let ticks = |time: Duration| time.as_secs_f64() / TICK.as_secs_f64();
    let (late, in_time) = (ticks(TIME_LIMIT), ticks(AIM));
    let held = ticks(HOLD_TIME);
    (1.0 - USUAL_DEMAND) * (late - held) - (in_time - held)
}

/// Late returns get the slots that are left after a surge, and no request in time is refused or late for
/// them. After a long surge there are fewer slots than callers.
#[rstest]
#[case::short_surge(100)]
#[case::long_surge(200)]
fn late_returns_get_the_slots_that_others_leave(#[case] surge_ticks: u32) {
    let (refused, waiting) = (play(surge_ticks, false), play(surge_ticks, true));
    let counts = format!("without late places {refused:?}, with them {waiting:?}");
    let late_min = slots_left().min(refused.refused_first.into());
    assert!(late_min > 0.0, "{counts}");
    assert!(f64::from(waiting.late) >= late_min, "{counts}");
    assert!(waiting.in_time >= refused.in_time, "{counts}");
    assert!(waiting.refused_first <= refused.refused_first, "{counts}");
}
