//! Stand-in for callers: offers traffic at a rate, retries what a caller may retry, and checks every
//! response.

use crate::{
    arguments::{self, StandinResult},
    caller_keys::CallerKeys,
    deployment::{DeploymentPlan, TrafficPlan},
    report::{RequestOutcome, TrafficReport, UpstreamWork},
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

/// Largest number of attempts of one request, the first included. Callers retry every retryable
/// outcome, without a budget.
const ATTEMPTS_MAX: u32 = 3;
/// Delay before each retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time beyond the request's timeout that a caller waits, so that a refusal which a node sends at
/// the timeout still arrives.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);
/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

struct CallerSet {
    client: Client,
    entries: Vec<SocketAddr>,
    entry_index: Cell<usize>,
    keys: CallerKeys,
    report: RefCell<TrafficReport>,
}

impl CallerSet {
    /// Returns the entry nodes round-robin, so that a retry goes to another node.
    fn next_entry(&self) -> SocketAddr {
        let index = self.entry_index.get();
        self.entry_index.set(index + 1);
        self.entries[index % self.entries.len()]
    }
}

#[derive(Clone, Copy)]
struct SurgePlan {
    start: f64,
    length: f64,
    factor: f64,
}

/// Offers the traffic and prints the table; the exit code is a failure if an invariant was violated.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let deployment: PathBuf = arguments::parse_required(&mut arguments, "--deployment")?;
    let plan = DeploymentPlan::load(&deployment)?;
    let entries: String = arguments::parse_required(&mut arguments, "--entries")?;
    let entries: Result<Vec<SocketAddr>, _> = entries.split(',').map(str::parse).collect();
    let entries = entries.map_err(|error| format!("--entries: {error}"))?;
    let run_counter: SocketAddr = arguments::parse_required(&mut arguments, "--facts")?;
    let seconds: f64 = arguments::parse_optional(&mut arguments, "--seconds", 20.0)?;
    let rate: f64 = arguments::parse_optional(&mut arguments, "--rate", 100.0)?;
    let surge: String = arguments::parse_optional(&mut arguments, "--surge", "0:0:1".to_owned())?;
    let seed = arguments::parse_optional(&mut arguments, "--seed", 1)?;
    let only: String = arguments::parse_optional(&mut arguments, "--only", String::new())?;
    let traffic = filter_traffic(plan.traffic, &only);
    let upstreams: String =
        arguments::parse_optional(&mut arguments, "--upstreams", String::new())?;
    let report_file: Option<PathBuf> = arguments
        .opt_value_from_str("--report")
        .map_err(|error| error.to_string())?;
    let callers = Rc::new(CallerSet {
        client: build_client(),
        entries,
        entry_index: Cell::new(0),
        keys: CallerKeys::default(),
        report: RefCell::new(TrafficReport::new(&traffic)),
    });
    let progress = actix_rt::spawn(show_progress(Rc::clone(&callers)));
    offer_traffic(
        &callers,
        &traffic,
        seconds,
        rate,
        parse_surge(&surge)?,
        seed,
    )
    .await;
    progress.abort();
    let run_counts = read_run_counts(&callers.client, run_counter).await?;
    let work = read_work(&callers, &upstreams).await?;
    let report = callers.report.borrow();
    print!("{}", report.render_table(&run_counts));
    if let Some(file) = report_file {
        arguments::replace_file(&file, &report.to_json(&run_counts, work))?;
    }
    Ok(if report.find_violations(&run_counts).is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Builds a client without a limit on connections: it stands for many callers, which do not wait
/// for each other's connections.
fn build_client() -> Client {
    let connector = Connector::new().limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

fn parse_surge(text: &str) -> StandinResult<SurgePlan> {
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

/// Starts requests as a Poisson process of the given rate, whether or not earlier ones have
/// finished (open loop), and then waits for all of them.
async fn offer_traffic(
    callers: &Rc<CallerSet>,
    traffic: &[TrafficPlan],
    seconds: f64,
    rate: f64,
    surge: SurgePlan,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut next = 0.0;
    let mut requests = Vec::new();
    let total: u32 = traffic.iter().map(|plan| plan.weight).sum();
    while next < seconds {
        let is_surge = next >= surge.start && next < surge.start + surge.length;
        let rate = if is_surge { rate * surge.factor } else { rate };
        next += -(1.0 - random.random::<f64>()).ln() / rate;
        actix_rt::time::sleep_until(started_at + Duration::from_secs_f64(next)).await;
        let kind = pick_kind(traffic, random.random_range(0..total));
        let tag = format!("{seed:x}-{:016x}", random.random::<u64>());
        requests.push(actix_rt::spawn(send_request(
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

fn pick_kind(traffic: &[TrafficPlan], mut draw: u32) -> usize {
    for (kind, plan) in traffic.iter().enumerate() {
        if draw < plan.weight {
            return kind;
        }
        draw -= plan.weight;
    }
    0
}

async fn send_request(callers: Rc<CallerSet>, plan: TrafficPlan, kind: usize, tag: String) {
    callers.report.borrow_mut().record_offer(kind);
    let started_at = Instant::now();
    let timeout = Duration::from_millis(plan.timeout_ms);
    let deadline = started_at + timeout;
    let mut outcome = RequestOutcome::Refused("none".to_owned());
    let mut key = None;
    for attempt in 0..ATTEMPTS_MAX {
        if attempt > 0 {
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        // After an unknown outcome the caller retries under the same key to get the response of the
        // first run, with the full timeout again.
        let is_key_retry = !plan.idempotent && outcome.is_unknown();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining = if is_key_retry { timeout } else { remaining };
        if !plan.idempotent && key.is_none() {
            key = callers
                .keys
                .next_key(&callers.client, callers.next_entry(), &tag)
                .await;
        }
        let response = send_attempt(&callers, &plan, &tag, key.as_deref(), remaining);
        let latest = actix_rt::time::timeout(remaining + RESPONSE_GRACE, response).await;
        let latest =
            latest.unwrap_or_else(|_| RequestOutcome::Unknown("caller-timeout".to_owned()));
        if is_key_retry {
            let is_whole = latest == RequestOutcome::Whole;
            callers.report.borrow_mut().record_key_retry(is_whole);
        }
        outcome = outcome.combine_with(latest);
        if matches!(outcome, RequestOutcome::Refused(_))
            && let Some(key) = key.take()
        {
            callers.report.borrow_mut().record_not_run(key);
        }
        let is_key_retry = !plan.idempotent && outcome.is_unknown();
        let is_late = Instant::now() >= deadline && !is_key_retry;
        if is_late || !outcome.can_retry(plan.idempotent) {
            break;
        }
    }
    let latency = started_at.elapsed();
    callers
        .report
        .borrow_mut()
        .record_outcome(kind, &tag, outcome, latency);
}

async fn send_attempt(
    callers: &CallerSet,
    plan: &TrafficPlan,
    tag: &str,
    key: Option<&str>,
    remaining: Duration,
) -> RequestOutcome {
    let entry = callers.next_entry();
    let uri = format!("http://{entry}{}/{tag}", plan.path);
    let Ok(method) = awc::http::Method::from_bytes(plan.method.as_bytes()) else {
        return RequestOutcome::Refused("method".to_owned());
    };
    let mut call = callers.client.request(method, uri);
    call = call.insert_header((
        headers::TIMEOUT_MS,
        remaining.as_millis().max(1).to_string(),
    ));
    if let Some(key) = key {
        call = call.insert_header((headers::IDEMPOTENCY_KEY, key));
    }
    let mut response = match call.send_body(tag.to_owned()).await {
        Ok(response) => response,
        Err(awc::error::SendRequestError::Connect(error)) if is_unsent(&error) => {
            return RequestOutcome::Refused("connect".to_owned());
        }
        Err(_) => return RequestOutcome::Unknown("connection-lost".to_owned()),
    };
    let header = |name| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (header(headers::OUTCOME), header(headers::REASON));
    callers.keys.store_offer(header(headers::KEY_OFFER));
    let Ok(body) = response.body().limit(8 << 20).await else {
        return RequestOutcome::Torn;
    };
    match outcome.as_str() {
        "ran" if response.status().is_success() => verify(&body, &format!("{}/{tag}", plan.path)),
        "ran" => RequestOutcome::Failed(response.status().as_u16()),
        "not-run" => RequestOutcome::Refused(reason),
        _ => RequestOutcome::Unknown(reason),
    }
}

/// Returns whether the connection failed before anything was sent. The client reports a connection
/// that ended during the request as a connect error as well, as `Disconnected`.
const fn is_unsent(error: &ConnectError) -> bool {
    !matches!(error, ConnectError::Disconnected)
}

/// A response is whole if it and every response nested in it have the path of the request and are
/// complete.
fn verify(body: &[u8], path: &str) -> RequestOutcome {
    fn is_whole(response: &Value, path: &str) -> bool {
        let children = response["children"].as_array();
        response["path"] == path
            && response["end"] == true
            && children.is_some_and(|children| children.iter().all(|child| is_whole(child, path)))
    }
    match serde_json::from_slice(body) {
        Ok(response) if is_whole(&response, path) => RequestOutcome::Whole,
        _ => RequestOutcome::Torn,
    }
}

async fn read_run_counts(
    client: &Client,
    run_counter: SocketAddr,
) -> StandinResult<BTreeMap<String, u64>> {
    read_json(client, format!("http://{run_counter}/standin/runs")).await
}

/// Fetches JSON from another stand-in.
async fn read_json<T: DeserializeOwned>(client: &Client, uri: String) -> StandinResult<T> {
    let sent = client.get(uri).send().await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let body = response
        .body()
        .limit(64 << 20)
        .await
        .map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Keeps the traffic kinds that the comma-separated list `only` names; all of them if it is empty.
fn filter_traffic(mut traffic: Vec<TrafficPlan>, only: &str) -> Vec<TrafficPlan> {
    if !only.is_empty() {
        traffic.retain(|plan| only.split(',').any(|name| name == plan.name));
    }
    traffic
}

/// Sums the work that the upstreams at the comma-separated addresses report for the offered
/// requests. Work on a request whose caller got no whole response counts as wasted.
async fn read_work(callers: &CallerSet, upstreams: &str) -> StandinResult<UpstreamWork> {
    let mut work = UpstreamWork::default();
    for upstream in upstreams.split(',').filter(|address| !address.is_empty()) {
        let uri = format!("http://{upstream}/standin/work");
        let tags: BTreeMap<String, TagWork> = read_json(&callers.client, uri).await?;
        let report = callers.report.borrow();
        for (tag, tag_work) in tags {
            work.runs += tag_work.runs;
            work.busy_us += tag_work.busy_us;
            work.wasted_us += if report.is_whole(&tag) {
                0
            } else {
                tag_work.busy_us
            };
        }
    }
    Ok(work)
}

async fn show_progress(callers: Rc<CallerSet>) {
    let started_at = Instant::now();
    loop {
        actix_rt::time::sleep(PROGRESS_INTERVAL).await;
        let line = callers.report.borrow_mut().take_progress();
        println!("{:>4}s  {line}", started_at.elapsed().as_secs());
    }
}
