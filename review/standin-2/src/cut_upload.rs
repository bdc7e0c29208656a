//! Uploads between two machines. While one of them is on its way, the open connections between the machines
//! go silent for good; new ones work.

use crate::{
    Verdict, caller,
    fleet::{self, Fleet, Machine, Route},
    proxy::LinkProxy,
    record,
};

use std::{
    io::Error,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

/// Body of one upload, within the `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 60 * 1024 * 1024;
/// Bytes of an upload that have arrived when the connections go silent.
const ARRIVED_BYTES: u64 = 20 * 1024 * 1024;
/// Bandwidth of a machine's link.
const LINK_MEGABITS: f64 = 1000.0;
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Time from the start of one upload to that of the next.
const UPLOAD_INTERVAL: Duration = Duration::from_millis(2500);
/// `recovery_s` of the deployment.
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Uploads before the disruption, and after the recovery time.
const UPLOADS: usize = 5;

struct Uploads {
    node: SocketAddr,
    body: Vec<u8>,
    sent: usize,
}

impl Uploads {
    /// Sends one upload; returns whether it was served.
    fn send(&mut self) -> bool {
        self.sent += 1;
        let started = Instant::now();
        let (id, path) = (format!("u{}", self.sent), format!("/orders/{}", self.sent));
        let status = caller::send(self.node, "POST", &path, &id, &self.body, TIME_LIMIT);
        thread::sleep(UPLOAD_INTERVAL.saturating_sub(started.elapsed()));
        status == 200
    }

    fn send_several(&mut self) -> usize {
        (0..UPLOADS).filter(|_| self.send()).count()
    }
}

pub fn play(has_trouble: bool) -> Verdict {
    let fleet = Fleet::start("cut-upload")?;
    let machines = [machine(1, "front", "z1"), machine(2, "orders", "z2")];
    let mut links = Vec::new();
    for machine in &machines {
        fleet.start_upstream(machine, Vec::new(), 76)?;
        links.push(fleet.start_link(machine, LINK_MEGABITS)?);
    }
    let route = Route {
        name: "orders",
        is_idempotent: false,
        timeout_s: 8,
        service: "orders",
    };
    fleet::publish(&fleet.store, 7, &["front", "orders"], &[route]);
    for machine in &machines {
        fleet.start_node(machine)?;
    }
    fleet.wait_until_ready(&machines)?;
    let mut uploads = Uploads {
        node: fleet.callers(&machines[0]),
        body: vec![b'u'; BODY_BYTES],
        sent: 0,
    };
    let served_before = uploads.send_several();
    record::note(&format!("before: {served_before} of {UPLOADS} served"));
    if served_before < UPLOADS {
        return Err(Error::other("uploads are not served in calm"));
    }
    let silencer = has_trouble.then(|| silence_during_upload(&links));
    let is_served = uploads.send();
    record::note(&format!("the upload at that moment: served {is_served}"));
    if let Some(silencer) = silencer {
        silencer
            .join()
            .map_err(|_| Error::other("no upload was on its way"))?;
    }
    let recovered_at = Instant::now() + RECOVERY_TIME;
    while Instant::now() < recovered_at {
        uploads.send();
    }
    let served_after = uploads.send_several();
    record::note(&format!(
        "later than {RECOVERY_TIME:?} after it: {served_after} of {UPLOADS} served"
    ));
    Ok(4 * served_after < UPLOADS)
}

/// Waits until a part of the next upload has arrived, and makes the connections go silent.
fn silence_during_upload(links: &[Arc<LinkProxy>]) -> thread::JoinHandle<()> {
    let links: Vec<_> = links.to_vec();
    let before: u64 = forwarded(&links);
    thread::spawn(move || {
        while forwarded(&links) < before + ARRIVED_BYTES {
            thread::sleep(Duration::from_millis(5));
        }
        for link in &links {
            link.silence();
        }
        record::note("the open connections between the machines go silent");
    })
}

fn forwarded(links: &[Arc<LinkProxy>]) -> u64 {
    links
        .iter()
        .map(|link| link.forwarded.load(Ordering::SeqCst))
        .sum()
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
