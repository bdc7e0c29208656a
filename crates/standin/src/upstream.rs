//! Stand-in for an upstream: waits for the work time of the route, calls the services of the route,
//! and answers with their responses nested in its own.

use crate::{
    arguments::{self, StandinResult, read_fault},
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

/// Limit on connections.
const CONNECTIONS_MAX: u32 = 4096;
/// Path prefix of poison requests, which crash the process that runs them.
const POISON_PATH: &str = "/poison";
/// Exit code of a process that ran a poison request.
const POISON_EXIT: i32 = 86;
/// Largest response body of a called service, in bytes.
const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// `TagWork` is the work of one upstream on the request with one tag.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct TagWork {
    /// Times that the request ran.
    pub runs: u64,
    /// Time worked on it, in microseconds, without the time of called services.
    pub busy_us: u64,
}

struct StandinUpstream {
    plan: ServicePlan,
    instance: String,
    outbound: PathBuf,
    run_counter: SocketAddr,
    faults: Option<PathBuf>,
    slots: Semaphore,
    client: Client,
    work: RefCell<BTreeMap<String, TagWork>>,
}

/// Runs the stand-in until the process ends.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let deployment: PathBuf = arguments::parse_required(&mut arguments, "--deployment")?;
    let service: String = arguments::parse_required(&mut arguments, "--service")?;
    let plan = DeploymentPlan::load(&deployment)?;
    let plan = plan
        .find_service(&service)
        .ok_or_else(|| format!("no service {service}"))?
        .clone();
    let ready: PathBuf = arguments::parse_required(&mut arguments, "--ready")?;
    let listen = arguments::parse_optional(&mut arguments, "--listen", ([127, 0, 0, 1], 0).into())?;
    let upstream = Rc::new(StandinUpstream {
        slots: Semaphore::new(plan.slots),
        plan,
        instance: arguments::parse_required(&mut arguments, "--instance")?,
        outbound: arguments::parse_required(&mut arguments, "--outbound")?,
        run_counter: arguments::parse_required(&mut arguments, "--facts")?,
        faults: arguments
            .opt_value_from_str("--faults")
            .map_err(|error| error.to_string())?,
        client: Client::builder().disable_timeout().finish(),
        work: RefCell::default(),
    });
    let listener = arguments::listen(listen, &ready).await?;
    let limits = ListenerLimits {
        connections: Rc::new(Cell::new(CONNECTIONS_MAX)),
        ..ListenerLimits::default()
    };
    http_listener::serve(listener, limits, move |request| {
        handle_request(Rc::clone(&upstream), request)
    })
    .await;
    Ok(ExitCode::SUCCESS)
}

async fn handle_request(upstream: Rc<StandinUpstream>, request: HttpRequest) -> HttpResponse {
    if request.path == "/health" {
        return respond(200, Bytes::from_static(b"ok"));
    }
    if request.path == "/standin/work" {
        return respond(200, json!(upstream.work.take()).to_string().into());
    }
    if request.path.starts_with(POISON_PATH) {
        crash(&upstream, &request).await;
    }
    let Some(route) = upstream.plan.find_route(&request.method, &request.path) else {
        return respond(404, Bytes::from_static(b"no such route"));
    };
    let Ok(slot) = upstream.slots.acquire().await else {
        return respond(503, Bytes::new());
    };
    if let Some(key) = headers::find(&request.headers, headers::IDEMPOTENCY_KEY)
        && !report_run(&upstream, key).await
    {
        return respond(500, Bytes::from_static(b"the tally cannot be reached"));
    }
    do_work(&upstream, route, &request.path).await;
    let response = call_services(&upstream, route, &request).await;
    drop(slot);
    response
}

/// Sleeps for the work time of the route. If the request is cancelled, the time until then counts.
async fn do_work(upstream: &StandinUpstream, route: &RoutePlan, path: &str) {
    let tag = path.rsplit('/').next().unwrap_or_default();
    let timer = WorkTimer {
        upstream,
        tag,
        started_at: Instant::now(),
    };
    actix_rt::time::sleep(work_time(upstream, route)).await;
    drop(timer);
}

struct WorkTimer<'a> {
    upstream: &'a StandinUpstream,
    tag: &'a str,
    started_at: Instant,
}

impl Drop for WorkTimer<'_> {
    fn drop(&mut self) {
        let mut work = self.upstream.work.borrow_mut();
        let tag_work = work.entry(self.tag.to_owned()).or_default();
        tag_work.runs += 1;
        tag_work.busy_us +=
            u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    }
}

/// Reports the run, then exits the process, which drops all its connections.
async fn crash(upstream: &StandinUpstream, request: &HttpRequest) {
    let run = format!("{}@{}", request.path, upstream.instance);
    report_run(upstream, &run).await;
    std::process::exit(POISON_EXIT);
}

fn work_time(upstream: &StandinUpstream, route: &RoutePlan) -> Duration {
    let factor = read_fault(upstream.faults.as_deref(), "slow");
    route
        .work_time()
        .mul_f64(factor.and_then(|text| text.parse().ok()).unwrap_or(1.0))
}

/// Reports a run before its work starts. The platform stand-in keeps the count, so that a crash of
/// this process does not lose it. Returns false if it cannot be reached.
async fn report_run(upstream: &StandinUpstream, key: &str) -> bool {
    let uri = format!("http://{}/standin/runs", upstream.run_counter);
    let run = format!("{} {key}", upstream.plan.name);
    upstream.client.post(uri).send_body(run).await.is_ok()
}

async fn call_services(
    upstream: &StandinUpstream,
    route: &RoutePlan,
    request: &HttpRequest,
) -> HttpResponse {
    let mut children = Vec::new();
    for service in &route.calls {
        match call_service(upstream, service, request).await {
            Ok(child) => children.push(child),
            Err(cause) => {
                let body = json!({ "service": upstream.plan.name, "failed": cause });
                return respond(502, body.to_string().into());
            }
        }
    }
    let body = json!({
        "service": upstream.plan.name, "instance": upstream.instance, "path": request.path,
        "children": children, "end": true,
    });
    respond(200, body.to_string().into())
}

/// Calls a service through the node's outbound listener. `Err` is the reason why there is no response
/// with a success status.
async fn call_service(
    upstream: &StandinUpstream,
    service: &str,
    request: &HttpRequest,
) -> Result<Value, String> {
    let outbound =
        std::fs::read_to_string(&upstream.outbound).map_err(|error| error.to_string())?;
    let uri = format!("http://{}{}", outbound.trim(), request.path);
    let method = awc::http::Method::from_bytes(request.method.as_bytes());
    let mut outgoing = upstream
        .client
        .request(method.map_err(|error| error.to_string())?, uri);
    outgoing = outgoing.insert_header(("host", service));
    for name in [headers::CALL, headers::IDEMPOTENCY_KEY] {
        if let Some(value) = headers::find(&request.headers, name) {
            outgoing = outgoing.insert_header((name, value));
        }
    }
    let sent = outgoing
        .send_body(request.body.clone().unwrap_or_default())
        .await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let body = response
        .body()
        .limit(RESPONSE_BYTES_MAX)
        .await
        .map_err(|error| error.to_string())?;
    if response.status().is_success() {
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    } else {
        Err(format!("{service}: {}", response.status()))
    }
}

fn respond(status: u16, body: Bytes) -> HttpResponse {
    let headers = vec![HeaderField::new("content-type", "application/json")];
    HttpResponse {
        status,
        headers,
        body,
    }
}
