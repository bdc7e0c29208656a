//! Requests whose deadline passes while they wait for a slot.

mod support;

use support::{TestFleet, ask, route, until};

use std::time::Duration;

/// Guards against a response that leaves open whether a request ran that never left the queue of
/// the node beside the upstream.
#[actix_rt::test]
async fn a_request_that_never_left_the_queue_is_reported_as_not_run() {
    let fleet = TestFleet::start(&[("a", "z1"), ("b", "z1")]).await;
    let mut short = route("/b/", "b", false);
    short.timeout = Duration::from_millis(400);
    fleet.publish(1, &[short, route("/hold/", "b", false)]);
    let server = &fleet.members[1].node.server;
    // Slots in use at most: the list gives ten, of which 95 % are used.
    until(|| server.node_status().limit == 9).await;
    let callers = fleet.members[0].listen.callers;
    let holding: Vec<_> = (0..server.node_status().limit)
        .map(|index| async move {
            let id = format!("held{index}");
            ask(callers, "POST", "/hold/never", &id, "").await
        })
        .map(actix_rt::spawn)
        .collect();
    until(|| fleet.members[1].upstream.ids().len() == holding.len()).await;
    let response = ask(callers, "POST", "/b/ok", "waits", "").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(
        !fleet.members[1]
            .upstream
            .ids()
            .contains(&"waits".to_owned())
    );
    for task in &holding {
        task.abort();
    }
}
