//! Non-idempotent requests run at most once, whichever node their retries reach.
//!
//! A caller that gets no response (its connection, the link between the zones or the home of the
//! key was lost) retries through any node. The home of the key replays the recorded response; while
//! the home is unreachable the outcome stays unknown, and no other node runs the request.

mod keyed_support;
mod support;

use keyed_support::{RECORD, ZonePair, post, request_key};
use lagoonshore_coordination::lifecycle::drain_state::DrainCause;
use lagoonshore_protocol::messages::{CallResult, MessageStamp};
use lagoonshore_transport::peer_link::PeerLinks;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

const PATH: &str = "/doses/7";

#[actix_rt::test]
async fn a_request_without_a_key_is_refused_and_offered_a_usable_key() {
    let pair = ZonePair::start(&[]).await;
    let inbound = pair.izmit.addresses.inbound;
    let refused = post(inbound, PATH, "", "5 ml").await;
    refused.assert_outcome(428, "not-run key-required");
    pair.upstream.assert_single_runs(0);
    let key = refused.offered_key.expect("an offered key");
    let response = post(inbound, PATH, &key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    let next = response
        .offered_key
        .expect("an offered key for the next request");
    assert_ne!(next, key);
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_lost_response_is_replayed_through_a_node_of_another_zone() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    let first = post(pair.izmit.addresses.inbound, PATH, &key, "5 ml").await;
    let second = post(pair.gebze.addresses.inbound, PATH, &key, "5 ml").await;
    assert_eq!(first.body, second.body);
    second.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_run_survives_cancellation_of_its_call_and_a_retry_gets_its_response() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = request_key(&pair.izmit).await;
    let links = &pair.gebze.node.links;
    let peer = pair.izmit.addresses.peer;
    let deadline = Instant::now() + Duration::from_mins(1);
    let first = links.call(peer, keyed_support::call(PATH, &key, "5 ml"), deadline);
    tokio::select! {
        _ = first => panic!("the run is held"),
        () = pair.upstream.wait_for_runs(1) => {}
    }
    // The first call was dropped. A link delivers messages in order, so the response to the second
    // call shows that the home has processed the cancellation of the first.
    let other = request_key(&pair.izmit).await;
    let second = links.call(peer, keyed_support::call("/doses/8", &other, ""), deadline);
    second.await.expect("the home node responds");
    pair.upstream.release(PATH);
    let response = post(pair.gebze.addresses.inbound, PATH, &key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(2);
}

#[actix_rt::test]
async fn a_caller_that_disconnects_gets_the_response_when_it_retries() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = request_key(&pair.izmit).await;
    let (inbound, sent) = (pair.izmit.addresses.inbound, key.clone());
    let call = actix_rt::spawn(async move { post(inbound, PATH, &sent, "5 ml").await });
    pair.upstream.wait_for_runs(1).await;
    call.abort();
    let _ = call.await;
    pair.upstream.release(PATH);
    let response = post(pair.gebze.addresses.inbound, PATH, &key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_message_buffered_past_its_deadline_is_refused_as_stale() {
    let pair = ZonePair::start(&[]).await;
    let sent = Rc::new(Cell::new(1_000_000_000));
    let clock = Rc::clone(&sent);
    let links = PeerLinks::new(move || MessageStamp {
        sender: 7,
        sent: clock.get(),
    });
    let peer = pair.izmit.addresses.peer;
    links.identify(peer).await.expect("the home node responds");
    let key = request_key(&pair.izmit).await;
    // The stamp is 90 s older than that of the message which opened the link, so the message waited
    // at least that long.
    sent.set(1_000_000_000 - 90_000_000);
    let deadline = Instant::now() + Duration::from_mins(1);
    let call = links.call(peer, keyed_support::call(PATH, &key, "5 ml"), deadline);
    let reply = call.await.expect("the home node responds");
    let CallResult::Refused(refusal) = reply.result else {
        panic!("found {reply:?}");
    };
    let found = (refusal.outcome.as_str(), refusal.reason.as_str());
    assert_eq!(found, ("not-run", "stale"));
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn ten_concurrent_retries_share_one_run() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = request_key(&pair.izmit).await;
    let addresses = [pair.izmit.addresses.inbound, pair.gebze.addresses.inbound];
    let calls: Vec<_> = (0..10)
        .map(|turn| {
            let (inbound, key) = (addresses[turn % 2], key.clone());
            actix_rt::spawn(async move { post(inbound, PATH, &key, "5 ml").await })
        })
        .collect();
    pair.upstream.wait_for_runs(1).await;
    while pair.izmit.node.executions.ledger_counts().joined < 9 {
        tokio::task::yield_now().await;
    }
    pair.upstream.release(PATH);
    for call in calls {
        let response = call.await.expect("the call task ends");
        response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    }
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_home_lost_before_the_run_leaves_the_outcome_unknown_and_nothing_runs() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    pair.proxy.disconnect();
    let response = post(pair.gebze.addresses.inbound, PATH, &key, "5 ml").await;
    response.assert_outcome(503, "unknown home-unreachable");
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn a_home_lost_during_the_run_replays_its_response_once_reconnected() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = request_key(&pair.izmit).await;
    let (inbound, sent) = (pair.gebze.addresses.inbound, key.clone());
    let call = actix_rt::spawn(async move { post(inbound, PATH, &sent, "5 ml").await });
    pair.upstream.wait_for_runs(1).await;
    pair.proxy.disconnect();
    let response = call.await.expect("the call task ends");
    response.assert_outcome(503, "unknown home-unreachable");
    let response = post(inbound, PATH, &key, "5 ml").await;
    response.assert_outcome(503, "unknown home-unreachable");
    pair.proxy.reconnect();
    pair.upstream.release(PATH);
    let response = post(inbound, PATH, &key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_home_lost_after_the_run_replays_its_response_once_reconnected() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    let inbound = pair.gebze.addresses.inbound;
    let first = post(inbound, PATH, &key, "5 ml").await;
    pair.proxy.disconnect();
    let response = post(inbound, PATH, &key, "5 ml").await;
    response.assert_outcome(503, "unknown home-unreachable");
    pair.proxy.reconnect();
    let replayed = post(inbound, PATH, &key, "5 ml").await;
    assert_eq!((replayed.status, replayed.body), (200, first.body));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_restarted_home_never_runs_keys_of_its_previous_incarnation() {
    let pair = ZonePair::start(&[]).await;
    let used = request_key(&pair.izmit).await;
    let unused = request_key(&pair.izmit).await;
    let first = post(pair.izmit.addresses.inbound, PATH, &used, "5 ml").await;
    first.assert_outcome(200, "ran");
    let address = pair.upstream.listen().await;
    let restarted = support::start_node("medication-log", "izmit", address, &[RECORD]).await;
    support::add_instance(&pair.gebze, &restarted);
    for inbound in [restarted.addresses.inbound, pair.gebze.addresses.inbound] {
        for key in [&used, &unused] {
            let response = post(inbound, PATH, key, "5 ml").await;
            response.assert_outcome(503, "unknown home-unreachable");
        }
    }
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_caller_that_moves_between_partitioned_zones_runs_nothing_twice() {
    let pair = ZonePair::start(&[]).await;
    let izmit_key = request_key(&pair.izmit).await;
    let gebze_key = request_key(&pair.gebze).await;
    pair.proxy.disconnect();
    let (izmit, gebze) = (pair.izmit.addresses.inbound, pair.gebze.addresses.inbound);
    let response = post(izmit, PATH, &izmit_key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {izmit_key} run 1"));
    let moved = post(gebze, PATH, &izmit_key, "5 ml").await;
    moved.assert_outcome(503, "unknown home-unreachable");
    let response = post(gebze, PATH, &gebze_key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {gebze_key} run 1"));
    // A key made by the caller runs in neither zone during the partition.
    for inbound in [izmit, gebze] {
        let response = post(
            inbound,
            PATH,
            "01979f0e-8c1a-7000-8000-000000000001",
            "5 ml",
        )
        .await;
        assert_ne!(response.status, 200, "{response:?}");
    }
    pair.proxy.reconnect();
    let response = post(gebze, PATH, &izmit_key, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {izmit_key} run 1"));
    pair.upstream.assert_single_runs(2);
}

#[actix_rt::test]
async fn out_of_order_responses_reach_their_own_callers() {
    let paths: Vec<_> = (0..6).map(|number| format!("/doses/{number}")).collect();
    let held: Vec<_> = paths.iter().map(String::as_str).collect();
    let pair = ZonePair::start(&held).await;
    let mut calls = Vec::new();
    for path in &paths {
        let (key, path) = (request_key(&pair.izmit).await, path.clone());
        let inbound = pair.gebze.addresses.inbound;
        calls.push((
            key.clone(),
            path.clone(),
            actix_rt::spawn(async move { post(inbound, &path, &key, &path).await }),
        ));
    }
    pair.upstream.wait_for_runs(6).await;
    for (key, path, call) in calls.into_iter().rev() {
        pair.upstream.release(&path);
        let response = call.await.expect("the call task ends");
        response.assert_body(&format!("{path} {path} {key} run 1"));
    }
    pair.upstream.assert_single_runs(6);
}

#[actix_rt::test]
async fn a_key_reused_with_another_body_or_path_is_refused() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    let first = post(pair.izmit.addresses.inbound, PATH, &key, "5 ml").await;
    let inbound = pair.gebze.addresses.inbound;
    for (path, body) in [(PATH, "50 ml"), ("/doses/8", "5 ml")] {
        let response = post(inbound, path, &key, body).await;
        response.assert_outcome(409, "not-run key-reused");
    }
    let replayed = post(inbound, PATH, &key, "5 ml").await;
    assert_eq!(replayed.body, first.body);
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_damaged_or_forged_key_is_refused() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    let inbound = pair.izmit.addresses.inbound;
    let forged = key.replace(":1:", ":2:");
    assert_ne!(forged, key);
    for invalid in [forged.as_str(), &key[..key.len() - 1], "lk1:"] {
        let response = post(inbound, PATH, invalid, "5 ml").await;
        response.assert_outcome(400, "not-run bad-request");
    }
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn a_draining_home_replays_responses_and_runs_nothing_new() {
    let pair = ZonePair::start(&["/doses/9"]).await;
    let (ran, running, unused) = (
        request_key(&pair.izmit).await,
        request_key(&pair.izmit).await,
        request_key(&pair.izmit).await,
    );
    let inbound = pair.gebze.addresses.inbound;
    let first = post(inbound, PATH, &ran, "5 ml").await;
    let sent = running.clone();
    let call = actix_rt::spawn(async move { post(inbound, "/doses/9", &sent, "5 ml").await });
    pair.upstream.wait_for_runs(2).await;
    pair.izmit
        .node
        .drain
        .borrow_mut()
        .add_cause(DrainCause::PlannedStop);
    let replayed = post(inbound, PATH, &ran, "5 ml").await;
    assert_eq!(replayed.body, first.body);
    let refused = post(inbound, PATH, &unused, "5 ml").await;
    refused.assert_outcome(503, "not-run draining");
    let offered = refused
        .offered_key
        .expect("a key of a node that is not draining");
    pair.upstream.release("/doses/9");
    let response = call.await.expect("the call task ends");
    response.assert_body(&format!("/doses/9 5 ml {running} run 1"));
    let response = post(inbound, PATH, &offered, "5 ml").await;
    response.assert_body(&format!("{PATH} 5 ml {offered} run 1"));
    pair.upstream.assert_single_runs(3);
}
