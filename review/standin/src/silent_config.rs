//! Case: a change of the configuration is read, the open connections to the store go silent, and a
//! further change is confirmed. Once the nodes are in touch again, they still use the older one.

use crate::{
    Outcome,
    backend::{Run, Work, WorkRule},
    fleet::{self, Route},
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, ZONE, sleep_until},
};

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

const MACHINES: [MachinePlan; 3] = [
    MachinePlan {
        ip: "127.0.0.11",
        service: "medication-log",
        backend: "i-1a",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.12",
        service: "diary-portal",
        backend: "i-2b",
        zone: ZONE,
    },
    MachinePlan {
        ip: "127.0.0.13",
        service: "kitchen-board",
        backend: "i-3c",
        zone: ZONE,
    },
];
const SERVICES: [&str; 3] = ["diary-portal", "kitchen-board", "medication-log"];
/// Machine of the service that runs the route in the old configuration.
const OLD_SERVICE: usize = 0;
/// Bounds of the rules, from the settings of the small sites.
const CONTACT_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;
/// Time from the first change to the silence, and from there to the second change.
const SILENT_AFTER: Duration = Duration::from_millis(100);
const CHANGED_AFTER_S: f64 = 0.9;
/// Time for which clients send requests after the nodes are in touch again.
const JUDGED_S: f64 = 1.5;
const PAUSE: Duration = Duration::from_millis(20);

fn routes(service: &'static str) -> [Route; 1] {
    [Route {
        name: "dose-record",
        host: "dose.example",
        prefix: "/dose/",
        is_idempotent: false,
        service,
        timeout_s: 5.0,
    }]
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let rule: WorkRule = Arc::new(|_: &str, _: &[u8]| Work::Answer(Duration::from_millis(10)));
    let old_routes = routes("medication-log");
    let new_routes = routes("diary-portal");
    let site = Site::start("silent-config", &MACHINES, &old_routes, &rule, record)?;
    thread::sleep(Duration::from_secs(4));
    let change = |version: u64, routes: &[Route]| {
        let document = fleet::configuration(version, &SERVICES, routes);
        site.store.put("op/config", &document);
    };
    change(2, &old_routes);
    thread::sleep(SILENT_AFTER);
    if has_trouble {
        site.store.silence_open_connections();
    }
    let silent_at = record.now();
    sleep_until(record, silent_at + CHANGED_AFTER_S);
    change(3, &new_routes);
    let confirmed_at = record.now();
    // Requests count that are sent later than both bounds.
    let judged_from = (silent_at + CONTACT_S).max(confirmed_at + CONFIG_APPLY_S) + 0.01;
    sleep_until(record, judged_from);
    record.line("the nodes are in touch, and the change is older than its bound");
    let clients: Vec<_> = site
        .nodes
        .iter()
        .map(|node| start_client(&node.name, node.callers(), judged_from + JUDGED_S, record))
        .collect();
    for client in clients {
        // What a client got is in the record.
        let _ = client.join();
    }
    let runs = site.backends[OLD_SERVICE].runs();
    let late = runs.iter().filter(|run| run.at > judged_from);
    let late: Vec<&Run> = late.collect();
    let last = late.last().map_or(0.0, |run| run.at - judged_from);
    record.line(&format!(
        "{} dose-records were run by the old service, the last one {last:.3} s after both bounds had passed",
        late.len()
    ));
    let is_broken = !late.is_empty();
    site.end(&[3101, 3108]);
    Ok(Outcome::of(is_broken))
}

fn start_client(
    name: &str,
    address: SocketAddr,
    until: f64,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (name, record) = (name.to_owned(), record.clone());
    thread::spawn(move || {
        let mut client = Client::new(address);
        let mut index = 0;
        while record.now() < until {
            let id = format!("{name}-{index}");
            let sent_at = record.now();
            let reply = client.send(&ClientRequest {
                method: "POST".into(),
                path: "/dose/entry".into(),
                host: "dose.example".into(),
                id: id.clone(),
                time_limit: Duration::from_secs(5),
                body: b"paracetamol".to_vec(),
            });
            record.line(&format!(
                "client: {id} sent at {sent_at:.3}: {}",
                reply.text()
            ));
            index += 1;
            thread::sleep(PAUSE);
        }
    })
}
