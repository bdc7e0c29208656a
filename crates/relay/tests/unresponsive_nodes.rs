//! Nodes that accept connections but do not reply: frozen, or cut off behind an open connection.

mod support;

use lagoonshore_state::{instance_table::InstanceState, upstream_list::UpstreamRecord};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use support::{PEER_PORT, TestFleet, ask, route, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Listens where a node would, and reads without replying; returns the number of bytes read.
async fn unresponsive_node(ip: &str) -> Rc<Cell<usize>> {
    let listener = TcpListener::bind((ip, PEER_PORT)).await;
    let listener = listener.expect("a free address");
    let received = Rc::new(Cell::new(0));
    let shared = Rc::clone(&received);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = Rc::clone(&shared);
            actix_rt::spawn(async move {
                let mut buffer = [0; 4096];
                while let Ok(read) = stream.read(&mut buffer).await {
                    received.set(received.get() + read);
                    if read == 0 {
                        return;
                    }
                }
            });
        }
    });
    received
}

/// Listens where a node would, and passes data on to the node at `peer` unless `is_frozen`.
async fn freezable_node(ip: &str, peer: SocketAddr) -> Rc<Cell<bool>> {
    let listener = TcpListener::bind((ip, PEER_PORT)).await;
    let listener = listener.expect("a free address");
    let is_frozen = Rc::new(Cell::new(true));
    let shared = Rc::clone(&is_frozen);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let node = TcpStream::connect(peer).await.expect("an open listener");
            let (from_caller, to_caller) = stream.into_split();
            let (from_node, to_node) = node.into_split();
            actix_rt::spawn(pass_on(from_caller, to_node, Rc::clone(&shared)));
            actix_rt::spawn(pass_on(from_node, to_caller, Rc::clone(&shared)));
        }
    });
    is_frozen
}

async fn pass_on(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_frozen: Rc<Cell<bool>>) {
    let mut buffer = [0; 4096];
    while let Ok(read) = from.read(&mut buffer).await {
        until(|| !is_frozen.get()).await;
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// Adds an upstream of `b` beside a node that does not reply.
async fn list_unresponsive(fleet: &TestFleet) -> Rc<Cell<usize>> {
    let received = unresponsive_node(&unused_ip(fleet)).await;
    list_at(fleet, &unused_ip(fleet));
    received
}

/// Address next to those of the fleet.
fn unused_ip(fleet: &TestFleet) -> String {
    let own = fleet.members[0].upstream.address.ip().to_string();
    let (prefix, _) = own.rsplit_once('.').expect("an IPv4 address");
    format!("{prefix}.9")
}

/// Adds an upstream of `b` at `ip`.
fn list_at(fleet: &TestFleet, ip: &str) {
    let record = UpstreamRecord {
        name: "silent".into(),
        service: "b".into(),
        zone: "z1".into(),
        address: format!("{ip}:8301").parse().expect("an address"),
        slots: 10,
        started_ms: None,
        state: InstanceState::Live,
        revision: 500,
    };
    for member in &fleet.members {
        member.node.directory.upsert_upstream(record.clone());
    }
}

#[actix_rt::test]
async fn a_request_that_may_run_once_is_not_lost_at_a_node_that_does_not_reply() {
    let fleet = TestFleet::start(&[("a", "z1"), ("b", "z1")]).await;
    fleet.publish(1, &[route("/b-once/", "b", false)]);
    let received = list_unresponsive(&fleet).await;
    // Concurrent requests are spread over the instances.
    let callers = fleet.members[0].listen.callers;
    let ids = (0..8).map(|number| format!("i{number}"));
    let requests = ids.map(|id| async move { ask(callers, "POST", "/b-once/slow", &id, "").await });
    for response in futures::future::join_all(requests).await {
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert!(received.get() > 0, "it was chosen and checked");
}

#[actix_rt::test]
async fn a_request_is_refused_as_not_run_if_the_only_node_does_not_reply() {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z1")]).await;
    fleet.publish(1, &[route("/b-once/", "b", false)]);
    list_unresponsive(&fleet).await;
    let callers = fleet.members[0].listen.callers;
    let response = ask(callers, "POST", "/b-once/ok", "i1", "").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.fields.contains("Retry-After"), "{response:?}");
}

#[actix_rt::test]
async fn a_node_that_replies_again_is_used_again() {
    let fleet = TestFleet::start(&[("a", "z1"), ("b", "z1")]).await;
    fleet.publish(1, &[route("/b/", "b", true), route("/b-once/", "b", false)]);
    // The node beside the only listed upstream of `b` is reached through the address that freezes.
    let is_frozen = freezable_node(&unused_ip(&fleet), fleet.members[1].listen.peers).await;
    fleet.members[0].node.directory.remove_upstream("u1", 900);
    list_at(&fleet, &unused_ip(&fleet));
    let callers = fleet.members[0].listen.callers;
    let refused = ask(callers, "POST", "/b-once/ok", "i1", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    is_frozen.set(false);
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let repeatable = ask(callers, "GET", "/b/ok", "i2", "").await;
    assert_eq!(repeatable.status, 200, "{repeatable:?}");
    let served = ask(callers, "POST", "/b-once/ok", "i3", "").await;
    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i2", "i3"]);
}
