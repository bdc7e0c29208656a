//! An upstream's stand-in: works for the time its route says, calls on, and answers whole.

use crate::{
    arguments::{self, StandinResult, fault_line},
    deployment::{DeploymentPlan, RoutePlan, ServicePlan},
};

use awc::Client;
use bytes::Bytes;
use lagoonshore_protocol::headers::{self, HeaderField};
use lagoonshore_transport::http_listener::{self, HttpRequest, HttpResponse, ListenerLimits};
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Semaphore, time::Instant};

/// Bound on connections.
const CONNECTIONS_MAX: u32 = 4096;
/// Requests below this path end the process that runs them.
const POISON_PATH: &str = "/poison";
/// Exit code after such a request.
const POISON_EXIT: i32 = 86;
/// Largest answer of a called service.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// `TagWork` is what an upstream spent on the request with one tag.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct TagWork {
    /// Times that the request was run.
    pub runs: u64,
    /// Time worked on it, in microseconds; waiting for called services does not count.
    pub busy_us: u64,
}

struct StandinUpstream {
    plan: ServicePlan,
    instance: String,
    outbound: PathBuf,
    facts: SocketAddr,
    faults: Option<PathBuf>,
    slots: Semaphore,
    client: Client,
    work: RefCell<BTreeMap<String, TagWork>>,
}

/// Runs the stand-in until the process ends.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let deployment: PathBuf = arguments::required(&mut arguments, "--deployment")?;
    let service: String = arguments::required(&mut arguments, "--service")?;
    let plan = DeploymentPlan::load(&deployment)?;
    let plan = plan
        .service(&service)
        .ok_or_else(|| format!("no service {service}"))?
        .clone();
    let ready: PathBuf = arguments::required(&mut arguments, "--ready")?;
    let listen = arguments::optional(&mut arguments, "--listen", ([127, 0, 0, 1], 0).into())?;
    let upstream = Rc::new(StandinUpstream {
        slots: Semaphore::new(plan.slots),
        plan,
        instance: arguments::required(&mut arguments, "--instance")?,
        outbound: arguments::required(&mut arguments, "--outbound")?,
        facts: arguments::required(&mut arguments, "--facts")?,
        faults: arguments
            .opt_value_from_str("--faults")
            .map_err(|fault| fault.to_string())?,
        client: Client::builder().disable_timeout().finish(),
        work: RefCell::default(),
    });
    let listener = arguments::listen(listen, &ready).await?;
    let limits = ListenerLimits {
        connections: Rc::new(Cell::new(CONNECTIONS_MAX)),
        ..ListenerLimits::default()
    };
    http_listener::serve(listener, limits, move |request| {
        answer(Rc::clone(&upstream), request)
    })
    .await;
    Ok(ExitCode::SUCCESS)
}

async fn answer(upstream: Rc<StandinUpstream>, request: HttpRequest) -> HttpResponse {
    if request.path == "/health" {
        return plain(200, Bytes::from_static(b"ok"));
    }
    if request.path == "/standin/work" {
        return plain(200, json!(upstream.work.take()).to_string().into());
    }
    if request.path.starts_with(POISON_PATH) {
        crash(&upstream, &request).await;
    }
    let Some(route) = upstream.plan.route(&request.method, &request.path) else {
        return plain(404, Bytes::from_static(b"no such route"));
    };
    let Ok(slot) = upstream.slots.acquire().await else {
        return plain(503, Bytes::new());
    };
    if let Some(key) = headers::find(&request.headers, headers::IDEMPOTENCY_KEY)
        && !report_run(&upstream, key).await
    {
        return plain(500, Bytes::from_static(b"the tally cannot be reached"));
    }
    do_work(&upstream, route, &request.path).await;
    let answer = call_on(&upstream, route, &request).await;
    drop(slot);
    answer
}

/// Works for the time of the route; work that is cancelled counts up to then.
async fn do_work(upstream: &StandinUpstream, route: &RoutePlan, path: &str) {
    let tag = path.rsplit('/').next().unwrap_or_default();
    let meter = WorkMeter {
        upstream,
        tag,
        started: Instant::now(),
    };
    actix_rt::time::sleep(work(upstream, route)).await;
    drop(meter);
}

struct WorkMeter<'a> {
    upstream: &'a StandinUpstream,
    tag: &'a str,
    started: Instant,
}

impl Drop for WorkMeter<'_> {
    fn drop(&mut self) {
        let mut work = self.upstream.work.borrow_mut();
        let spent = work.entry(self.tag.to_owned()).or_default();
        spent.runs += 1;
        spent.busy_us += u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
    }
}

/// Counts the run, then ends the process with every connection it has.
async fn crash(upstream: &StandinUpstream, request: &HttpRequest) {
    let run = format!("{}@{}", request.path, upstream.instance);
    report_run(upstream, &run).await;
    std::process::exit(POISON_EXIT);
}

fn work(upstream: &StandinUpstream, route: &RoutePlan) -> Duration {
    let slow = fault_line(upstream.faults.as_deref(), "slow");
    route
        .work()
        .mul_f64(slow.and_then(|text| text.parse().ok()).unwrap_or(1.0))
}

/// Counts a run before its work starts; the count is kept where a crash does not lose it.
async fn report_run(upstream: &StandinUpstream, key: &str) -> bool {
    let uri = format!("http://{}/standin/runs", upstream.facts);
    let run = format!("{} {key}", upstream.plan.name);
    upstream.client.post(uri).send_body(run).await.is_ok()
}

async fn call_on(
    upstream: &StandinUpstream,
    route: &RoutePlan,
    request: &HttpRequest,
) -> HttpResponse {
    let mut children = Vec::new();
    for service in &route.calls {
        match call(upstream, service, request).await {
            Ok(child) => children.push(child),
            Err(cause) => {
                let body = json!({ "service": upstream.plan.name, "failed": cause });
                return plain(502, body.to_string().into());
            }
        }
    }
    let body = json!({
        "service": upstream.plan.name, "instance": upstream.instance, "path": request.path,
        "children": children, "end": true,
    });
    plain(200, body.to_string().into())
}

/// Calls a service through the node's outbound door; `Err` says why there is no good answer.
async fn call(
    upstream: &StandinUpstream,
    service: &str,
    request: &HttpRequest,
) -> Result<Value, String> {
    let outbound =
        std::fs::read_to_string(&upstream.outbound).map_err(|fault| fault.to_string())?;
    let uri = format!("http://{}{}", outbound.trim(), request.path);
    let method = awc::http::Method::from_bytes(request.method.as_bytes());
    let mut call = upstream
        .client
        .request(method.map_err(|fault| fault.to_string())?, uri);
    call = call.insert_header(("host", service));
    for name in [headers::CALL, headers::IDEMPOTENCY_KEY] {
        if let Some(value) = headers::find(&request.headers, name) {
            call = call.insert_header((name, value));
        }
    }
    let sent = call
        .send_body(request.body.clone().unwrap_or_default())
        .await;
    let mut response = sent.map_err(|fault| fault.to_string())?;
    let body = response
        .body()
        .limit(ANSWER_BYTES_MAX)
        .await
        .map_err(|fault| fault.to_string())?;
    if response.status().is_success() {
        serde_json::from_slice(&body).map_err(|fault| fault.to_string())
    } else {
        Err(format!("{service}: {}", response.status()))
    }
}

fn plain(status: u16, body: Bytes) -> HttpResponse {
    let headers = vec![HeaderField::new("content-type", "application/json")];
    HttpResponse {
        status,
        headers,
        body,
    }
}
