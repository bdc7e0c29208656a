//! Stand-in for the platform: serves the files of a folder as Consul's HTTP API does, and counts
//! every call. It also counts the runs per idempotency key, because the upstreams that report them
//! may crash.

use crate::arguments::{self, StandinResult, read_fault};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use lagoonshore_transport::http_listener::{self, HttpRequest, HttpResponse, ListenerLimits};
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::json;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

/// Interval at which the folder is read and pending watches are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limit on connections; every node keeps several watches open.
const CONNECTIONS_MAX: u32 = 16_384;

#[derive(Default)]
struct StandinPlatform {
    files: RefCell<BTreeMap<String, (u64, Vec<u8>)>>,
    index: Cell<u64>,
    call_count: Cell<u64>,
    runs: RefCell<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct InstanceFile {
    id: String,
    service: String,
    address: String,
    port: u16,
    region: String,
    zone: String,
    inbound: String,
    state: String,
}

/// Runs the stand-in until the process ends.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let fleet: PathBuf = arguments::parse_required(&mut arguments, "--fleet")?;
    let ready: PathBuf = arguments::parse_required(&mut arguments, "--ready")?;
    let listen = arguments::parse_optional(&mut arguments, "--listen", ([127, 0, 0, 1], 0).into())?;
    let listener = arguments::listen(listen, &ready).await?;
    let platform = Rc::new(StandinPlatform::default());
    actix_rt::spawn(poll_folder(Rc::clone(&platform), fleet.clone()));
    let limits = ListenerLimits {
        connections: Rc::new(Cell::new(CONNECTIONS_MAX)),
        ..ListenerLimits::default()
    };
    let handler = move |request| handle_request(Rc::clone(&platform), fleet.clone(), request);
    http_listener::serve(listener, limits, handler).await;
    Ok(ExitCode::SUCCESS)
}

async fn poll_folder(platform: Rc<StandinPlatform>, fleet: PathBuf) {
    loop {
        if read_fault(Some(&fleet.join("faults")), "stale").is_none() {
            refresh_files(&platform, &fleet);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn refresh_files(platform: &StandinPlatform, fleet: &Path) {
    let mut found = BTreeMap::new();
    for (folder, extension) in [("records", "yaml"), ("instances", "json")] {
        let Ok(entries) = std::fs::read_dir(fleet.join(folder)) else {
            continue;
        };
        for path in entries.flatten().map(|entry| entry.path()) {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            if path.extension().is_some_and(|found| found == extension)
                && let Ok(bytes) = std::fs::read(&path)
            {
                found.insert(format!("{folder}/{name}"), bytes);
            }
        }
    }
    let mut files = platform.files.borrow_mut();
    let is_any_removed = files.keys().any(|name| !found.contains_key(name));
    files.retain(|name, _| found.contains_key(name));
    let mut is_changed = is_any_removed;
    for (name, bytes) in found {
        if files.get(&name).is_none_or(|(_, known)| *known != bytes) {
            files.insert(name, (platform.index.get() + 1, bytes));
            is_changed = true;
        }
    }
    if is_changed {
        platform.index.set(platform.index.get() + 1);
    }
}

async fn handle_request(
    platform: Rc<StandinPlatform>,
    fleet: PathBuf,
    request: HttpRequest,
) -> HttpResponse {
    if request.path.starts_with("/standin/") {
        return handle_standin_request(&platform, &request);
    }
    platform.call_count.set(platform.call_count.get() + 1);
    let faults = fleet.join("faults");
    if read_fault(Some(&faults), "down").is_some() {
        return respond(503, Bytes::from_static(b"down"));
    }
    if let Some(delay_ms) = read_fault(Some(&faults), "slow").and_then(|text| text.parse().ok()) {
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let (after, wait) = parse_watch(query);
    let deadline = Instant::now() + wait;
    loop {
        let (index, body) = read_path(&platform, path);
        if index > after || Instant::now() >= deadline {
            return respond_to_watch(index.max(after), body);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn parse_watch(query: &str) -> (u64, Duration) {
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(name, _)| *name == key)
            .map_or("", |(_, value)| value)
    };
    let seconds = value("wait").trim_end_matches('s').parse().unwrap_or(0);
    (
        value("index").parse().unwrap_or(0),
        Duration::from_secs(seconds),
    )
}

/// Returns the index and the body of a path; no body if there is no such record.
fn read_path(platform: &StandinPlatform, path: &str) -> (u64, Option<Vec<u8>>) {
    let files = platform.files.borrow();
    if let Some(name) = path.strip_prefix("/v1/kv/lagoonshore/records/") {
        let Some((index, bytes)) = files.get(&format!("records/{name}")) else {
            return (platform.index.get(), None);
        };
        let key = format!("lagoonshore/records/{name}");
        let value = json!([{ "Key": key, "Value": STANDARD.encode(bytes), "ModifyIndex": index }]);
        return (*index, Some(value.to_string().into_bytes()));
    }
    let service = path.strip_prefix("/v1/health/service/").unwrap_or_default();
    let listed = files
        .iter()
        .filter(|(name, _)| name.starts_with("instances/"));
    let parsed = listed.filter_map(|(_, (index, bytes))| {
        let file: InstanceFile = serde_json::from_slice(bytes).ok()?;
        (file.service == service).then_some((*index, file))
    });
    let (indices, files): (Vec<u64>, Vec<InstanceFile>) = parsed.unzip();
    let index = indices.into_iter().max().unwrap_or(0);
    let entries: Vec<_> = files.iter().map(health_entry).collect();
    (
        index,
        Some(serde_json::Value::from(entries).to_string().into_bytes()),
    )
}

fn health_entry(file: &InstanceFile) -> serde_json::Value {
    json!({
        "Node": { "Datacenter": file.region },
        "Service": {
            "ID": file.id, "Service": file.service, "Address": file.address, "Port": file.port,
            "Meta": { "zone": file.zone, "inbound": file.inbound, "state": file.state },
        },
    })
}

fn respond_to_watch(index: u64, body: Option<Vec<u8>>) -> HttpResponse {
    let status = if body.is_some() { 200 } else { 404 };
    let mut response = respond(status, body.unwrap_or_default().into());
    let header =
        lagoonshore_protocol::headers::HeaderField::new("x-consul-index", &index.to_string());
    response.headers.push(header);
    response
}

fn handle_standin_request(platform: &StandinPlatform, request: &HttpRequest) -> HttpResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/standin/runs") => {
            let body = request.body.clone().unwrap_or_default();
            let run = String::from_utf8_lossy(&body).into_owned();
            *platform.runs.borrow_mut().entry(run).or_default() += 1;
            respond(200, Bytes::new())
        }
        ("GET", "/standin/runs") => respond(200, json!(*platform.runs.borrow()).to_string().into()),
        ("GET", "/standin/calls") => respond(200, platform.call_count.get().to_string().into()),
        _ => respond(404, Bytes::new()),
    }
}

fn respond(status: u16, body: Bytes) -> HttpResponse {
    HttpResponse {
        status,
        headers: Vec::new(),
        body,
    }
}
