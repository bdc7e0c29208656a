//! Requests served by keys of each origin, with the zones connected and partitioned; and the key
//! counts of the state dump.
//!
//! Keys offered in a zone must keep working there while the other zone is unreachable; a request
//! whose key has an unreachable home has an unknown outcome, since it may have run there. Keys that
//! callers made do not run here, because no platform confirms the members of the service.

mod keyed_support;
mod support;

use keyed_support::{ZonePair, post, request_key};
use std::{collections::BTreeMap, fmt::Write};

/// Number of requests for each origin of keys.
const REQUESTS: u32 = 40;

/// Sends one request to `gebze` under each key and counts outcomes by the origin of the key.
async fn count_outcomes(pair: &ZonePair, keys: [Vec<String>; 3]) -> String {
    let mut text = String::new();
    let origins = ["offered there", "offered by the other zone", "caller-made"];
    for (origin, keys) in origins.into_iter().zip(keys) {
        let mut counts = BTreeMap::new();
        for key in keys {
            let response = post(pair.gebze.addresses.inbound, "/doses/7", &key, &key).await;
            *counts.entry(response.outcome).or_insert(0) += 1;
        }
        writeln!(text, "{origin}: {counts:?}").expect("a string accepts writes");
    }
    text
}

async fn request_keys(pair: &ZonePair, round: u32) -> [Vec<String>; 3] {
    let (mut own, mut other) = (Vec::new(), Vec::new());
    for _ in 0..REQUESTS {
        own.push(request_key(&pair.gebze).await);
        other.push(request_key(&pair.izmit).await);
    }
    let caller_made = |number| format!("01979f0e-8c1a-7000-8000-{round:04}{number:08}");
    [own, other, (0..REQUESTS).map(caller_made).collect()]
}

#[actix_rt::test]
async fn only_offered_keys_with_a_reachable_home_run() {
    let pair = ZonePair::start(&[]).await;
    let connected = count_outcomes(&pair, request_keys(&pair, 1).await).await;
    let keys = request_keys(&pair, 2).await;
    pair.proxy.disconnect();
    let disconnected = count_outcomes(&pair, keys).await;
    insta::assert_snapshot!(connected, @r#"
    offered there: {"ran": 40}
    offered by the other zone: {"ran": 40}
    caller-made: {"not-run key-required": 40}
    "#);
    insta::assert_snapshot!(disconnected, @r#"
    offered there: {"ran": 40}
    offered by the other zone: {"unknown home-unreachable": 40}
    caller-made: {"not-run key-required": 21, "unknown home-unreachable": 19}
    "#);
    pair.upstream.assert_single_runs(3 * REQUESTS as usize);
}

#[actix_rt::test]
async fn the_state_dump_counts_keys_without_showing_them() {
    let pair = ZonePair::start(&[]).await;
    let key = request_key(&pair.izmit).await;
    let inbound = pair.izmit.addresses.inbound;
    for _ in 0..2 {
        let response = post(inbound, "/doses/7", &key, "5 ml").await;
        response.assert_outcome(200, "ran");
    }
    let dump = support::send(pair.izmit.addresses.admin, "GET", "/state", &[], "").await;
    let dump: serde_json::Value = serde_json::from_str(&dump.body).expect("JSON");
    let text = dump.to_string();
    assert!(!text.contains("lk1:"), "{text}");
    let ledger = &dump["ledger"];
    assert!(ledger["answer_bytes"].as_u64() > Some(0), "{ledger}");
    let counts = ["records", "in_flight", "started", "replayed"].map(|name| ledger[name].as_u64());
    assert_eq!(counts, [Some(1), Some(0), Some(1), Some(1)], "{ledger}");
}
