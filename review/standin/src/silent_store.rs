//! Case: the open connections to the store go silent, new ones work. Later, in calm, a backend
//! reports `draining`. The node beside it does not learn it and passes requests on to it.

use crate::{
    Outcome,
    backend::{Work, WorkRule},
    fleet::{self, Route},
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, ZONE, sleep_until},
};

use std::{sync::Arc, thread, time::Duration};

const MACHINES: [MachinePlan; 4] = [
    MachinePlan {
        ip: "127.0.0.11",
        service: "diary-portal",
        backend: "i-1a",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.12",
        service: "kitchen-board",
        backend: "i-2b",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.13",
        service: "attendance-desk",
        backend: "i-3c",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.14",
        service: "medication-log",
        backend: "i-4d",
        zone: ZONE,
    },
];
const SERVICES: [&str; 4] = [
    "attendance-desk",
    "diary-portal",
    "kitchen-board",
    "medication-log",
];
/// Machine whose backend leaves.
const LEAVING: usize = 3;
/// Bound of the rule, from the settings of the small sites.
const DRAIN_S: f64 = 2.0;
/// Calm after a disturbance, after which machines are in touch again.
const CONTACT_S: f64 = 3.0;
/// Time beyond `drain_s` for which the leaving backend still serves.
const SERVES_ON_S: f64 = 3.0;

fn routes() -> [Route; 1] {
    [Route {
        name: "dose-record",
        host: "dose.example",
        prefix: "/dose/",
        is_idempotent: false,
        service: "medication-log",
        timeout_s: 5.0,
    }]
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let rule: WorkRule = Arc::new(|_: &str, _: &[u8]| Work::Answer(Duration::from_millis(700)));
    let site = Site::start("silent-store", &MACHINES, &routes(), &rule, record)?;
    let mut client = Client::new(site.nodes[LEAVING].callers());
    thread::sleep(Duration::from_secs(4));
    // An ordinary change, which all nodes read.
    let document = fleet::configuration(2, &SERVICES, &routes());
    site.store.put("op/config", &document);
    thread::sleep(Duration::from_secs(2));
    let reply = client.send(&dose("before"));
    record.line(&format!("client of before: {}", reply.text()));
    if has_trouble {
        site.store.silence_open_connections();
    }
    let disturbed_at = record.now();
    sleep_until(record, disturbed_at + CONTACT_S + 2.0);
    site.register(LEAVING, "draining", 2);
    let confirmed_at = record.now();
    let bound = confirmed_at + DRAIN_S;
    let exit_at = bound + SERVES_ON_S;
    let backend = site.backends[LEAVING].clone();
    let exiting = {
        let record = record.clone();
        thread::spawn(move || {
            sleep_until(&record, exit_at);
            backend.end_lifetime("planned exit after it had drained");
        })
    };
    sleep_until(record, bound + 0.5);
    for index in 0..5 {
        let id = format!("late{index}");
        let reply = client.send(&dose(&id));
        record.line(&format!("client of {id}: {}", reply.text()));
        thread::sleep(Duration::from_millis(100));
    }
    // The exit is part of the run in any case.
    let _ = exiting.join();
    let runs = site.backends[LEAVING].runs();
    let late: Vec<_> = runs.iter().filter(|run| run.at > bound).collect();
    let lost = late.iter().filter(|run| run.end.starts_with("lost"));
    record.line(&format!(
        "{} requests reached the leaving backend more than {DRAIN_S} s after the store had confirmed `draining`; {} of them were lost when it ended",
        late.len(),
        lost.count()
    ));
    let is_broken = !late.is_empty();
    site.end(&[3108]);
    Ok(Outcome::of(is_broken))
}

fn dose(id: &str) -> ClientRequest {
    ClientRequest {
        method: "POST".into(),
        path: "/dose/entry".into(),
        host: "dose.example".into(),
        id: id.into(),
        time_limit: Duration::from_secs(5),
        body: b"paracetamol".to_vec(),
    }
}
