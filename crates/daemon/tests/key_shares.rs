//! What share of requests each kind of key serves, with the zones joined and cut; and what the
//! state dump shows of keys.

mod keyed_support;
mod support;

use keyed_support::{ZonePair, offer, post};
use std::{collections::BTreeMap, fmt::Write};

/// Requests of each kind.
const REQUESTS: u32 = 40;

/// Sends requests to `gebze` under fresh keys of each kind, and counts by outcome.
async fn shares(pair: &ZonePair, keys: [Vec<String>; 3]) -> String {
    let mut text = String::new();
    let kinds = ["offered there", "offered by the other zone", "caller-made"];
    for (kind, keys) in kinds.into_iter().zip(keys) {
        let mut counts = BTreeMap::new();
        for key in keys {
            let answer = post(pair.gebze.doors.inbound, "/doses/7", &key, &key).await;
            *counts.entry(answer.verdict).or_insert(0) += 1;
        }
        writeln!(text, "{kind}: {counts:?}").expect("text takes it");
    }
    text
}

async fn fresh_keys(pair: &ZonePair, round: u32) -> [Vec<String>; 3] {
    let (mut own, mut other) = (Vec::new(), Vec::new());
    for _ in 0..REQUESTS {
        own.push(offer(&pair.gebze).await);
        other.push(offer(&pair.izmit).await);
    }
    let made = |number| format!("01979f0e-8c1a-7000-8000-{round:04}{number:08}");
    [own, other, (0..REQUESTS).map(made).collect()]
}

#[actix_rt::test]
async fn each_kind_of_key_serves_its_share() {
    let pair = ZonePair::start(&[]).await;
    let joined = shares(&pair, fresh_keys(&pair, 1).await).await;
    let keys = fresh_keys(&pair, 2).await;
    pair.relay.cut();
    let cut = shares(&pair, keys).await;
    insta::assert_snapshot!(joined, @r#"
    offered there: {"ran": 40}
    offered by the other zone: {"ran": 40}
    caller-made: {"not-run key-required": 40}
    "#);
    insta::assert_snapshot!(cut, @r#"
    offered there: {"ran": 40}
    offered by the other zone: {"unknown home-unreachable": 40}
    caller-made: {"not-run key-required": 21, "unknown home-unreachable": 19}
    "#);
    pair.upstream.assert_single_runs(3 * REQUESTS as usize);
}

#[actix_rt::test]
async fn the_state_dump_counts_keys_and_shows_none() {
    let pair = ZonePair::start(&[]).await;
    let key = offer(&pair.izmit).await;
    let door = pair.izmit.doors.inbound;
    for _ in 0..2 {
        let answer = post(door, "/doses/7", &key, "5 ml").await;
        answer.assert_verdict(200, "ran");
    }
    let dump = support::send(pair.izmit.doors.admin, "GET", "/state", &[], "").await;
    let dump: serde_json::Value = serde_json::from_str(&dump.body).expect("JSON");
    let text = dump.to_string();
    assert!(!text.contains("lk1:"), "{text}");
    let ledger = &dump["ledger"];
    assert!(ledger["answer_bytes"].as_u64() > Some(0), "{ledger}");
    let counts = ["records", "in_flight", "started", "replayed"].map(|name| ledger[name].as_u64());
    assert_eq!(counts, [Some(1), Some(0), Some(1), Some(1)], "{ledger}");
}
