//! Non-idempotent requests run at most once, whichever node they are sent to again.

mod keyed_support;
mod support;

use keyed_support::{RECORD, ZonePair, offer, post};
use lagoonshore_coordination::lifecycle::drain::DrainCause;
use lagoonshore_protocol::messages::{CallResult, MessageStamp};
use lagoonshore_transport::peer_link::PeerLinks;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

const PATH: &str = "/doses/7";

#[actix_rt::test]
async fn a_request_without_a_key_is_refused_with_an_offer_that_runs() {
    let pair = ZonePair::start(&[]).await;
    let door = pair.izmit.doors.inbound;
    let refused = post(door, PATH, "", "5 ml").await;
    refused.assert_verdict(428, "not-run key-required");
    pair.upstream.assert_single_runs(0);
    let key = refused.offer.expect("an offer");
    let answer = post(door, PATH, &key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    let next = answer.offer.expect("an offer for the next request");
    assert_ne!(next, key);
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_lost_answer_is_given_again_by_a_node_of_another_zone() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    let first = post(pair.izmit.doors.inbound, PATH, &key, "5 ml").await;
    let second = post(pair.gebze.doors.inbound, PATH, &key, "5 ml").await;
    assert_eq!(first.body, second.body);
    second.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_run_goes_on_when_the_link_cancels_it_and_a_resend_gets_its_answer() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = offer(&pair.izmit).await;
    let links = &pair.gebze.node.links;
    let peer = pair.izmit.doors.peer;
    let deadline = Instant::now() + Duration::from_mins(1);
    let first = links.call(peer, keyed_support::call(PATH, &key, "5 ml"), deadline);
    tokio::select! {
        _ = first => panic!("the run is held"),
        () = pair.upstream.started(1) => {}
    }
    // The first call was dropped; messages of one link are read in their order, so the answer to
    // the second shows that the home has met the cancellation of the first.
    let other = offer(&pair.izmit).await;
    let second = links.call(peer, keyed_support::call("/doses/8", &other, ""), deadline);
    second.await.expect("the home answers");
    pair.upstream.release(PATH);
    let answer = post(pair.gebze.doors.inbound, PATH, &key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(2);
}

#[actix_rt::test]
async fn a_caller_that_hangs_up_gets_the_answer_when_it_sends_again() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = offer(&pair.izmit).await;
    let (door, sent) = (pair.izmit.doors.inbound, key.clone());
    let call = actix_rt::spawn(async move { post(door, PATH, &sent, "5 ml").await });
    pair.upstream.started(1).await;
    call.abort();
    let _ = call.await;
    pair.upstream.release(PATH);
    let answer = post(pair.gebze.doors.inbound, PATH, &key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_message_that_outwaited_its_deadline_in_a_buffer_is_refused_as_stale() {
    let pair = ZonePair::start(&[]).await;
    let sent = Rc::new(Cell::new(1_000_000_000));
    let clock = Rc::clone(&sent);
    let links = PeerLinks::new(move || MessageStamp {
        sender: 7,
        sent: clock.get(),
    });
    let peer = pair.izmit.doors.peer;
    links.identify(peer).await.expect("the home is there");
    let key = offer(&pair.izmit).await;
    // Stamped 90 s before the message that opened the link, so it is at least that old.
    sent.set(1_000_000_000 - 90_000_000);
    let deadline = Instant::now() + Duration::from_mins(1);
    let call = links.call(peer, keyed_support::call(PATH, &key, "5 ml"), deadline);
    let reply = call.await.expect("the home answers");
    let CallResult::Refused(refusal) = reply.result else {
        panic!("found {reply:?}");
    };
    let found = (refusal.outcome.as_str(), refusal.reason.as_str());
    assert_eq!(found, ("not-run", "stale"));
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn ten_resends_at_once_get_one_answer() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = offer(&pair.izmit).await;
    let doors = [pair.izmit.doors.inbound, pair.gebze.doors.inbound];
    let calls: Vec<_> = (0..10)
        .map(|turn| {
            let (door, key) = (doors[turn % 2], key.clone());
            actix_rt::spawn(async move { post(door, PATH, &key, "5 ml").await })
        })
        .collect();
    pair.upstream.started(1).await;
    while pair.izmit.node.executions.ledger_counts().joined < 9 {
        tokio::task::yield_now().await;
    }
    pair.upstream.release(PATH);
    for call in calls {
        let answer = call.await.expect("the call ends");
        answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    }
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_home_gone_before_the_run_leaves_the_outcome_unknown_and_nothing_runs() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    pair.relay.cut();
    let answer = post(pair.gebze.doors.inbound, PATH, &key, "5 ml").await;
    answer.assert_verdict(503, "unknown home-unreachable");
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn a_home_gone_during_the_run_gives_its_answer_when_it_is_back() {
    let pair = ZonePair::start(&[PATH]).await;
    let key = offer(&pair.izmit).await;
    let (door, sent) = (pair.gebze.doors.inbound, key.clone());
    let call = actix_rt::spawn(async move { post(door, PATH, &sent, "5 ml").await });
    pair.upstream.started(1).await;
    pair.relay.cut();
    let answer = call.await.expect("the call ends");
    answer.assert_verdict(503, "unknown home-unreachable");
    let answer = post(door, PATH, &key, "5 ml").await;
    answer.assert_verdict(503, "unknown home-unreachable");
    pair.relay.heal();
    pair.upstream.release(PATH);
    let answer = post(door, PATH, &key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_home_gone_after_the_run_gives_its_answer_when_it_is_back() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    let door = pair.gebze.doors.inbound;
    let first = post(door, PATH, &key, "5 ml").await;
    pair.relay.cut();
    let answer = post(door, PATH, &key, "5 ml").await;
    answer.assert_verdict(503, "unknown home-unreachable");
    pair.relay.heal();
    let again = post(door, PATH, &key, "5 ml").await;
    assert_eq!((again.status, again.body), (200, first.body));
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn another_incarnation_of_the_home_never_runs_the_key() {
    let pair = ZonePair::start(&[]).await;
    let used = offer(&pair.izmit).await;
    let unused = offer(&pair.izmit).await;
    let first = post(pair.izmit.doors.inbound, PATH, &used, "5 ml").await;
    first.assert_verdict(200, "ran");
    let address = pair.upstream.open().await;
    let restarted = support::node("medication-log", "izmit", address, &[RECORD]).await;
    support::introduce(&pair.gebze, &restarted);
    for door in [restarted.doors.inbound, pair.gebze.doors.inbound] {
        for key in [&used, &unused] {
            let answer = post(door, PATH, key, "5 ml").await;
            answer.assert_verdict(503, "unknown home-unreachable");
        }
    }
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_caller_that_moves_between_cut_zones_runs_nothing_twice() {
    let pair = ZonePair::start(&[]).await;
    let izmit_key = offer(&pair.izmit).await;
    let gebze_key = offer(&pair.gebze).await;
    pair.relay.cut();
    let (izmit, gebze) = (pair.izmit.doors.inbound, pair.gebze.doors.inbound);
    let answer = post(izmit, PATH, &izmit_key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {izmit_key} run 1"));
    let moved = post(gebze, PATH, &izmit_key, "5 ml").await;
    moved.assert_verdict(503, "unknown home-unreachable");
    let answer = post(gebze, PATH, &gebze_key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {gebze_key} run 1"));
    // A key of the caller's own making runs on neither side.
    for door in [izmit, gebze] {
        let answer = post(door, PATH, "01979f0e-8c1a-7000-8000-000000000001", "5 ml").await;
        assert_ne!(answer.status, 200, "{answer:?}");
    }
    pair.relay.heal();
    let answer = post(gebze, PATH, &izmit_key, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {izmit_key} run 1"));
    pair.upstream.assert_single_runs(2);
}

#[actix_rt::test]
async fn answers_out_of_order_go_to_their_own_callers() {
    let paths: Vec<_> = (0..6).map(|number| format!("/doses/{number}")).collect();
    let held: Vec<_> = paths.iter().map(String::as_str).collect();
    let pair = ZonePair::start(&held).await;
    let mut calls = Vec::new();
    for path in &paths {
        let (key, path) = (offer(&pair.izmit).await, path.clone());
        let door = pair.gebze.doors.inbound;
        calls.push((
            key.clone(),
            path.clone(),
            actix_rt::spawn(async move { post(door, &path, &key, &path).await }),
        ));
    }
    pair.upstream.started(6).await;
    for (key, path, call) in calls.into_iter().rev() {
        pair.upstream.release(&path);
        let answer = call.await.expect("the call ends");
        answer.assert_body(&format!("{path} {path} {key} run 1"));
    }
    pair.upstream.assert_single_runs(6);
}

#[actix_rt::test]
async fn a_key_with_another_body_or_path_is_refused() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    let first = post(pair.izmit.doors.inbound, PATH, &key, "5 ml").await;
    let door = pair.gebze.doors.inbound;
    for (path, body) in [(PATH, "50 ml"), ("/doses/8", "5 ml")] {
        let answer = post(door, path, &key, body).await;
        answer.assert_verdict(409, "not-run key-reused");
    }
    let again = post(door, PATH, &key, "5 ml").await;
    assert_eq!(again.body, first.body);
    pair.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_damaged_or_forged_key_is_refused() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    let door = pair.izmit.doors.inbound;
    let forged = key.replace(":1:", ":2:");
    assert_ne!(forged, key);
    for bad in [forged.as_str(), &key[..key.len() - 1], "lk1:"] {
        let answer = post(door, PATH, bad, "5 ml").await;
        answer.assert_verdict(400, "not-run bad-request");
    }
    pair.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn a_draining_home_answers_resends_and_runs_nothing_new() {
    let pair = ZonePair::start(&["/doses/9"]).await;
    let (ran, running, unused) = (
        offer(&pair.izmit).await,
        offer(&pair.izmit).await,
        offer(&pair.izmit).await,
    );
    let door = pair.gebze.doors.inbound;
    let first = post(door, PATH, &ran, "5 ml").await;
    let sent = running.clone();
    let call = actix_rt::spawn(async move { post(door, "/doses/9", &sent, "5 ml").await });
    pair.upstream.started(2).await;
    pair.izmit
        .node
        .drain
        .borrow_mut()
        .add_cause(DrainCause::PlannedStop);
    let again = post(door, PATH, &ran, "5 ml").await;
    assert_eq!(again.body, first.body);
    let refused = post(door, PATH, &unused, "5 ml").await;
    refused.assert_verdict(503, "not-run draining");
    let fresh = refused.offer.expect("a key of a node that stays");
    pair.upstream.release("/doses/9");
    let answer = call.await.expect("the call ends");
    answer.assert_body(&format!("/doses/9 5 ml {running} run 1"));
    let answer = post(door, PATH, &fresh, "5 ml").await;
    answer.assert_body(&format!("{PATH} 5 ml {fresh} run 1"));
    pair.upstream.assert_single_runs(3);
}
