//! The store turns one machine away and serves the others. Meanwhile the configuration changes, and the machine
//! from which the other one hears of it first is killed.

use crate::{
    Verdict, caller,
    fleet::{self, Fleet, Machine, Route},
    record,
    upstream::Runs,
};

use std::{
    collections::HashMap,
    io::Error,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const TIME_LIMIT: Duration = Duration::from_secs(2);
/// Pause of the caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the store turns the machine away.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(9);
/// Time from the start of that to the change of the configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(500);
/// Time from the change to the kill.
const KILL_DELAY: Duration = Duration::from_millis(60);
/// Time until the killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// `config_apply_s` and `outer_s` of the deployment.
const APPLY_TIME: Duration = Duration::from_secs(2 + 5);
/// Number of the process that is killed.
const KILLED: usize = 0;

/// Times at which requests were sent, by id.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

pub fn play(has_trouble: bool) -> Verdict {
    let fleet = Fleet::start("stale-route")?;
    let machines = [
        machine(1, "front", "z1", false),
        machine(2, "front", "z1", true),
        machine(3, "kitchen", "z2", false),
        machine(4, "annex", "z2", false),
    ];
    for machine in &machines {
        fleet.start_upstream(machine, Vec::new(), 76)?;
        // Nodes reach each other through the links, which stay as they are.
        fleet.start_link(machine, 1000.0)?;
    }
    publish(&fleet, 7, "kitchen");
    for machine in &machines {
        fleet.start_node(machine)?;
    }
    fleet.wait_until_ready(&machines)?;
    let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let node = fleet.callers(&machines[1]);
    let calling = {
        let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
        thread::spawn(move || send_requests(node, &sent, &is_over))
    };
    thread::sleep(Duration::from_secs(6));
    // `store` leaves out the kill only.
    let has_kill = has_trouble && std::env::var("TROUBLE").as_deref() != Ok("store");
    if has_trouble {
        record::note("the store turns machine 2 away with 429, and serves the others");
        fleet.store.turn_away(true);
    }
    let let_in_at = Instant::now() + TURNED_AWAY_TIME;
    thread::sleep(CHANGE_DELAY);
    publish(&fleet, 8, "annex");
    let confirmed = Instant::now();
    record::note("r8 is confirmed: the route goes to `annex` instead of `kitchen`");
    thread::sleep(KILL_DELAY);
    if has_kill {
        record::note("machine 1 is killed");
        Fleet::kill_node(KILLED);
        thread::sleep(RESTART_DELAY);
        fleet.start_node(&machines[0])?;
    }
    thread::sleep(let_in_at.saturating_duration_since(Instant::now()));
    fleet.store.turn_away(false);
    record::note("the store serves machine 2 again");
    let until = Instant::now();
    thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    calling
        .join()
        .map_err(|_| Error::other("the caller failed"))?;
    judge(&sent, &fleet.runs, confirmed, until)
}

fn publish(fleet: &Fleet, version: u32, service: &'static str) {
    let route = Route {
        name: "menu",
        is_idempotent: true,
        timeout_s: 2,
        service,
    };
    fleet::publish(
        &fleet.store,
        version,
        &["front", "kitchen", "annex"],
        &[route],
    );
}

fn send_requests(node: SocketAddr, sent: &Sent, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let (id, path) = (format!("g{number}"), format!("/menu/{number}"));
        sent.lock().unwrap().insert(id.clone(), Instant::now());
        caller::send(node, "GET", &path, &id, &[], TIME_LIMIT);
        thread::sleep(REQUEST_PAUSE);
    }
}

/// Counts the requests that were sent later than the bound after the confirmation, while the machine was turned
/// away, and that the old service ran.
fn judge(sent: &Sent, runs: &Runs, confirmed: Instant, until: Instant) -> Verdict {
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let (mut counted, mut stale) = (0, 0);
    for (id, at) in sent.iter() {
        if *at <= confirmed + APPLY_TIME || *at > until {
            continue;
        }
        counted += 1;
        let known = runs.get(id).map_or(&[][..], Vec::as_slice);
        stale += usize::from(known.iter().any(|run| run.upstream == "i-3"));
    }
    record::note(&format!(
        "of {counted} requests sent later than {APPLY_TIME:?} after the confirmation, {stale} were run by the old \
         service"
    ));
    if counted < 10 {
        return Err(Error::other("too few requests to judge"));
    }
    Ok(stale > 0)
}

fn machine(
    number: u8,
    service: &'static str,
    zone: &'static str,
    may_be_turned_away: bool,
) -> Machine {
    Machine {
        number,
        service,
        zone,
        id: format!("i-{number}"),
        memory_mb: 260,
        may_be_turned_away,
    }
}
