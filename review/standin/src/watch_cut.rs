//! Case: the store cuts the waiting watches, and a moment later an entry is removed. The nodes hold
//! the removal back for longer than `drain_s`.

use crate::{
    Outcome,
    backend::{Work, WorkRule},
    fleet::Route,
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, ZONE, sleep_until},
};

use std::{sync::Arc, thread, time::Duration};

const MACHINES: [MachinePlan; 3] = [
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
/// Machine whose backend leaves without reporting `draining`.
const LEAVING: usize = 1;
/// Machine of the client.
const CLIENT_MACHINE: usize = 0;
/// Bound of the rule, from the settings of the small sites.
const DRAIN_S: f64 = 2.0;
/// Time from the cut of the watches to the removal.
const REMOVED_AFTER: Duration = Duration::from_millis(100);
/// Time beyond `drain_s` for which the leaving backend still serves.
const SERVES_ON_S: f64 = 0.25;

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let rule: WorkRule = Arc::new(|_: &str, _: &[u8]| Work::Answer(Duration::from_millis(60)));
    let site = Site::start("watch-cut", &MACHINES, &ROUTES, &rule, record)?;
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        site.store.cut_watches();
    }
    thread::sleep(REMOVED_AFTER);
    let leaving = site.backends[LEAVING].clone();
    site.store.remove(&format!("servers/{}", leaving.id));
    let bound = record.now() + DRAIN_S;
    let exiting = {
        let record = record.clone();
        thread::spawn(move || {
            sleep_until(&record, bound + SERVES_ON_S);
            leaving.end_lifetime("planned exit after its entry was removed");
        })
    };
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (address, record) = (site.nodes[CLIENT_MACHINE].callers(), record.clone());
            thread::spawn(move || {
                let mut connection = Client::new(address);
                let mut index = 0;
                while record.now() < bound + 1.0 {
                    let id = format!("c{client}n{index}");
                    let reply = connection.send(&dose(&id));
                    if reply.status() != 200 {
                        record.line(&format!("client of {id}: {}", reply.text()));
                    }
                    index += 1;
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    for client in clients {
        // What a client got is in the record.
        let _ = client.join();
    }
    // The exit is part of the run in any case.
    let _ = exiting.join();
    let runs = site.backends[LEAVING].runs();
    let late: Vec<_> = runs.iter().filter(|run| run.at > bound).collect();
    let lost = late.iter().filter(|run| run.end.starts_with("lost"));
    record.line(&format!(
        "{} requests reached the leaving backend more than {DRAIN_S} s after the store had confirmed its removal; {} of them were lost when it ended",
        late.len(),
        lost.count()
    ));
    let is_broken = !late.is_empty();
    site.end(&[3104, 3108]);
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
