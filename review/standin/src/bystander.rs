//! Case: one backend crashes once, for a few seconds, while it runs several copies of one harmless
//! call. Each copy counts as a crash of its own, and the call is refused everywhere from then on.

use crate::{
    Outcome,
    backend::{Work, WorkRule},
    fleet::Route,
    http::{Client, ClientRequest},
    record::Record,
    site::{MachinePlan, Site, sleep_until},
};

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

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
        name: "allergy-lookup",
        host: "allergy.example",
        prefix: "/allergy/",
        is_idempotent: true,
        service: "kitchen-board",
        timeout_s: 2.0,
    },
    Route {
        name: "menu-view",
        host: "menu.example",
        prefix: "/menu/",
        is_idempotent: true,
        service: "kitchen-board",
        timeout_s: 2.5,
    },
];
/// Machine of the clients.
const CLIENT_MACHINE: usize = 3;
/// Clients that record doses; each dose makes the same call.
const DOSE_CLIENTS: usize = 8;
/// Clients that read menus, each by a path of its own.
const MENU_CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(100);
/// Time between the starts of two clients, so that their requests don't come in step.
const STAGGER: Duration = Duration::from_millis(47);
/// Time at which the backend crashes, and for which it is down.
const CRASH_AT_S: f64 = 5.0;
const DOWN_S: f64 = 4.0;
const LENGTH_S: f64 = 70.0;

/// Requests of one kind.
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
    let site = Site::start("bystander", &MACHINES, &ROUTES, &rule, record)?;
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
        thread::sleep(Duration::from_secs_f64(DOWN_S));
        site.backends[0]
            .begin_lifetime()
            .map_err(|error| error.to_string())?;
    }
    let doses = sum(doses);
    let menus = sum(menus);
    // Each dose that is served has had its call served, and each other one has had it refused.
    let all = Count {
        sent: 2 * doses.sent + menus.sent,
        served: 2 * doses.served + menus.served,
    };
    record.line(&format!(
        "dose-record and its call allergy-lookup: {doses:?}, share {:.3}; menu-view: {menus:?}, share {:.3}; all requests: share {:.3}",
        doses.share(),
        menus.share(),
        all.share()
    ));
    let runs = site.backends[CLIENT_MACHINE].runs();
    let failed = runs
        .iter()
        .filter(|run| run.end.starts_with("answered 500"));
    record.line(&format!(
        "{} doses were accepted, began to run and failed because their call was refused",
        failed.count()
    ));
    let is_starved = doses.share() < all.share() / 4.0;
    site.end(&[3401]);
    Ok(Outcome::of(is_starved))
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
        while record.now() < started + LENGTH_S {
            let id = format!("c{client}n{}", count.sent);
            let is_dose = client < DOSE_CLIENTS;
            let reply = connection.send(&if is_dose { dose(&id) } else { menu(&id) });
            count.sent += 1;
            count.served += u32::from(reply.status() == 200);
            if reply.status() != 200 {
                record.line(&format!("client of {id}: {}", reply.text()));
            }
            thread::sleep(PAUSE);
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
