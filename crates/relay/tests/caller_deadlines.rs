//! Callers of one route that have different deadlines.

mod support;

use support::{TestFleet, ask, ask_raw, route, until};

/// Guards against a first attempt that counts as the return of a refused caller because another caller of
/// its route has a later deadline: its target latency would seem to have passed, and it would be refused
/// as soon as all slots are in use.
#[actix_rt::test]
async fn a_first_attempt_with_an_early_deadline_may_wait_for_a_slot() {
    let fleet = TestFleet::start(&[("a", "z1"), ("b", "z1")]).await;
    fleet.publish(1, &[route("/b/", "b", false), route("/hold/", "b", false)]);
    let server = &fleet.members[1].node.server;
    // Slots in use at most: the list gives ten, of which 95 % are used.
    until(|| server.node_status().limit == 9).await;
    let callers = fleet.members[0].listen.callers;
    let late = b"GET /b/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\nTime-Limit-Ms: 9000\r\nConnection: close\r\n\r\n";
    let response = ask_raw(callers, late).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let holding: Vec<_> = (0..server.node_status().limit)
        .map(|index| async move {
            let id = format!("held{index}");
            ask(callers, "POST", "/hold/slow", &id, "").await
        })
        .map(actix_rt::spawn)
        .collect();
    until(|| server.node_status().in_use == server.node_status().limit).await;
    let response = ask(callers, "POST", "/b/ok", "waits", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    for task in holding {
        assert_eq!(task.await.expect("it ends").status, 200);
    }
}
