//! Nodes that accept connections but do not reply: frozen, or cut off behind an open connection.

mod support;

use lagoonshore_state::{instance_table::InstanceState, upstream_list::UpstreamRecord};
use std::{cell::Cell, rc::Rc};
use support::{PEER_PORT, TestFleet, ask, route};
use tokio::{io::AsyncReadExt, net::TcpListener};

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

/// Adds an upstream of `b` beside a node that does not reply.
async fn list_unresponsive(fleet: &TestFleet) -> Rc<Cell<usize>> {
    let own = fleet.members[1].upstream.address.ip().to_string();
    let (prefix, _) = own.rsplit_once('.').expect("an IPv4 address");
    let ip = format!("{prefix}.9");
    let received = unresponsive_node(&ip).await;
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
    received
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
