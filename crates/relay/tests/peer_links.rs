//! Links to nodes that do not reply, under a paused clock.

use lagoonshore_protocol::{
    relay_bytes::RelayBytes,
    relay_messages::{RelayReply, RelayRequest},
};
use lagoonshore_relay::{
    calling::peer_links::{LinkError, PeerLinks},
    http1::memory_budget::MemoryBudget,
};
use lagoonshore_state::units::RequestImportance;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::LocalSet,
    time::Instant,
};

fn request() -> RelayRequest {
    RelayRequest {
        id: "i".into(),
        service: "s".into(),
        instance: "u".into(),
        origin: "s".into(),
        method: "GET".into(),
        target: "/".into(),
        fields: RelayBytes::default(),
        body: RelayBytes::default(),
        importance: RequestImportance(0),
        account: None,
        is_idempotent: true,
        calls_before: None,
        calls_left: None,
        route: 1,
        aim_ms: 1000,
        wait_ms: 1000,
        is_returning: false,
        is_repeat: false,
        is_resent: false,
        crashes: Vec::new(),
        revision: 0,
        departed: None,
        limit: None,
    }
}

/// Calls the node at `address` with a request that may run twice.
async fn call(
    links: &Rc<PeerLinks>,
    address: SocketAddr,
    deadline: Instant,
) -> Result<RelayReply, LinkError> {
    let link = links.usable_link(address, true).await?;
    links.relay(&link, request(), deadline, true).await
}

/// An address at which connections neither succeed nor fail: its accept queue is full.
async fn silent_address() -> (SocketAddr, Vec<TcpStream>, tokio::net::TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let listener = socket.listen(0).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let held = TcpStream::connect(address)
        .await
        .expect("room for one connection in the queue");
    (address, vec![held], listener)
}

/// Guards against requests that wait for each other's connection attempts: ten concurrent requests
/// for an unreachable node must all fail within about one connect timeout.
#[tokio::test(start_paused = true)]
async fn requests_do_not_queue_for_a_connection_that_fails() {
    let (address, _held, _listener) = silent_address().await;
    let sending = async {
        let links = PeerLinks::new(MemoryBudget::new(1 << 20));
        let started = Instant::now();
        let deadline = started + Duration::from_secs(20);
        let calls = (0..10).map(|_| call(&links, address, deadline));
        let results = futures::future::join_all(calls).await;
        (results, started.elapsed())
    };
    let (results, elapsed) = LocalSet::new().run_until(sending).await;
    assert!(
        results
            .iter()
            .all(|result| *result == Err(LinkError::Connect)),
        "{results:?}"
    );
    assert!(
        elapsed < Duration::from_millis(500),
        "the last one waited for {elapsed:?}"
    );
}

/// Guards against requests that wait for a connection to a node already known as lost: only the
/// reconnect task connects to it.
#[tokio::test(start_paused = true)]
async fn a_request_for_a_lost_node_fails_at_once() {
    let (address, _held, _listener) = silent_address().await;
    let sending = async {
        let links = PeerLinks::new(MemoryBudget::new(1 << 20));
        let deadline = Instant::now() + Duration::from_secs(20);
        let first = call(&links, address, deadline).await;
        let started = Instant::now();
        let second = call(&links, address, deadline).await;
        (first, second, started.elapsed())
    };
    let (first, second, elapsed) = LocalSet::new().run_until(sending).await;
    assert_eq!(
        (first, second),
        (Err(LinkError::Connect), Err(LinkError::Connect))
    );
    assert_eq!(elapsed, Duration::ZERO);
}
