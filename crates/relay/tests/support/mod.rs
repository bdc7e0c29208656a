//! A small fleet on loopback: nodes in this process, with upstreams that behave as the test asks.

// Each test file is a crate of its own and uses only some of these items.
#![allow(dead_code)]

pub(crate) mod upstream;

use actix_rt::net::TcpStream;
use compact_str::CompactString;
use lagoonshore_coordination::forwarding::rate_limiter::LimitNotice;
use lagoonshore_relay::{
    directory::DocumentSource,
    header_scheme::HeaderScheme,
    http1::{
        exchange::{self, SentRequest},
        memory_budget::MemoryBudget,
    },
    node::RelayNode,
};
use lagoonshore_settings::{RelaySettings, relay_settings::RelayListenSettings};
use lagoonshore_state::{
    instance_table::InstanceState,
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTarget, ServiceEntry},
    units::RequestImportance,
    upstream_list::UpstreamRecord,
};
use std::{
    net::SocketAddr,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use upstream::StandInUpstream;

pub(crate) const SCHEME: HeaderScheme = HeaderScheme {
    request_id: "request-id",
    time_limit: "time-limit-ms",
    signature: "signature",
    not_run: "not-run",
    expected_instance: "expected-instance",
    own_instance: "own-instance",
    departure: "departure",
    rate_limit: "rate-limit",
    decode_rate_limit,
    origin_service: "origin-service",
    credentials: "authorization",
    key_scheme: "Bearer",
    account: "account",
    call_separator: '.',
};

fn decode_rate_limit(values: &[&[u8]]) -> LimitNotice {
    let Some(value) = values.first() else {
        return LimitNotice::Absent;
    };
    let text = String::from_utf8_lossy(value);
    text.trim()
        .parse()
        .map_or(LimitNotice::Invalid, LimitNotice::Named)
}

/// A node with its upstream.
pub(crate) struct FleetMember {
    pub node: Rc<RelayNode>,
    pub listen: RelayListenSettings,
    pub upstream: StandInUpstream,
    pub name: CompactString,
    pub zone: CompactString,
    pub service: CompactString,
    pub started_ms: Option<u64>,
}

/// Nodes that list each other's upstreams.
pub(crate) struct TestFleet {
    pub members: Vec<FleetMember>,
    revision: u64,
}

impl TestFleet {
    /// Starts a node for each pair of service and zone. Each fleet has its own addresses, because
    /// all nodes listen for peers at the same port.
    pub(crate) async fn start(places: &[(&str, &str)]) -> Self {
        Self::start_with_grace(places, Duration::from_secs(6)).await
    }

    /// Starts a fleet whose nodes stop within `grace`.
    pub(crate) async fn start_with_grace(places: &[(&str, &str)], grace: Duration) -> Self {
        let mut members: Vec<FleetMember> = Vec::new();
        let prefix = fleet_prefix();
        for (index, (service, zone)) in places.iter().enumerate() {
            let ip = format!("{prefix}.{}", index + 1);
            let upstream = StandInUpstream::start(&ip).await;
            let mut settings = settings(&ip, service, zone, upstream.address);
            settings.grace_time = grace;
            let node = RelayNode::new(settings, SCHEME).expect("random numbers");
            let listen = node.open().await.expect("free addresses");
            members.push(FleetMember {
                node,
                listen,
                upstream,
                name: format!("u{index}").into(),
                zone: (*zone).into(),
                service: (*service).into(),
                started_ms: Some(1),
            });
        }
        let mut fleet = Self {
            members,
            revision: 10,
        };
        fleet.list_all();
        fleet
    }

    /// Adds all upstreams to the upstream lists of all nodes.
    pub(crate) fn list_all(&mut self) {
        for index in 0..self.members.len() {
            self.list(index, InstanceState::Live);
        }
        for member in &self.members {
            member.node.directory.mark_list_read();
        }
    }

    /// Adds or updates one upstream in the upstream lists of all nodes.
    pub(crate) fn list(&mut self, index: usize, state: InstanceState) {
        self.revision += 1;
        let listed = &self.members[index];
        let record = UpstreamRecord {
            name: listed.name.clone(),
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            address: listed.upstream.address,
            slots: listed.upstream.slots,
            started_ms: listed.started_ms,
            state,
            revision: self.revision,
        };
        for member in &self.members {
            member.node.directory.upsert_upstream(record.clone());
        }
    }

    /// Sends a request to the node of the first member.
    pub(crate) async fn ask(&self, method: &str, path: &str, id: &str) -> CallerResponse {
        ask(self.members[0].listen.callers, method, path, id, "").await
    }

    /// Puts a document in force at all nodes.
    pub(crate) fn publish(&self, version: u64, routes: &[RouteEntry]) {
        for member in &self.members {
            let document = document(version, routes);
            member
                .node
                .directory
                .apply_document(document, DocumentSource::Store);
        }
    }
}

pub(crate) fn document(version: u64, routes: &[RouteEntry]) -> FleetDocument {
    let targets = routes.iter().flat_map(|route| &route.targets);
    let services = targets.map(|target| ServiceEntry {
        name: target.service.clone(),
        health_path: "/health".into(),
        connections: 100,
    });
    FleetDocument {
        accounts: None,
        version,
        routes: routes.to_vec(),
        services: services.collect(),
        limits: CallerLimits {
            body_bytes: 64 * 1024,
            ..CallerLimits::default()
        },
    }
}

/// A route of host `h` with one target, a timeout of 4 s and up to 3 attempts.
pub(crate) fn route(prefix: &str, service: &str, is_idempotent: bool) -> RouteEntry {
    RouteEntry {
        name: format!("r{}", prefix.replace('/', "-")).into(),
        host: "h".into(),
        prefix: prefix.into(),
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1,
        }],
        is_idempotent,
        timeout: Duration::from_secs(4),
        aim: Duration::from_secs(1),
        attempts: 3,
        importance: RequestImportance(1),
        is_anonymous: false,
    }
}

