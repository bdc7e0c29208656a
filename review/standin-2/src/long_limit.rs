//! Requests with large bodies between two machines: how much time their upstream is given.

use crate::{
    Verdict, caller,
    fleet::{self, Fleet, Machine, Route},
    record,
};

use std::{
    collections::HashMap,
    io::Error,
    thread,
    time::{Duration, Instant},
};

/// Body of one request, within the `max_body_bytes` of the configuration.
const LARGE_BODY_BYTES: usize = 32 * 1024 * 1024;
const SMALL_BODY_BYTES: usize = 1800;
/// Bandwidth of a machine's link.
const LINK_MEGABITS: f64 = 200.0;
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Pause between an answer and the next request.
const PAUSE: Duration = Duration::from_millis(500);
const REQUESTS: usize = 30;
/// Time by which the limit that an upstream gets may end after that of the client.
const EXCESS_LIMIT: Duration = Duration::from_millis(500);
/// Most requests, and part of all of them as a divisor, whose limit may end later.
const LATE_MAX: (usize, usize) = (20, 5);

pub fn play(has_trouble: bool) -> Verdict {
    let fleet = Fleet::start("long-limit")?;
    let machines = [machine(1, "front", "z1"), machine(2, "orders", "z2")];
    let mut links = Vec::new();
    for machine in &machines {
        fleet.start_upstream(machine, Vec::new(), 76)?;
        links.push(fleet.start_link(machine, LINK_MEGABITS)?);
    }
    let route = Route {
        name: "orders",
        is_idempotent: false,
        timeout_s: 30,
        service: "orders",
    };
    fleet::publish(&fleet.store, 7, &["front", "orders"], &[route]);
    for machine in &machines {
        fleet.start_node(machine)?;
    }
    fleet.wait_until_ready(&machines)?;
    let node = fleet.callers(&machines[0]);
    let body = vec![
        b'u';
        if has_trouble {
            LARGE_BODY_BYTES
        } else {
            SMALL_BODY_BYTES
        }
    ];
    let (mut limits, mut served) = (HashMap::new(), 0);
    for number in 1..=REQUESTS {
        let (id, path) = (format!("u{number}"), format!("/orders/{number}"));
        limits.insert(id.clone(), Instant::now() + TIME_LIMIT);
        served += usize::from(caller::send(node, "POST", &path, &id, &body, TIME_LIMIT) == 200);
        thread::sleep(PAUSE);
    }
    record::note(&format!("{served} of {REQUESTS} served"));
    if served < REQUESTS {
        return Err(Error::other("requests are not served in calm"));
    }
    let runs = fleet.runs.lock().unwrap();
    let (mut counted, mut late, mut largest) = (0, 0, Duration::ZERO);
    for (id, runs) in runs.iter() {
        let (Some(limit), Some(run)) = (limits.get(id), runs.first()) else {
            continue;
        };
        let excess = (run.started + run.time_left).saturating_duration_since(*limit);
        counted += 1;
        late += usize::from(excess > EXCESS_LIMIT);
        largest = largest.max(excess);
    }
    record::note(&format!(
        "of {counted} requests, the limit that the upstream got ended over {EXCESS_LIMIT:?} after that of the client at \
         {late}; the latest {largest:?} after it"
    ));
    let (late_max, divisor) = LATE_MAX;
    Ok(late > late_max && late * divisor > counted)
}

fn machine(number: u8, service: &'static str, zone: &'static str) -> Machine {
    Machine {
        number,
        service,
        zone,
        id: format!("i-{number}"),
        memory_mb: 260,
        may_be_turned_away: false,
    }
}
