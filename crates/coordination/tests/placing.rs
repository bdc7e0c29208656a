//! Tests of placing by expected completion with many senders and uneven instances.

#[path = "support/placing_model.rs"]
mod placing_model;

use lagoonshore_coordination::placing::urgency::RequestTime;
use placing_model::{OWN_ZONE, PlacingModel, SLOTS, WORK};
use rand::{Rng, rngs::SmallRng};
use rstest::rstest;
use std::time::Duration;

/// Speeds of the instances.
const SPEEDS: [f64; 10] = [0.5, 0.5, 0.7, 0.7, 1.0, 1.0, 1.0, 1.0, 1.4, 1.6];
/// Number of senders.
const SENDERS: usize = 300;
/// Time that the senders take to get to know the instances.
const LEARNING_TIME: Duration = Duration::from_secs(8);
/// Time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Time that must be saved to leave the zone.
const LEAVE_COST: Duration = Duration::from_millis(5);

fn model(seed: u64) -> PlacingModel {
    let listed = SPEEDS.map(|speed| (OWN_ZONE, speed));
    PlacingModel::new(seed, SENDERS, &listed, LEAVE_COST)
}

/// Requests per second that all instances together can run.
fn capacity() -> f64 {
    let speeds: f64 = SPEEDS.iter().sum();
    speeds * f64::from(u32::try_from(SLOTS).unwrap()) / WORK.as_secs_f64()
}

fn short_time(_: &mut SmallRng) -> RequestTime {
    RequestTime {
        left: 3 * WORK,
        may_run_once: true,
        is_nested: false,
    }
}

fn spare_time(_: &mut SmallRng) -> RequestTime {
    RequestTime {
        left: 30 * WORK,
        may_run_once: false,
        is_nested: false,
    }
}

fn little_time(_: &mut SmallRng) -> RequestTime {
    RequestTime {
        left: 2 * WORK,
        may_run_once: false,
        is_nested: false,
    }
}

fn mixed_time(random: &mut SmallRng) -> RequestTime {
    if random.random_bool(0.4) {
        short_time(random)
    } else {
        spare_time(random)
    }
}

/// `FastestLoad` is the load of the fastest instance over the measured time.
#[derive(Debug, Default)]
struct FastestLoad {
    samples: f64,
    sum: f64,
    square_sum: f64,
    queue_sum: f64,
}

impl FastestLoad {
    fn observe(&mut self, model: &PlacingModel) {
        let fastest = &model.instances[SPEEDS.len() - 1];
        let requests = f64::from(u32::try_from(fastest.running + fastest.queue.len()).unwrap());
        self.samples += 1.0;
        self.sum += requests;
        self.square_sum += requests * requests;
        self.queue_sum += f64::from(u32::try_from(fastest.queue.len()).unwrap());
    }

    fn deviation(&self) -> f64 {
        let mean = self.sum / self.samples;
        (self.square_sum / self.samples - mean * mean)
            .max(0.0)
            .sqrt()
    }
}

/// With independent arrivals the load of an instance deviates by the square root of its mean, which
/// is below that of its slots. Senders that move together between instances make it deviate by a
/// multiple. A mean queue of a tenth of the slots makes a request wait for a tenth of a run.
#[rstest]
#[case::short_times(short_time, 0.7)]
#[case::mixed_times(mixed_time, 0.7)]
#[case::nearly_full(mixed_time, 0.85)]
fn senders_do_not_flood_the_fastest_instance(
    #[case] time: fn(&mut SmallRng) -> RequestTime,
    #[case] load: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = model(seed);
    let rate = load * capacity();
    model.play(rate, LEARNING_TIME, time, |_, _| ());
    let started = model.instances.iter().map(|instance| instance.started);
    let before: Vec<usize> = started.collect();
    let mut fastest = FastestLoad::default();
    model.play(rate, MEASURED_TIME, time, |model, _| fastest.observe(model));
    let started = model.instances.iter().zip(&before);
    let started = started.map(|(instance, before)| instance.started - before);
    let started: Vec<f64> = started
        .map(|count| f64::from(u32::try_from(count).unwrap()))
        .collect();
    let share = started[SPEEDS.len() - 1] / started.iter().sum::<f64>();
    let capacity_share = SPEEDS[SPEEDS.len() - 1] / SPEEDS.iter().sum::<f64>();
    assert!(share < 1.4 * capacity_share, "{share} of {capacity_share}");
    let independent = f64::from(u32::try_from(SLOTS).unwrap()).sqrt();
    let deviation = fastest.deviation();
    assert!(deviation < 1.5 * independent, "{deviation}, {fastest:?}");
    let slots = f64::from(u32::try_from(SLOTS).unwrap());
    let queue = fastest.queue_sum / fastest.samples;
    assert!(queue < 0.1 * slots, "{queue}");
}

/// Half of the runs on the slowest instances take longer than these requests have; one in fifty may be
/// late.
#[rstest]
fn requests_with_little_time_end_in_time_while_fast_instances_have_room(
    #[values(1, 2, 3)] seed: u64,
) {
    let mut model = model(seed);
    let rate = 0.5 * capacity();
    model.play(rate, LEARNING_TIME, little_time, |_, _| ());
    model.latencies.clear();
    model.play(rate, MEASURED_TIME, little_time, |_, _| ());
    let late = model
        .latencies
        .iter()
        .filter(|latency| **latency > 2 * WORK);
    let late = late.count();
    assert!(
        late * 50 < model.latencies.len(),
        "{late} of {}",
        model.latencies.len()
    );
}
