//! Case: one backend crashes once, for a few seconds, while it runs several copies of one harmless
//! call. Each copy counts as a crash of its own, and the call is refused everywhere from then on.

use crate::{
    Outcome,
    backend::{Work, WorkRule},
    fleet::{self, Route},
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, sleep_until},
};

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const MACHINES: [MachinePlan; 4] = [
    MachinePlan {
        ip: "127.0.0.11",
        service: "kitchen-board",
        backend: "i-a1",
        zone: "izmit",
    },
    MachinePlan {
        ip: "127.0.0.12",
        service: "kitchen-board",
        backend: "i-a2",
        zone: "gebze",
    },
    MachinePlan {
        ip: "127.0.0.13",
        service: "kitchen-board",
        backend: "i-a3",
        zone: "golcuk",
    },
    MachinePlan {
        ip: "127.0.0.14",
        service: "medication-log",
        backend: "i-b1",
        zone: "izmit",
    },
];
const ROUTES: [Route; 3] = [
    Route {
        name: "dose-record",
        host: "dose.example",
        prefix: "/dose/",
        is_idempotent: false,
        service: "medication-log",
        timeout_s: 5.0,
    },
    Route {
        name: "menu-view",
        host: "menu.example",
        prefix: "/menu/",
        is_idempotent: true,
        service: "kitchen-board",
        timeout_s: 2.5,
    },
    Route {
        name: "allergy-lookup",
        host: "allergy.example",
        prefix: "/allergy/",
        is_idempotent: true,
        service: "kitchen-board",
        timeout_s: 2.0,
    },
];
/// Routes of the first configuration; the last one of [`ROUTES`] is added later.
const FIRST_ROUTES: usize = 2;
const SERVICES: [&str; 2] = ["kitchen-board", "medication-log"];
/// Machine of the clients.
const CLIENT_MACHINE: usize = 3;
/// Clients that record doses; each dose makes the same call.
const DOSE_CLIENTS: usize = 8;
/// Clients that read menus, each by a path of its own.
const MENU_CLIENTS: usize = 8;
/// Time between two requests of a client, whatever it gets.
const PACE: Duration = Duration::from_millis(300);
/// Time between the starts of two clients, so that their requests don't come in step.
const STAGGER: Duration = Duration::from_millis(37);
/// Times after the start of the clients: the crash of a backend, its return, the start of the steady
/// state that is judged, and the end.
const CRASH_AT_S: f64 = 4.0;
const BACK_AT_S: f64 = 7.0;
const STEADY_FROM_S: f64 = 17.0;
const LENGTH_S: f64 = 57.0;
/// Requests on later routes from which the rule counts.
const REQUESTS_MIN: u32 = 20;

/// Requests of one kind in the steady state.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Outcome, String> {
    let rule: WorkRule = Arc::new(|path: &str, _: &[u8]| {
        if path.starts_with("/dose/") {
            Work::Call {
                host: "allergy.example",
                path: "/allergy/list",
            }
        } else {
            Work::Answer(Duration::from_millis(190))
        }
    });
    let first = &ROUTES[..FIRST_ROUTES];
    let site = Site::start("bystander", &MACHINES, first, &rule, record)?;
    thread::sleep(Duration::from_secs(2));
    let second = fleet::configuration(2, &SERVICES, &ROUTES);
    site.store.put("op/config", &second);
    thread::sleep(Duration::from_secs(3));
    let address = site.nodes[CLIENT_MACHINE].callers();
    let started = record.now();
    let start = |client: usize| start_client(client, address, started, record);
    let doses: Vec<_> = (0..DOSE_CLIENTS).map(&start).collect();
    let menus: Vec<_> = (DOSE_CLIENTS..DOSE_CLIENTS + MENU_CLIENTS)
        .map(&start)
        .collect();
    if has_trouble {
        sleep_until(record, started + CRASH_AT_S);
        site.backends[0].end_lifetime("crash, the only one of the run");
        sleep_until(record, started + BACK_AT_S);
        site.backends[0]
            .begin_lifetime()
            .map_err(|error| error.to_string())?;
    }
    let doses = sum(doses);
    let menus = sum(menus);
    let runs = site.backends[CLIENT_MACHINE].runs();
    let steady = runs.iter().filter(|run| run.at >= started + STEADY_FROM_S);
    let calls = steady.fold(Count::default(), |count, run| Count {
        sent: count.sent + 1,
        served: count.served + u32::from(run.end.starts_with("answered 200")),
    });
    let first = Count {
        sent: doses.sent + menus.sent,
        served: doses.served + menus.served,
    };
    record.line(&format!(
        "steady state, from {STEADY_FROM_S} s after the start of the clients: dose-record {doses:?}, menu-view {menus:?}, calls allergy-lookup {calls:?}"
    ));
    record.line(&format!(
        "share served: later route {:.3}, first routes {:.3}",
        calls.share(),
        first.share()
    ));
    record.line(&format!(
        "{} doses were accepted and ran in that time, and failed because their call was refused",
        calls.sent - calls.served
    ));
    let is_broken = calls.sent >= REQUESTS_MIN && calls.share() < first.share() / 4.0;
    site.end(&[3401]);
    Ok(Outcome::of(is_broken))
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

fn sum(clients: Vec<thread::JoinHandle<Count>>) -> Count {
    let counts = clients.into_iter().filter_map(|client| client.join().ok());
    counts.fold(Count::default(), |sum, count| Count {
        sent: sum.sent + count.sent,
        served: sum.served + count.served,
    })
}

fn start_client(
    client: usize,
    address: SocketAddr,
    started: f64,
    record: &Record,
) -> thread::JoinHandle<Count> {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(STAGGER * u32::try_from(client).unwrap_or(0));
        let mut connection = Client::new(address);
        let mut count = Count::default();
        let mut next = Instant::now();
        let mut index = 0;
        while record.now() < started + LENGTH_S {
            let id = format!("c{client}n{index}");
            let sent_at = record.now();
            let is_dose = client < DOSE_CLIENTS;
            let reply = connection.send(&if is_dose { dose(&id) } else { menu(&id) });
            if sent_at >= started + STEADY_FROM_S {
                count.sent += 1;
                count.served += u32::from(reply.status() == 200);
            }
            index += 1;
            if reply.status() != 200 {
                record.line(&format!("client of {id}: {}", reply.text()));
            }
            next += PACE;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        count
    })
}

fn dose(id: &str) -> ClientRequest {
    ClientRequest {
        method: "POST".into(),
        path: "/dose/entry".into(),
        host: "dose.example".into(),
        id: id.into(),
        time_limit: Duration::from_secs(5),
        body: format!("dose {id}").into_bytes(),
    }
}

fn menu(id: &str) -> ClientRequest {
    ClientRequest {
        method: "GET".into(),
        path: format!("/menu/{id}"),
        host: "menu.example".into(),
        id: id.into(),
        time_limit: Duration::from_millis(2500),
        body: Vec::new(),
    }
}
