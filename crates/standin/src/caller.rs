//! The callers' stand-in: offers traffic at a rate, repeats what may be repeated, and checks
//! every answer.

use crate::{
    arguments::{self, StandinResult},
    caller_keys::CallerKeys,
    deployment::{DeploymentPlan, TrafficPlan},
    report::{RequestEnd, TrafficReport, UpstreamWork},
    upstream::TagWork,
};

use awc::{Client, Connector, error::ConnectError};
use lagoonshore_protocol::headers;
use pico_args::Arguments;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Tries of one request, the first included; callers retry hard.
const TRIES_MAX: u32 = 3;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(50);
/// Time beyond its own timeout that a caller waits, so that an honest refusal still reaches it.
const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Pause between two lines of progress.
const PROGRESS_PAUSE: Duration = Duration::from_secs(2);

struct CallerSet {
    client: Client,
    entries: Vec<SocketAddr>,
    turn: Cell<usize>,
    keys: CallerKeys,
    report: RefCell<TrafficReport>,
}

impl CallerSet {
    /// The entry nodes in turn, so that a request that is sent again meets another one.
    fn entry(&self) -> SocketAddr {
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        self.entries[turn % self.entries.len()]
    }
}

#[derive(Clone, Copy)]
struct SurgePlan {
    start: f64,
    length: f64,
    factor: f64,
}

