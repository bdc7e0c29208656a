//! The platform's stand-in: serves the files of a folder as Consul would, and counts every call.
//! Beside that it takes the tally of runs by key, which outlives the upstreams.

use crate::arguments::{self, StandinResult, fault_line};

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

/// Pause between two looks at the folder.
const POLL_PAUSE: Duration = Duration::from_millis(50);
/// Bound on connections; every node keeps several watches open.
const CONNECTIONS_MAX: u32 = 16_384;

#[derive(Default)]
struct PlatformTable {
    files: RefCell<BTreeMap<String, (u64, Vec<u8>)>>,
    index: Cell<u64>,
    calls: Cell<u64>,
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
    let fleet: PathBuf = arguments::required(&mut arguments, "--fleet")?;
    let ready: PathBuf = arguments::required(&mut arguments, "--ready")?;
    let listen = arguments::optional(&mut arguments, "--listen", ([127, 0, 0, 1], 0).into())?;
    let listener = arguments::listen(listen, &ready).await?;
    let table = Rc::new(PlatformTable::default());
    actix_rt::spawn(poll(Rc::clone(&table), fleet.clone()));
    let limits = ListenerLimits {
        connections: Rc::new(Cell::new(CONNECTIONS_MAX)),
        ..ListenerLimits::default()
    };
    let handler = move |request| answer(Rc::clone(&table), fleet.clone(), request);
    http_listener::serve(listener, limits, handler).await;
    Ok(ExitCode::SUCCESS)
}

async fn poll(table: Rc<PlatformTable>, fleet: PathBuf) {
    loop {
        if fault_line(Some(&fleet.join("faults")), "stale").is_none() {
            refresh(&table, &fleet);
        }
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
}

fn refresh(table: &PlatformTable, fleet: &Path) {
    let mut found = BTreeMap::new();
    for (folder, ending) in [("records", "yaml"), ("instances", "json")] {
        let Ok(entries) = std::fs::read_dir(fleet.join(folder)) else {
            continue;
        };
        for path in entries.flatten().map(|entry| entry.path()) {
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            if path.extension().is_some_and(|found| found == ending)
                && let Ok(bytes) = std::fs::read(&path)
            {
                found.insert(format!("{folder}/{name}"), bytes);
            }
        }
    }
    let mut files = table.files.borrow_mut();
    let gone = files.keys().any(|name| !found.contains_key(name));
    files.retain(|name, _| found.contains_key(name));
    let mut changed = gone;
    for (name, bytes) in found {
        if files.get(&name).is_none_or(|(_, held)| *held != bytes) {
            files.insert(name, (table.index.get() + 1, bytes));
            changed = true;
        }
    }
    if changed {
        table.index.set(table.index.get() + 1);
    }
}

async fn answer(table: Rc<PlatformTable>, fleet: PathBuf, request: HttpRequest) -> HttpResponse {
    if request.path.starts_with("/standin/") {
        return tally(&table, &request);
    }
    table.calls.set(table.calls.get() + 1);
    let faults = fleet.join("faults");
    if fault_line(Some(&faults), "down").is_some() {
        return plain(503, Bytes::from_static(b"down"));
    }
    if let Some(millis) = fault_line(Some(&faults), "slow").and_then(|text| text.parse().ok()) {
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let (after, wait) = watch_of(query);
    let deadline = Instant::now() + wait;
    loop {
        let (index, body) = read(&table, path);
        if index > after || Instant::now() >= deadline {
            return watched(index.max(after), body);
        }
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
}

fn watch_of(query: &str) -> (u64, Duration) {
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

/// Index and body of a path; no body where there is nothing.
fn read(table: &PlatformTable, path: &str) -> (u64, Option<Vec<u8>>) {
    let files = table.files.borrow();
    if let Some(name) = path.strip_prefix("/v1/kv/lagoonshore/records/") {
        let Some((index, bytes)) = files.get(&format!("records/{name}")) else {
            return (table.index.get(), None);
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
    let entries: Vec<_> = files.iter().map(entry).collect();
    (
        index,
        Some(serde_json::Value::from(entries).to_string().into_bytes()),
    )
}

fn entry(file: &InstanceFile) -> serde_json::Value {
    json!({
        "Node": { "Datacenter": file.region },
        "Service": {
            "ID": file.id, "Service": file.service, "Address": file.address, "Port": file.port,
            "Meta": { "zone": file.zone, "inbound": file.inbound, "state": file.state },
        },
    })
}

fn watched(index: u64, body: Option<Vec<u8>>) -> HttpResponse {
    let status = if body.is_some() { 200 } else { 404 };
    let mut answer = plain(status, body.unwrap_or_default().into());
    let header =
        lagoonshore_protocol::headers::HeaderField::new("x-consul-index", &index.to_string());
    answer.headers.push(header);
    answer
}

fn tally(table: &PlatformTable, request: &HttpRequest) -> HttpResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/standin/runs") => {
            let body = request.body.clone().unwrap_or_default();
            let run = String::from_utf8_lossy(&body).into_owned();
            *table.runs.borrow_mut().entry(run).or_default() += 1;
            plain(200, Bytes::new())
        }
        ("GET", "/standin/runs") => plain(200, json!(*table.runs.borrow()).to_string().into()),
        ("GET", "/standin/calls") => plain(200, table.calls.get().to_string().into()),
        _ => plain(404, Bytes::new()),
    }
}

fn plain(status: u16, body: Bytes) -> HttpResponse {
    HttpResponse {
        status,
        headers: Vec::new(),
        body,
    }
}