/// A fleet in two zones: service `a` has an upstream in each, service `b` has one in the second.
pub(crate) async fn two_zones() -> TestFleet {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2"), ("b", "z2")]).await;
    fleet.publish(
        1,
        &[
            route("/a/", "a", true),
            route("/once/", "a", false),
            route("/b/", "b", true),
            route("/b-once/", "b", false),
        ],
    );
    fleet
}

/// Largest response that a test receives, in bytes.
const RESPONSE_BYTES_MAX: usize = 1024 * 1024;
/// Port at which nodes listen for peers; below the range of ephemeral ports.
pub(crate) const PEER_PORT: u16 = 7600;

/// Returns the first three octets of loopback addresses that no other fleet uses.
fn fleet_prefix() -> String {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}", 20 + std::process::id() % 200, fleet % 250)
}

fn settings(ip: &str, service: &str, zone: &str, upstream: SocketAddr) -> RelaySettings {
    let text = format!(
        "node: n\nservice: {service}\nzone: {zone}\nregion: r\nlisten:\n  callers: {ip}:0\n  \
         ready: {ip}:0\n  peers: {ip}:{PEER_PORT}\n  admin: {ip}:0\nupstream: {upstream}\n\
         store: 127.0.0.1:1\nrepeats:\n  ratio: 0.2\n  slack: 48\n  window_seconds: 10\n\
         grace_seconds: 6\naddress_reuse_seconds: 2\nmemory_mib: 100\n"
    );
    RelaySettings::parse(&text).expect("good settings")
}

/// A response as received by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerResponse {
    pub status: u16,
    pub fields: String,
    pub body: String,
}

/// Sends a request on a new connection; `more` holds additional header fields.
pub(crate) async fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    more: &str,
) -> CallerResponse {
    let stream = TcpStream::connect(address).await.expect("an open listener");
    let response = exchange::run(
        &stream,
        caller_request(method, path, id, more),
        &SCHEME,
        MemoryBudget::new(RESPONSE_BYTES_MAX).share(),
    )
    .await
    .expect("a complete response");
    CallerResponse {
        status: response.head.status,
        fields: String::from_utf8_lossy(&response.head.fields).into_owned(),
        body: String::from_utf8_lossy(&response.body).into_owned(),
    }
}

/// Sends a request on `stream`; returns the status of its response, or `None` if there is none.
pub(crate) async fn send(stream: &TcpStream, method: &str, path: &str, id: &str) -> Option<u16> {
    let request = caller_request(method, path, id, "");
    let response = exchange::run(
        stream,
        request,
        &SCHEME,
        MemoryBudget::new(RESPONSE_BYTES_MAX).share(),
    )
    .await;
    response.ok().map(|response| response.head.status)
}

fn caller_request(method: &str, path: &str, id: &str, more: &str) -> SentRequest {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nTime-Limit-Ms: 3000\r\n{more}\r\n"
    );
    SentRequest {
        head: head.into(),
        body: bytes::Bytes::new(),
        id: None,
        is_head: false,
    }
}

/// Sends raw bytes on a new connection and reads until the node closes it.
pub(crate) async fn ask_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("an open listener");
    stream.write_all(bytes).await.expect("sent");
    let mut response = Vec::new();
    // A reset ends the response as a close does.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Polls `condition` until it holds; the test runner limits the time.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}
