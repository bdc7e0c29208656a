//! A small fleet on loopback: nodes in this process, upstreams that answer as a test says.

// Each test file uses its own part of the support.
#![allow(dead_code)]

pub(crate) mod upstream;

use actix_rt::net::TcpStream;
use compact_str::CompactString;
use lagoonshore_relay::{
    directory::DocumentSource, header_scheme::HeaderScheme, http1::exchange::SentRequest,
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
    origin_service: "origin-service",
    call_separator: '.',
};

/// A node with its upstream.
pub(crate) struct FleetMember {
    pub node: Rc<RelayNode>,
    pub listen: RelayListenSettings,
    pub upstream: StandInUpstream,
    pub name: CompactString,
    pub zone: CompactString,
    pub service: CompactString,
}

/// Nodes that know each other.
pub(crate) struct TestFleet {
    pub members: Vec<FleetMember>,
    revision: u64,
}

impl TestFleet {
    /// Starts a node for each pair of service and zone, at addresses that no other fleet uses: all
    /// nodes listen for each other at the same port.
    pub(crate) async fn start(places: &[(&str, &str)]) -> Self {
        let mut members: Vec<FleetMember> = Vec::new();
        let net = own_net();
        for (index, (service, zone)) in places.iter().enumerate() {
            let ip = format!("{net}.{}", index + 1);
            let upstream = StandInUpstream::start(&ip).await;
            let settings = settings(&ip, service, zone, upstream.address);
            let node = RelayNode::new(settings, SCHEME).expect("random numbers");
            let listen = node.open().await.expect("free addresses");
            members.push(FleetMember {
                node,
                listen,
                upstream,
                name: format!("u{index}").into(),
                zone: (*zone).into(),
                service: (*service).into(),
            });
        }
        let mut fleet = Self {
            members,
            revision: 10,
        };
        fleet.list_all();
        fleet
    }

    /// Lists all upstreams at all nodes.
    pub(crate) fn list_all(&mut self) {
        for index in 0..self.members.len() {
            self.list(index, InstanceState::Live);
        }
        for member in &self.members {
            member.node.directory.mark_list_read();
        }
    }

    /// Lists one upstream at all nodes.
    pub(crate) fn list(&mut self, index: usize, state: InstanceState) {
        self.revision += 1;
        let listed = &self.members[index];
        let record = UpstreamRecord {
            name: listed.name.clone(),
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            address: listed.upstream.address,
            slots: listed.upstream.slots,
            state,
            revision: self.revision,
        };
        for member in &self.members {
            member.node.directory.upsert_upstream(record.clone());
        }
    }

    /// Sends a request to the node of the first member.
    pub(crate) async fn ask(&self, method: &str, path: &str, id: &str) -> CallerAnswer {
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
        version,
        routes: routes.to_vec(),
        services: services.collect(),
        limits: CallerLimits {
            body_bytes: 64 * 1024,
            ..CallerLimits::default()
        },
    }
}

/// A route of host `h`.
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
    }
}

/// Two zones; service `a` has an upstream in each, service `b` one in the second.
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

/// Port at which nodes listen for each other; below the ports that the system gives out.
const PEER_PORT: u16 = 7600;

/// First three parts of addresses that only one fleet uses.
fn own_net() -> String {
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

/// An answer as a caller reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerAnswer {
    pub status: u16,
    pub fields: String,
    pub body: String,
}

/// Sends a request on a connection of its own.
pub(crate) async fn ask(
    door: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    more: &str,
) -> CallerAnswer {
    let stream = TcpStream::connect(door).await.expect("an open door");
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nTime-Limit-Ms: 3000\r\n{more}\r\n"
    );
    let request = SentRequest {
        head: head.into(),
        body: bytes::Bytes::new(),
        id: None,
        is_head: false,
    };
    let answer = lagoonshore_relay::http1::exchange::run(&stream, request, &SCHEME)
        .await
        .expect("a whole answer");
    CallerAnswer {
        status: answer.head.status,
        fields: String::from_utf8_lossy(&answer.head.fields).into_owned(),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

/// Sends bytes on one connection and reads all that comes until the node closes it.
pub(crate) async fn ask_raw(door: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(door).await.expect("an open door");
    stream.write_all(bytes).await.expect("sent");
    let mut answer = Vec::new();
    // A reset ends the answer like a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until `is_so` holds; the test runner bounds the time.
pub(crate) async fn until(is_so: impl Fn() -> bool) {
    while !is_so() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}
