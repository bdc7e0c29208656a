//! Clients that leave before their time limit, on a machine from which others send large bodies to the same
//! service.

use crate::{
    Verdict, caller,
    fleet::{self, Fleet, Machine, Route},
    record,
    upstream::{Run, Runs},
};

use std::{
    io::{Error, ErrorKind},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Body of one upload, within the `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// Bandwidth of a machine's link.
const LINK_MEGABITS: f64 = 200.0;
const TIME_LIMIT: Duration = Duration::from_secs(8);
/// Pause between the answer to one upload and the start of the next.
const UPLOAD_PAUSE: Duration = Duration::from_millis(800);
/// Work of a report.
const REPORT_TIME: Duration = Duration::from_secs(4);
/// Clients that ask for reports and leave.
const LEAVING_CLIENTS: u64 = 12;
/// Time after which such a client leaves.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// Longest pause of such a client.
const PAUSE_MAX_MILLIS: u64 = 1500;
/// Time after the close at which an upstream must not work any more.
const WORK_LIMIT: Duration = Duration::from_millis(500);
const PLAY_TIME: Duration = Duration::from_secs(50);

/// A client that left: the id of its request, and the time of its close.
type Left = Arc<Mutex<Vec<(String, Instant)>>>;

pub fn play(has_trouble: bool) -> Verdict {
    let fleet = Fleet::start("left-behind")?;
    let machines = [machine(1, "front", "z1"), machine(2, "orders", "z2")];
    let mut links = Vec::new();
    for machine in &machines {
        fleet.start_upstream(machine, vec![("/report/", REPORT_TIME)], 76)?;
        links.push(fleet.start_link(machine, LINK_MEGABITS)?);
    }
    let routes = [("orders", false), ("report", true)].map(|(name, is_idempotent)| Route {
        name,
        is_idempotent,
        timeout_s: 8,
        service: "orders",
    });
    fleet::publish(&fleet.store, 7, &["front", "orders"], &routes);
    for machine in &machines {
        fleet.start_node(machine)?;
    }
    fleet.wait_until_ready(&machines)?;
    let node = fleet.callers(&machines[0]);
    let (left, is_over) = (Left::default(), Arc::new(AtomicBool::new(false)));
    for number in 0..LEAVING_CLIENTS {
        let (left, is_over) = (Arc::clone(&left), Arc::clone(&is_over));
        thread::spawn(move || send_and_leave(node, number, &left, &is_over));
    }
    let until = Instant::now() + PLAY_TIME;
    let served = if has_trouble {
        send_uploads(node, until)
    } else {
        thread::sleep(PLAY_TIME);
        (0, 0)
    };
    record::note(&format!("uploads: {} of {} served", served.0, served.1));
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(WORK_LIMIT * 4);
    judge(&left, &fleet.runs)
}

fn send_uploads(node: SocketAddr, until: Instant) -> (usize, usize) {
    let body = vec![b'u'; BODY_BYTES];
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < until {
        sent += 1;
        let (id, path) = (format!("u{sent}"), format!("/orders/{sent}"));
        served += usize::from(caller::send(node, "POST", &path, &id, &body, TIME_LIMIT) == 200);
        thread::sleep(UPLOAD_PAUSE);
    }
    (served, sent)
}

/// Asks for one report after the other, and leaves before it is there.
fn send_and_leave(node: SocketAddr, client: u64, left: &Left, is_over: &AtomicBool) {
    // A linear congruential generator; the pauses only have to differ.
    let mut random = client.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        thread::sleep(Duration::from_millis((random >> 33) % PAUSE_MAX_MILLIS));
        number += 1;
        let id = format!("c{client}-{number}");
        let path = format!("/report/{client}/{number}");
        let Some(stream) = caller::start(node, &path, &id, TIME_LIMIT) else {
            continue;
        };
        thread::sleep(LEAVE_TIME);
        let has_answer = has_bytes(&stream);
        drop(stream);
        record::line(&format!("leave {id} answered {has_answer}"));
        if !has_answer {
            left.lock().unwrap().push((id, Instant::now()));
        }
    }
}

fn has_bytes(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Judges the requests at which an upstream was at work when their clients left.
fn judge(left: &Left, runs: &Runs) -> Verdict {
    let (left, runs) = (left.lock().unwrap(), runs.lock().unwrap());
    let (mut counted, mut still_at_work, mut later) = (0, 0, 0);
    for (id, closed) in left.iter() {
        let known: &[Run] = runs.get(id).map_or(&[], Vec::as_slice);
        later += known
            .iter()
            .filter(|run| run.started > *closed + WORK_LIMIT)
            .count();
        let at_work =
            |run: &&Run| run.started < *closed && run.ended.is_none_or(|ended| ended > *closed);
        let Some(run) = known.iter().find(at_work) else {
            continue;
        };
        counted += 1;
        if run.ended.is_none_or(|ended| ended > *closed + WORK_LIMIT) {
            still_at_work += 1;
            record::line(&format!(
                "at work on {id} half a second after its client left"
            ));
        }
    }
    record::note(&format!(
        "{} clients left; at {counted} of their requests an upstream was at work, at {still_at_work} still half \
         a second later; {later} requests reached it later than that",
        left.len()
    ));
    if counted < 20 {
        return Err(Error::other("too few requests to judge"));
    }
    Ok(4 * still_at_work > counted)
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