/// Offers the traffic and prints the table; fails if an invariant was broken.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let deployment: PathBuf = arguments::required(&mut arguments, "--deployment")?;
    let plan = DeploymentPlan::load(&deployment)?;
    let entries: String = arguments::required(&mut arguments, "--entries")?;
    let entries: Result<Vec<SocketAddr>, _> = entries.split(',').map(str::parse).collect();
    let entries = entries.map_err(|fault| format!("--entries: {fault}"))?;
    let facts: SocketAddr = arguments::required(&mut arguments, "--facts")?;
    let seconds: f64 = arguments::optional(&mut arguments, "--seconds", 20.0)?;
    let rate: f64 = arguments::optional(&mut arguments, "--rate", 100.0)?;
    let surge: String = arguments::optional(&mut arguments, "--surge", "0:0:1".to_owned())?;
    let seed = arguments::optional(&mut arguments, "--seed", 1)?;
    let only: String = arguments::optional(&mut arguments, "--only", String::new())?;
    let traffic = chosen_traffic(plan.traffic, &only);
    let upstreams: String = arguments::optional(&mut arguments, "--upstreams", String::new())?;
    let report_file: Option<PathBuf> = arguments
        .opt_value_from_str("--report")
        .map_err(|fault| fault.to_string())?;
    let callers = Rc::new(CallerSet {
        client: client(),
        entries,
        turn: Cell::new(0),
        keys: CallerKeys::default(),
        report: RefCell::new(TrafficReport::new(&traffic)),
    });
    let progress = actix_rt::spawn(show_progress(Rc::clone(&callers)));
    offer(&callers, &traffic, seconds, rate, surge_plan(&surge)?, seed).await;
    progress.abort();
    let runs = read_runs(&callers.client, facts).await?;
    let work = read_work(&callers, &upstreams).await?;
    let report = callers.report.borrow();
    print!("{}", report.table(&runs));
    if let Some(file) = report_file {
        arguments::replace_file(&file, &report.json(&runs, work))?;
    }
    Ok(if report.faults(&runs).is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// A client without a bound on connections: it stands for many callers, which do not wait for
/// each other.
fn client() -> Client {
    let connector = Connector::new().limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

fn surge_plan(text: &str) -> StandinResult<SurgePlan> {
    let parts: Result<Vec<f64>, _> = text.split(':').map(str::parse).collect();
    match parts.as_deref() {
        Ok([start, length, factor]) => Ok(SurgePlan {
            start: *start,
            length: *length,
            factor: *factor,
        }),
        _ => Err(format!(
            "--surge: found {text}, expected START:LENGTH:FACTOR"
        )),
    }
}

/// Starts requests at the rate, whether or not earlier ones have ended, and waits for all.
async fn offer(
    callers: &Rc<CallerSet>,
    traffic: &[TrafficPlan],
    seconds: f64,
    rate: f64,
    surge: SurgePlan,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut next = 0.0;
    let mut requests = Vec::new();
    let total: u32 = traffic.iter().map(|plan| plan.weight).sum();
    while next < seconds {
        let surging = next >= surge.start && next < surge.start + surge.length;
        let rate = if surging { rate * surge.factor } else { rate };
        next += -(1.0 - random.random::<f64>()).ln() / rate;
        actix_rt::time::sleep_until(started + Duration::from_secs_f64(next)).await;
        let kind = pick(traffic, random.random_range(0..total));
        let tag = format!("{seed:x}-{:016x}", random.random::<u64>());
        requests.push(actix_rt::spawn(request(
            Rc::clone(callers),
            traffic[kind].clone(),
            kind,
            tag,
        )));
    }
    for request in requests {
        let _ = request.await;
    }
}

fn pick(traffic: &[TrafficPlan], mut draw: u32) -> usize {
    for (kind, plan) in traffic.iter().enumerate() {
        if draw < plan.weight {
            return kind;
        }
        draw -= plan.weight;
    }
    0
}

async fn request(callers: Rc<CallerSet>, plan: TrafficPlan, kind: usize, tag: String) {
    callers.report.borrow_mut().offered(kind);
    let started = Instant::now();
    let time = Duration::from_millis(plan.timeout_ms);
    let deadline = started + time;
    let mut end = RequestEnd::Refused("none".to_owned());
    let mut key = None;
    for attempt in 0..TRIES_MAX {
        if attempt > 0 {
            actix_rt::time::sleep(TRY_PAUSE).await;
        }
        // In doubt a caller asks for the answer to what it sent before, with new patience.
        let in_doubt = !plan.idempotent && end.is_unknown();
        let left = deadline.saturating_duration_since(Instant::now());
        let left = if in_doubt { time } else { left };
        if !plan.idempotent && key.is_none() {
            key = callers
                .keys
                .next(&callers.client, callers.entry(), &tag)
                .await;
        }
        let trying = attempt_once(&callers, &plan, &tag, key.as_deref(), left);
        let latest = actix_rt::time::timeout(left + ANSWER_GRACE, trying).await;
        let latest = latest.unwrap_or_else(|_| RequestEnd::Unknown("caller-timeout".to_owned()));
        if in_doubt {
            let is_whole = latest == RequestEnd::Whole;
            callers.report.borrow_mut().resent(is_whole);
        }
        end = end.followed_by(latest);
        if matches!(end, RequestEnd::Refused(_))
            && let Some(key) = key.take()
        {
            callers.report.borrow_mut().given_up(key);
        }
        let in_doubt = !plan.idempotent && end.is_unknown();
        let is_late = Instant::now() >= deadline && !in_doubt;
        if is_late || !end.may_repeat(plan.idempotent) {
            break;
        }
    }
    let latency = started.elapsed();
    callers.report.borrow_mut().ended(kind, &tag, end, latency);
}

async fn attempt_once(
    callers: &CallerSet,
    plan: &TrafficPlan,
    tag: &str,
    key: Option<&str>,
    left: Duration,
) -> RequestEnd {
    let entry = callers.entry();
    let uri = format!("http://{entry}{}/{tag}", plan.path);
    let Ok(method) = awc::http::Method::from_bytes(plan.method.as_bytes()) else {
        return RequestEnd::Refused("method".to_owned());
    };
    let mut call = callers.client.request(method, uri);
    call = call.insert_header((headers::TIMEOUT_MS, left.as_millis().max(1).to_string()));
    if let Some(key) = key {
        call = call.insert_header((headers::IDEMPOTENCY_KEY, key));
    }
    let mut response = match call.send_body(tag.to_owned()).await {
        Ok(response) => response,
        Err(awc::error::SendRequestError::Connect(fault)) if is_refused(&fault) => {
            return RequestEnd::Refused("connect".to_owned());
        }
        Err(_) => return RequestEnd::Unknown("connection-lost".to_owned()),
    };
    let header = |name| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (header(headers::OUTCOME), header(headers::REASON));
    callers.keys.keep(header(headers::KEY_OFFER));
    let Ok(body) = response.body().limit(8 << 20).await else {
        return RequestEnd::Torn;
    };
    match outcome.as_str() {
        "ran" if response.status().is_success() => check(&body, &format!("{}/{tag}", plan.path)),
        "ran" => RequestEnd::Failed(response.status().as_u16()),
        "not-run" => RequestEnd::Refused(reason),
        _ => RequestEnd::Unknown(reason),
    }
}

/// Tells whether nothing was sent; the client calls a connection that ended early the same.
const fn is_refused(fault: &ConnectError) -> bool {
    !matches!(fault, ConnectError::Disconnected)
}

/// An answer is whole if it and every answer inside it belong to the request and are complete.
fn check(body: &[u8], path: &str) -> RequestEnd {
    fn is_whole(answer: &Value, path: &str) -> bool {
        let children = answer["children"].as_array();
        answer["path"] == path
            && answer["end"] == true
            && children.is_some_and(|children| children.iter().all(|child| is_whole(child, path)))
    }
    match serde_json::from_slice(body) {
        Ok(answer) if is_whole(&answer, path) => RequestEnd::Whole,
        _ => RequestEnd::Torn,
    }
}

async fn read_runs(client: &Client, facts: SocketAddr) -> StandinResult<BTreeMap<String, u64>> {
    read_json(client, format!("http://{facts}/standin/runs")).await
}

/// Reads a page of another stand-in.
async fn read_json<T: DeserializeOwned>(client: &Client, uri: String) -> StandinResult<T> {
    let sent = client.get(uri).send().await;
    let mut response = sent.map_err(|fault| fault.to_string())?;
    let body = response
        .body()
        .limit(64 << 20)
        .await
        .map_err(|fault| fault.to_string())?;
    serde_json::from_slice(&body).map_err(|fault| fault.to_string())
}

/// Traffic of the kinds that `only` names, separated by commas; all of it where none is named.
fn chosen_traffic(mut traffic: Vec<TrafficPlan>, only: &str) -> Vec<TrafficPlan> {
    if !only.is_empty() {
        traffic.retain(|plan| only.split(',').any(|name| name == plan.name));
    }
    traffic
}

/// Sums up what the upstreams at the addresses in `upstreams` spent on the offered requests.
async fn read_work(callers: &CallerSet, upstreams: &str) -> StandinResult<UpstreamWork> {
    let mut work = UpstreamWork::default();
    for upstream in upstreams.split(',').filter(|address| !address.is_empty()) {
        let uri = format!("http://{upstream}/standin/work");
        let tags: BTreeMap<String, TagWork> = read_json(&callers.client, uri).await?;
        let report = callers.report.borrow();
        for (tag, spent) in tags {
            work.runs += spent.runs;
            work.busy_us += spent.busy_us;
            work.wasted_us += if report.is_whole(&tag) {
                0
            } else {
                spent.busy_us
            };
        }
    }
    Ok(work)
}

async fn show_progress(callers: Rc<CallerSet>) {
    let started = Instant::now();
    loop {
        actix_rt::time::sleep(PROGRESS_PAUSE).await;
        let line = callers.report.borrow_mut().progress();
        println!("{:>4}s  {line}", started.elapsed().as_secs());
    }
}
