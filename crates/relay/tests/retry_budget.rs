//! Arrivals that the node beside an upstream counts for its retry budget.

mod support;

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::{
    relay_bytes::RelayBytes,
    relay_messages::{RelayRequest, RelayResult},
};
use lagoonshore_state::units::RequestImportance;
use std::time::Duration;
use support::{TestFleet, route, until};
use tokio::time::Instant;

fn request(path: &str, id: &str, is_resent: bool) -> RelayRequest {
    RelayRequest {
        id: id.into(),
        service: "b".into(),
        instance: "u0".into(),
        origin: "b".into(),
        method: "POST".into(),
        target: path.into(),
        fields: RelayBytes::default(),
        body: RelayBytes::default(),
        importance: RequestImportance(0),
        account: None,
        is_idempotent: false,
        calls_before: None,
        calls_left: None,
        route: 1,
        aim_ms: 1000,
        wait_ms: 0,
        is_returning: false,
        is_repeat: is_resent,
        is_resent,
        crashes: Vec::new(),
        revision: 0,
        departed: None,
        limit: None,
    }
}

fn reason(result: &RelayResult) -> Option<RefusalReason> {
    match result {
        RelayResult::Refused(refusal) => Some(refusal.reason),
        RelayResult::Answered(_) => None,
    }
}

/// Guards against a retry budget that grows with refused requests: one that gets no slot is sent to
/// another instance and counted there, so counting it here as well would allow too many retries.
#[actix_rt::test]
async fn only_requests_that_reach_the_upstream_add_to_the_retry_budget() {
    const REFUSED: usize = 400;
    let fleet = TestFleet::start(&[("b", "z1")]).await;
    fleet.publish(1, &[route("/b/", "b", false)]);
    let server = &fleet.members[0].node.server;
    let deadline = Instant::now() + Duration::from_secs(30);
    // Slots in use at most: the list gives ten, of which 95 % are used.
    until(|| server.node_status().limit == 9).await;
    let slots = server.node_status().limit;
    let holding: Vec<_> = (0..slots)
        .map(|index| {
            let server = std::rc::Rc::clone(server);
            let held = request("/b/never", &format!("held{index}"), false);
            actix_rt::spawn(async move { server.serve(held, deadline).await })
        })
        .collect();
    until(|| fleet.members[0].upstream.ids().len() == holding.len()).await;
    for index in 0..REFUSED {
        let refused = request("/b/ok", &format!("r{index}"), false);
        let reply = server.serve(refused, deadline).await;
        assert_eq!(reason(&reply.result), Some(RefusalReason::Overload));
    }
    for task in &holding {
        task.abort();
    }
    until(|| server.node_status().in_use == 0).await;
    let mut retries = 0;
    while retries < REFUSED {
        let retry = request("/b/ok", &format!("s{retries}"), true);
        let reply = server.serve(retry, deadline).await;
        if reason(&reply.result) == Some(RefusalReason::RetryLimit) {
            break;
        }
        retries += 1;
    }
    // At the start a fifth of the slack counts, plus a fifth of the held requests. Retries may spend
    // 0.8 of that sum.
    assert!((1..=10).contains(&retries), "{retries} retries");
}
