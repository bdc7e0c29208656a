//! Case: a request that crashes each backend that begins to run it comes again from a client that
//! repeats at once.

use crate::{
    Outcome,
    backend::{Backend, Work, WorkRule},
    fleet::Route,
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, ZONE, sleep_until},
};

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const MACHINES: [MachinePlan; 5] = [
    MachinePlan {
        ip: "127.0.0.11",
        service: "medication-log",
        backend: "i-a1",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.12",
        service: "medication-log",
        backend: "i-a2",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.13",
        service: "medication-log",
        backend: "i-a3",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.14",
        service: "medication-log",
        backend: "i-a4",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.15",
        service: "diary-portal",
        backend: "i-b1",
        zone: ZONE,
    },
];
const ROUTES: [Route; 1] = [Route {
    name: "dose-record",
    host: "dose.example",
    prefix: "/dose/",
    is_idempotent: false,
    service: "medication-log",
    timeout_s: 5.0,
}];
/// Machine of the client.
const CLIENT_MACHINE: usize = 4;
/// Body that crashes a backend.
const POISON: &[u8] = b"dose=1e999";
const HARMLESS: &[u8] = b"dose=1";
/// Time for which a crashed backend is away.
const RESTART: Duration = Duration::from_millis(3500);
/// Calm after which crashes count.
const CONTACT_S: f64 = 3.0;
/// Crashes after which the rule counts, and retries that it then allows.
const CRASHES_FREE: usize = 3;
const RETRIES_ALLOWED: usize = 3;
/// Rounds in which the client tries, and the time between them.
const ROUNDS: u32 = 4;
const ROUND_S: f64 = 8.0;
/// Attempts of one round, one at once after the other.
const ATTEMPTS: u32 = 4;

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let rule: WorkRule = Arc::new(|_: &str, body: &[u8]| {
        if body == POISON {
            Work::Crash
        } else {
            Work::Answer(Duration::from_millis(150))
        }
    });
    let site = Site::start("poison", &MACHINES, &ROUTES, &rule, record)?;
    let is_done = Arc::new(AtomicBool::new(false));
    let restarting: Vec<_> = site.backends[..CLIENT_MACHINE]
        .iter()
        .map(|backend| keep_running(backend, &is_done))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let others = start_other_client(&site, &is_done, record);
    let mut client = Client::new(site.nodes[CLIENT_MACHINE].callers());
    let body = if has_trouble { POISON } else { HARMLESS };
    let started = record.now();
    for round in 0..ROUNDS {
        sleep_until(record, started + ROUND_S * f64::from(round));
        for attempt in 0..ATTEMPTS {
            let id = format!("r{round}a{attempt}");
            let reply = client.send(&dose(&id, body));
            record.line(&format!("client of {id}: {}", reply.text()));
        }
    }
    thread::sleep(Duration::from_secs(1));
    is_done.store(true, Ordering::SeqCst);
    let (sent, lost) = others.join().unwrap_or_default();
    for backend in restarting {
        // The thread ends by itself once the run is done.
        let _ = backend.join();
    }
    let mut crashes: Vec<f64> = site
        .backends
        .iter()
        .flat_map(Backend::runs)
        .filter(|run| run.body.as_bytes() == POISON)
        .map(|run| run.at)
        .collect();
    crashes.sort_by(f64::total_cmp);
    let counted_from = crashes
        .get(CRASHES_FREE - 1)
        .map_or(f64::MAX, |third| third + CONTACT_S);
    let late = crashes.iter().filter(|at| **at > counted_from).count();
    record.line(&format!(
        "the request crashed backends {} times, {late} of them later than {CONTACT_S} s after the third crash ({RETRIES_ALLOWED} are allowed)",
        crashes.len()
    ));
    record.line(&format!(
        "of {sent} requests of another client, {lost} got 502 because the backend crashed beside them"
    ));
    site.end(&[3401]);
    Ok(Outcome::of(late > RETRIES_ALLOWED))
}

/// Starts a backend again some seconds after each crash.
fn keep_running(backend: &Backend, is_done: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (backend, is_done) = (backend.clone(), Arc::clone(is_done));
    thread::spawn(move || {
        while !is_done.load(Ordering::SeqCst) {
            if !backend.is_up() {
                thread::sleep(RESTART);
                // If the address is not free yet, the next turn tries again.
                let _ = backend.begin_lifetime();
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

/// Another client on the first machine, with ordinary requests. Returns how many it sent, and how
/// many of them got 502.
fn start_other_client(
    site: &Site,
    is_done: &Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<(u32, u32)> {
    let address = site.nodes[0].callers();
    let (is_done, record) = (Arc::clone(is_done), record.clone());
    thread::spawn(move || {
        let mut client = Client::new(address);
        let (mut sent, mut lost) = (0, 0);
        while !is_done.load(Ordering::SeqCst) {
            let id = format!("other{sent}");
            let reply = client.send(&dose(&id, format!("dose of {id}").as_bytes()));
            sent += 1;
            if reply.status() == 502 {
                lost += 1;
            }
            if reply.status() != 200 {
                record.line(&format!("client of {id}: {}", reply.text()));
                thread::sleep(Duration::from_millis(300));
            }
        }
        (sent, lost)
    })
}

fn dose(id: &str, body: &[u8]) -> ClientRequest {
    ClientRequest {
        method: "POST".into(),
        path: "/dose/entry".into(),
        host: "dose.example".into(),
        id: id.into(),
        time_limit: Duration::from_secs(5),
        body: body.to_vec(),
    }
}
