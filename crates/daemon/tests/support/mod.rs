//! Nodes on loopback, fake upstreams and an HTTP client for tests of whole nodes.

// Each test binary uses only part of this module.
#![allow(dead_code, unreachable_pub)]

pub mod stopped_clock;

use awc::Client;
use bytes::Bytes;
use lagoonshore_daemon::{
    distribution::platform_watch,
    node::{Node, SharedNode},
    node_process::{self, BoundAddresses},
};
use lagoonshore_settings::NodeSettings;
use lagoonshore_state::instance_table::{InstanceRecord, InstanceState};
use lagoonshore_transport::http_listener::{self, HttpRequest, HttpResponse, ListenerLimits};
use std::{future::Future, net::SocketAddr};

/// Loopback address whose port the system chooses.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// `TestNode` is a node with its listeners bound on loopback.
pub struct TestNode {
    /// State that the node's tasks share.
    pub node: SharedNode,
    /// Addresses of its listeners.
    pub addresses: BoundAddresses,
}

/// `TestResponse` is an HTTP response as a client received it.
#[derive(Debug)]
pub struct TestResponse {
    pub status: u16,
    /// `lagoonshore-outcome` header, empty if absent.
    pub outcome: String,
    /// `lagoonshore-reason` header, empty if absent.
    pub reason: String,
    /// Body, with invalid UTF-8 replaced.
    pub body: String,
}

/// Starts an upstream that responds through `handler` and returns its address.
pub async fn start_upstream<H, F>(handler: H) -> SocketAddr
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let listener = http_listener::listen("upstream", parse_address(ANY_PORT))
        .await
        .expect("a port is free");
    let bound = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(http_listener::serve(
        listener,
        ListenerLimits::default(),
        handler,
    ));
    bound
}

/// Starts a node beside `upstream` with `records` in force. Its platform address is closed.
pub async fn start_node(
    service: &str,
    zone: &str,
    upstream: SocketAddr,
    records: &[&str],
) -> TestNode {
    let text = format!(
        "{{instance: {service}-{zone}, service: {service}, zone: {zone}, region: marmara, \
         listen: {{inbound: \"{ANY_PORT}\", outbound: \"{ANY_PORT}\", peer: \"{ANY_PORT}\", \
         admin: \"{ANY_PORT}\"}}, upstream: {{address: \"{upstream}\"}}, \
         platform: [\"127.0.0.1:1\"]}}"
    );
    let settings = NodeSettings::parse(&text).expect("valid settings");
    let node = Node::new(settings).expect("the system provides random numbers");
    for record in records {
        let policy =
            lagoonshore_protocol::record::parse(record.as_bytes()).expect("a valid record");
        platform_watch::offer(&node, &policy.service, record.as_bytes());
    }
    let addresses = node_process::open_listeners(&node)
        .await
        .expect("ports are free");
    TestNode { node, addresses }
}

/// Adds `instance` as live to the instance table of `node`.
pub fn add_instance(node: &TestNode, instance: &TestNode) {
    let settings = &instance.node.settings;
    let record = InstanceRecord {
        name: settings.instance.clone(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer: instance.addresses.peer,
        state: InstanceState::Live,
    };
    node.node.instances.borrow_mut().upsert(record);
}

/// Sends a request to a listener and reads the whole response. The client sets no timeout.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> TestResponse {
    let method = method.parse().expect("a valid method");
    let client = Client::builder().disable_timeout().finish();
    let mut call = client.request(method, format!("http://{address}{path}"));
    for header in headers {
        call = call.insert_header(*header);
    }
    let mut response = call
        .send_body(body.to_owned())
        .await
        .expect("the node responds");
    let header = |name| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (header("lagoonshore-outcome"), header("lagoonshore-reason"));
    let status = response.status().as_u16();
    let body = response.body().await.expect("a complete body");
    let body = String::from_utf8_lossy(&body).into_owned();
    TestResponse {
        status,
        outcome,
        reason,
        body,
    }
}

/// Returns a response with status 200 and the given body.
pub fn ok_response(body: &str) -> HttpResponse {
    let body = Bytes::copy_from_slice(body.as_bytes());
    HttpResponse {
        status: 200,
        headers: Vec::new(),
        body,
    }
}

/// Polls `condition` every 5 ms until it holds. There is no timeout.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

pub fn parse_address(text: &str) -> SocketAddr {
    text.parse().expect("a valid address")
}
