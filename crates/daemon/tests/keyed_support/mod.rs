//! Fakes for tests of requests that run at most once.

// Each test binary uses only part of this module.
#![allow(dead_code, unreachable_pub)]

use crate::support::{self, TestNode};

use actix_rt::net::{TcpListener, TcpStream};
use awc::Client;
use bytes::Bytes;
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallRequest, ExecutionKey, MessageStamp},
};
use lagoonshore_state::{
    instance_table::{InstanceRecord, InstanceState},
    units::{RequestImportance, TokenCount},
};
use lagoonshore_transport::http_listener::HttpRequest;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
    task::JoinHandle,
};

/// Policy record whose timeouts are longer than any test runs.
pub const RECORD: &str = "\
schema: 1
kind: service-policy
name: medication-log
revision: 1
spec:
  slots: 75
  connections: 550
  calls: []
  retries: { per_request: 2, ratio: 0.1 }
  classes:
    - { name: dose-entry, match: { method: POST, path: /doses/* }, importance: 0, idempotent: false, timeout: 60s, lane: short }
    - { name: day-view, match: { method: GET, path: /day/* }, importance: 3, idempotent: true, timeout: 60s, lane: short }
";

/// `CountingUpstream` counts the runs of each idempotency key and can hold runs by path.
#[derive(Clone)]
pub struct CountingUpstream {
    runs: Rc<watch::Sender<BTreeMap<String, u32>>>,
    held: Rc<watch::Sender<Vec<String>>>,
}

impl CountingUpstream {
    /// Creates an upstream that holds the runs of `held` paths until they are released.
    pub fn new(held: &[&str]) -> Self {
        let held = held.iter().map(|path| (*path).to_owned()).collect();
        Self {
            runs: Rc::new(watch::Sender::new(BTreeMap::new())),
            held: Rc::new(watch::Sender::new(held)),
        }
    }

    /// Starts a listener; several listeners of one upstream share its counts.
    pub async fn listen(&self) -> SocketAddr {
        let upstream = self.clone();
        support::start_upstream(move |request| upstream.clone().respond(request)).await
    }

    /// Lets held runs of `path` respond.
    pub fn release(&self, path: &str) {
        self.held
            .send_modify(|held| held.retain(|found| found != path));
    }

    /// Waits until at least `count` runs of all keys together have started.
    pub async fn wait_for_runs(&self, count: u32) {
        let mut runs = self.runs.subscribe();
        let reached = runs.wait_for(|runs| runs.values().sum::<u32>() >= count);
        reached.await.expect("the sender outlives the wait");
    }

    /// Runs started of each key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.runs.borrow().clone()
    }

    /// Asserts that each key ran at most once, and that `count` keys ran.
    pub fn assert_single_runs(&self, count: usize) {
        let runs = self.runs();
        assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
        assert_eq!(runs.len(), count, "{runs:?}");
    }

    async fn respond(
        self,
        request: HttpRequest,
    ) -> lagoonshore_transport::http_listener::HttpResponse {
        let key = headers::find(&request.headers, headers::IDEMPOTENCY_KEY);
        let key = key.unwrap_or("none").to_owned();
        let mut run = 0;
        self.runs.send_modify(|runs| {
            *runs.entry(key.clone()).or_default() += 1;
            run = runs[&key];
        });
        let mut held = self.held.subscribe();
        let is_released = |held: &Vec<String>| held.iter().all(|path| *path != request.path);
        let _ = held.wait_for(is_released).await;
        let body = request.body.unwrap_or_default();
        let body = String::from_utf8_lossy(&body);
        support::ok_response(&format!("{} {body} {key} run {run}", request.path))
    }
}

/// `TcpProxy` forwards TCP connections to a target; disconnecting it simulates a network partition.
pub struct TcpProxy {
    pub address: SocketAddr,
    disconnected: Rc<Cell<bool>>,
    connections: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl TcpProxy {
    /// Starts a proxy that forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(support::ANY_PORT)
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let disconnected = Rc::new(Cell::new(false));
        let connections = Rc::new(RefCell::new(Vec::new()));
        let (is_disconnected, tasks) = (Rc::clone(&disconnected), Rc::clone(&connections));
        actix_rt::spawn(async move {
            while let Ok((mut inbound, _)) = listener.accept().await {
                if is_disconnected.get() {
                    continue;
                }
                let task = actix_rt::spawn(async move {
                    if let Ok(mut outbound) = TcpStream::connect(target).await {
                        let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
                    }
                });
                tasks.borrow_mut().push(task);
            }
        });
        Self {
            address,
            disconnected,
            connections,
        }
    }

    /// Closes all connections, and each new one as soon as it is accepted.
    pub fn disconnect(&self) {
        self.disconnected.set(true);
        for task in self.connections.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// Forwards new connections again.
    pub fn reconnect(&self) {
        self.disconnected.set(false);
    }
}

/// `KeyedResponse` is the response to a keyed request as a caller received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedResponse {
    pub status: u16,
    /// Outcome and reason headers, separated by a space.
    pub outcome: String,
    pub body: Vec<u8>,
    /// Key that the node offers for the next request.
    pub offered_key: Option<String>,
}

impl KeyedResponse {
    /// Asserts status and outcome; `outcome` includes the reason, if there is one.
    #[track_caller]
    pub fn assert_outcome(&self, status: u16, outcome: &str) {
        let found = (self.status, self.outcome.as_str());
        assert_eq!(found, (status, outcome), "{self:?}");
    }

    /// Asserts that the request ran and responded with this body.
    #[track_caller]
    pub fn assert_body(&self, expected: &str) {
        self.assert_outcome(200, "ran");
        assert_eq!(String::from_utf8_lossy(&self.body), expected);
    }
}

/// Sends a dose entry. An empty `key` sends no key header.
pub async fn post(address: SocketAddr, path: &str, key: &str, body: &str) -> KeyedResponse {
    let client = Client::builder().disable_timeout().finish();
    let mut call = client.post(format!("http://{address}{path}"));
    if !key.is_empty() {
        call = call.insert_header((headers::IDEMPOTENCY_KEY, key));
    }
    let sent = call.send_body(body.to_owned()).await;
    let mut response = sent.expect("the node responds");
    let header = |name| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let outcome = header(headers::OUTCOME).unwrap_or_default();
    let reason = header(headers::REASON).unwrap_or_default();
    let offered_key = header(headers::KEY_OFFER);
    let status = response.status().as_u16();
    let body = response.body().await.expect("a complete body").to_vec();
    KeyedResponse {
        status,
        outcome: format!("{outcome} {reason}").trim().to_owned(),
        body,
        offered_key,
    }
}

/// Returns a dose entry in the form in which a node passes it to the home of its key.
pub fn call(path: &str, key: &str, body: &str) -> CallRequest {
    CallRequest {
        service: "medication-log".into(),
        method: "POST".into(),
        path: path.into(),
        headers: vec![HeaderField::new(headers::IDEMPOTENCY_KEY, key)],
        body: Bytes::copy_from_slice(body.as_bytes()),
        importance: RequestImportance(0),
        caller: 0,
        tokens: TokenCount(0),
        key: Some(ExecutionKey::Home(key.into())),
        stamp: MessageStamp::default(),
        crashes: Vec::new(),
    }
}

/// Requests an idempotency key from a node.
pub async fn request_key(node: &TestNode) -> String {
    let response = post(node.addresses.inbound, headers::KEYS_PATH, "", "").await;
    response.offered_key.expect("an offered key")
}

/// Adds `instance` to the instance table of `node` with the peer address `peer`.
pub fn add_instance_at(node: &TestNode, instance: &TestNode, peer: SocketAddr) {
    let settings = &instance.node.settings;
    let record = InstanceRecord {
        name: settings.instance.clone(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer,
        state: InstanceState::Live,
    };
    node.node.instances.borrow_mut().upsert(record);
}

/// `ZonePair` is a service with one node in each of two zones; `gebze` reaches `izmit` through a
/// proxy.
pub struct ZonePair {
    /// Upstream of both nodes.
    pub upstream: CountingUpstream,
    /// Home of the keys in most tests.
    pub izmit: TestNode,
    /// Node of the other zone, which passes keyed requests to their home.
    pub gebze: TestNode,
    /// Proxy in the connection from `gebze` to `izmit`.
    pub proxy: TcpProxy,
}

impl ZonePair {
    /// Starts both nodes. The upstream holds the runs of `held` paths.
    pub async fn start(held: &[&str]) -> Self {
        let upstream = CountingUpstream::new(held);
        let address = upstream.listen().await;
        let izmit = support::start_node("medication-log", "izmit", address, &[RECORD]).await;
        let gebze = support::start_node("medication-log", "gebze", address, &[RECORD]).await;
        let proxy = TcpProxy::start(izmit.addresses.peer).await;
        add_instance_at(&gebze, &izmit, proxy.address);
        support::add_instance(&izmit, &gebze);
        Self {
            upstream,
            izmit,
            gebze,
            proxy,
        }
    }
}

/// Starts an upstream that writes `bytes` to each request and closes the connection. Returns its
/// address and the count of requests.
pub async fn start_raw_upstream(bytes: &'static [u8]) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind(support::ANY_PORT)
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let count = Rc::new(Cell::new(0));
    let requests = Rc::clone(&count);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4096];
            if stream.read(&mut head).await.is_ok_and(|read| read > 0) {
                // The node probes the health of the upstream after a lost response; probes are not
                // counted as requests.
                let is_probe = head.starts_with(b"GET /health ");
                requests.set(requests.get() + u32::from(!is_probe));
                let _ = stream.write_all(bytes).await;
            }
        }
    });
    (address, count)
}
