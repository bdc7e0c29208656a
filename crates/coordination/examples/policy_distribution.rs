//! Measures policy distribution with the decision logic alone, for fleets of growing size: reads of
//! the platform, bytes between nodes, and the time until a change is in force at every node.
//!
//! `cargo run --release -p lagoonshore-coordination --example policy_distribution -- [NODES] [SEED]`

// Counts of reads and bytes stay far below 2^53, up to which an `f64` is exact.
#![allow(clippy::cast_precision_loss)]

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::FakeFleet;
use std::time::Duration;

/// Availability zones of the fleet.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Number of services of the largest fleet.
const SERVICES_MAX: usize = 42;
/// Nodes per service in the smaller fleets.
const NODES_PER_SERVICE: usize = 10;
/// Fleet sizes, in nodes.
const SIZES: [usize; 4] = [10, 30, 60, 820];
/// Random seeds; each size runs once with each of them.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time that a fleet is given to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Time over which an idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_mins(1);
/// Time over which the reads after a change are counted.
const CHANGE_TIME: Duration = Duration::from_mins(1);
/// Upper bound of the time for a change to be in force at every node.
const CHANGE_BOUND: Duration = Duration::from_mins(1);
/// Number of following services that each service calls, in addition to the last one.
const NEXT_CALLS: usize = 2;

fn service(index: usize) -> String {
    format!("service-{index:02}")
}

fn build(size: usize, seed: u64, is_watched_by_all: bool) -> FakeFleet {
    let mut fleet = FakeFleet::new(seed);
    fleet.is_watched_by_all = is_watched_by_all;
    let services = (size / NODES_PER_SERVICE).clamp(2, SERVICES_MAX);
    for index in 0..services {
        let mut calls: Vec<_> = (index + 1..=index + NEXT_CALLS)
            .filter(|called| *called < services - 1)
            .map(|called| service(called).into())
            .collect();
        if index < services - 1 {
            calls.push(service(services - 1).into());
        }
        fleet.calls.insert(service(index).into(), calls);
        fleet.publish(&service(index), 1, "first");
    }
    for number in 0..size {
        let zone = ZONES[number / services % ZONES.len()];
        fleet.add(&service(number % services), zone, number);
    }
    fleet
}

/// Returns `true` if every node that needs the record of `service` holds at least `revision`.
fn is_everywhere(fleet: &FakeFleet, service: &str, revision: u64) -> bool {
    fleet.nodes.iter().all(|node| {
        let own = &node.record.service;
        let needs = own == service || fleet.calls[own].iter().any(|called| called == service);
        !needs || node.revision(service) >= revision
    })
}

/// Returns the number of reads in each second of `time`.
fn reads_by_second(fleet: &mut FakeFleet, time: Duration) -> Vec<u64> {
    let mut reads = Vec::new();
    for _ in 0..time.as_secs() {
        let before = fleet.platform.reads;
        fleet.run(Duration::from_secs(1));
        reads.push(fleet.platform.reads - before);
    }
    reads
}

fn mean(values: &[u64]) -> f64 {
    let sum: u64 = values.iter().sum();
    sum as f64 / values.len() as f64
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| {
        format!("{:.2}", time.as_secs_f64())
    })
}

fn measure(size: usize, seed: u64, is_watched_by_all: bool) {
    let mut fleet = build(size, seed, is_watched_by_all);
    let start = reads_by_second(&mut fleet, START_TIME);
    let bytes_before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
    let idle = reads_by_second(&mut fleet, IDLE_TIME);
    let spent: Vec<u64> = fleet
        .nodes
        .iter()
        .zip(bytes_before)
        .map(|(node, before)| node.bytes - before)
        .collect();
    let rate = |bytes: f64| bytes / IDLE_TIME.as_secs_f64();
    let most = *spent.iter().max().expect("the fleet must have nodes") as f64;
    let called_by_all = service((size / NODES_PER_SERVICE).clamp(2, SERVICES_MAX) - 1);
    fleet.publish(&called_by_all, 2, "second");
    let before = fleet.platform.reads;
    // Blocking queries that time out are issued again at the same rate as in the idle phase, so the
    // idle rate is subtracted below.
    let up = fleet.run_until(CHANGE_BOUND, |fleet| {
        is_everywhere(fleet, &called_by_all, 2)
    });
    fleet.run(CHANGE_TIME.saturating_sub(up.unwrap_or_default()));
    let change = (fleet.platform.reads - before) as f64 - mean(&idle) * CHANGE_TIME.as_secs_f64();
    let reader = fleet
        .nodes
        .iter()
        .rposition(|node| node.record.service == called_by_all);
    let reader = fleet.nodes[reader.expect("the service must have a node")]
        .record
        .name
        .to_string();
    fleet.platform.only_reader = Some(reader);
    let outage = reads_by_second(&mut fleet, START_TIME);
    fleet.publish(&called_by_all, 3, "third");
    let one = fleet.run_until(CHANGE_BOUND, |fleet| {
        is_everywhere(fleet, &called_by_all, 3)
    });
    println!(
        "| {size} | {seed} | {} | {} | {:.1} | {:.0} | {:.0} | {:.0} | {} | {:.0} | {} |",
        if is_watched_by_all {
            "every node"
        } else {
            "chosen"
        },
        start
            .iter()
            .max()
            .expect("the start must take at least a second"),
        mean(&idle),
        rate(mean(&spent)),
        rate(most),
        change,
        seconds(up),
        mean(&outage),
        seconds(one),
    );
}

fn main() {
    println!(
        "| nodes | seed | who watches | reads/s at start, most | reads/s at rest | bytes/s a node, mean | bytes/s a node, most | reads for a change | s, platform up | reads/s tried in an outage | s, one reader |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().ok());
    let (only_size, only_seed) = (arguments.next().flatten(), arguments.next().flatten());
    for size in SIZES {
        for seed in SEEDS {
            let is_asked = only_size.is_none_or(|only: u64| only == size as u64)
                && only_seed.is_none_or(|only| only == seed);
            if is_asked {
                measure(size, seed, false);
            }
            if is_asked && seed == SEEDS[0] {
                measure(size, seed, true);
            }
        }
    }
}
