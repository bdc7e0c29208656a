//! Many machines that call one service. From time to time the open connections between the machines go
//! silent for good; new ones work.

use crate::{
    Verdict, caller,
    fleet::{self, Fleet, Machine, Route},
    record,
};

use std::{
    io::Error,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Machines that call the service.
const CALLERS: u8 = 95;
/// Number of the machine of the service.
const SERVICE_MACHINE: u8 = 200;
/// Times at which the open connections go silent.
const SILENCES: usize = 14;
/// Time from one of them to the next: the nodes have found the silence and opened new connections.
const SILENCE_INTERVAL: Duration = Duration::from_millis(3600);
/// Bandwidth of a machine's link.
const LINK_MEGABITS: f64 = 1000.0;
const TIME_LIMIT: Duration = Duration::from_secs(4);
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);
/// `recovery_s` of the deployment.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time in which requests are counted, before the disruption and after the recovery time.
const COUNTED_TIME: Duration = Duration::from_secs(5);

/// Requests sent and served since they were last counted.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    is_over: AtomicBool,
}

impl Counts {
    /// Counts the requests that are answered in the next [`COUNTED_TIME`].
    fn count(&self) -> (usize, usize) {
        self.sent.store(0, Ordering::SeqCst);
        self.served.store(0, Ordering::SeqCst);
        thread::sleep(COUNTED_TIME);
        (
            self.served.load(Ordering::SeqCst),
            self.sent.load(Ordering::SeqCst),
        )
    }

    /// Sends requests to `node` until the case is over.
    fn send_requests(&self, node: SocketAddr, machine: u8) {
        let mut number = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            number += 1;
            let (id, path) = (format!("m{machine}-{number}"), format!("/orders/{number}"));
            let status = caller::send(node, "GET", &path, &id, &[], TIME_LIMIT);
            self.sent.fetch_add(1, Ordering::SeqCst);
            if status == 200 {
                self.served.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(REQUEST_PAUSE);
        }
    }
}

pub fn play(has_trouble: bool) -> Verdict {
    let fleet = Fleet::start("silent-links")?;
    let mut machines = vec![machine(SERVICE_MACHINE, "orders", "z2")];
    machines.extend((1..=CALLERS).map(|number| machine(number, "front", "z1")));
    let service = &machines[0];
    let link = fleet.start_link(service, LINK_MEGABITS)?;
    fleet.start_upstream(service, Vec::new(), 76)?;
    let route = Route {
        name: "orders",
        is_idempotent: true,
        timeout_s: 4,
        service: "orders",
    };
    fleet::publish(&fleet.store, 7, &["front", "orders"], &[route]);
    for machine in &machines {
        fleet.start_node(machine)?;
    }
    fleet.wait_until_ready(&machines)?;
    let counts = Arc::new(Counts::default());
    for machine in &machines[1..] {
        let (counts, node, number) = (Arc::clone(&counts), fleet.callers(machine), machine.number);
        thread::spawn(move || counts.send_requests(node, number));
    }
    thread::sleep(Duration::from_secs(2));
    let (served, sent) = counts.count();
    record::note(&format!("before: {served} of {sent} served"));
    if 4 * served < sent {
        return Err(Error::other("requests are not served in calm"));
    }
    let started = Instant::now();
    for number in 1..=SILENCES {
        if has_trouble {
            link.silence();
        }
        thread::sleep((started + SILENCE_INTERVAL * number as u32) - Instant::now());
        record::note(&format!(
            "{number}: {} connections went silent, the node has {} descriptors open",
            link.silent_connections(),
            Fleet::descriptors(0)
        ));
    }
    thread::sleep(RECOVERY_TIME);
    let (served, sent) = counts.count();
    record::note(&format!(
        "later than {RECOVERY_TIME:?} after the last: {served} of {sent} served"
    ));
    let is_ready = fleet.is_ready(&machines[0]);
    record::note(&format!(
        "the node of the service says it is ready: {is_ready}"
    ));
    counts.is_over.store(true, Ordering::SeqCst);
    Ok(4 * served < sent)
}

fn machine(number: u8, service: &'static str, zone: &'static str) -> Machine {
    Machine {
        number,
        service,
        zone,
        id: format!("i-{number:03}"),
        memory_mb: 260,
        may_be_turned_away: false,
    }
}
