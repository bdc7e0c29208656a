//! Measures the distribution of policies by decisions alone: reads of the platform, bytes between
//! nodes, and the time until a change is in force everywhere, for growing fleets.
//!
//! `cargo run --release -p lagoonshore-coordination --example policy_distribution -- [NODES] [SEED]`

// Counts of reads and bytes are far below the precision of a double.
#![allow(clippy::cast_precision_loss)]

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::FleetFake;
use std::time::Duration;

/// Availability zones, over two regions.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Services of the largest fleet.
const SERVICES_MAX: usize = 42;
/// Nodes for each service in smaller fleets.
const NODES_PER_SERVICE: usize = 10;
/// Sizes of the fleets.
const SIZES: [usize; 4] = [10, 30, 60, 820];
/// Seeds of the runs of each size.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time for a fleet to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Time over which a fleet at rest is measured.
const REST_TIME: Duration = Duration::from_mins(1);
/// Time over which the reads of a change are counted.
const CHANGE_TIME: Duration = Duration::from_mins(1);
/// Longest time for a change.
const CHANGE_BOUND: Duration = Duration::from_mins(1);
/// Services that every service calls besides those next to it: the last one.
const NEXT_CALLS: usize = 2;

fn service(index: usize) -> String {
    format!("service-{index:02}")
}

fn build(size: usize, seed: u64, everyone_watches: bool) -> FleetFake {
    let mut fleet = FleetFake::new(seed);
    fleet.everyone_watches = everyone_watches;
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

/// Whether every node that needs the record of `service` holds `revision`.
fn is_everywhere(fleet: &FleetFake, service: &str, revision: u64) -> bool {
    fleet.nodes.iter().all(|node| {
        let own = &node.record.service;
        let needs = own == service || fleet.calls[own].iter().any(|called| called == service);
        !needs || node.revision(service) >= revision
    })
}

/// Reads in each second of `time`.
fn reads_by_second(fleet: &mut FleetFake, time: Duration) -> Vec<u64> {
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

fn measure(size: usize, seed: u64, everyone_watches: bool) {
    let mut fleet = build(size, seed, everyone_watches);
    let start = reads_by_second(&mut fleet, START_TIME);
    let bytes_before: Vec<u64> = fleet.nodes.iter().map(|node| node.bytes).collect();
    let rest = reads_by_second(&mut fleet, REST_TIME);
    let spent: Vec<u64> = fleet
        .nodes
        .iter()
        .zip(bytes_before)
        .map(|(node, before)| node.bytes - before)
        .collect();
    let rate = |bytes: f64| bytes / REST_TIME.as_secs_f64();
    let most = *spent.iter().max().expect("a fleet") as f64;
    let called_by_all = service((size / NODES_PER_SERVICE).clamp(2, SERVICES_MAX) - 1);
    fleet.publish(&called_by_all, 2, "second");
    let before = fleet.platform.reads;
    // The watches that wait re-arm once in their waiting time, as they do at rest.
    let up = fleet.run_until(CHANGE_BOUND, |fleet| {
        is_everywhere(fleet, &called_by_all, 2)
    });
    fleet.run(CHANGE_TIME.saturating_sub(up.unwrap_or_default()));
    let change = (fleet.platform.reads - before) as f64 - mean(&rest) * CHANGE_TIME.as_secs_f64();
    let reader = fleet
        .nodes
        .iter()
        .rposition(|node| node.record.service == called_by_all);
    let reader = fleet.nodes[reader.expect("a reader")]
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
        if everyone_watches {
            "every node"
        } else {
            "chosen"
        },
        start.iter().max().expect("seconds"),
        mean(&rest),
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
