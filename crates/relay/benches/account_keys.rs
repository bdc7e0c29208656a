//! Time that the key of a request adds, with 10,000 accounts and 30,000 keys.

use bytes::BytesMut;
use criterion::{BatchSize, Criterion};
use lagoonshore_coordination::forwarding::{
    caller_access::{self, CallParent, PresentedKey},
    document_proof::ProofBounds,
    rate_limiter::LimitNotice,
};
use lagoonshore_relay::{
    header_scheme::HeaderScheme,
    http1::{credentials::CredentialsUse, head},
    store_view::document_proofs::{DocumentProofs, read_clocks},
};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    key_digest::KeyDigest,
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTable},
    units::RequestImportance,
};
use std::{hint::black_box, time::Duration};

const ACCOUNTS: usize = 10_000;
const KEYS_PER_ACCOUNT: usize = 3;
/// Step between the accounts whose keys are looked up, so that memory caches help little.
const ACCOUNT_STEP: usize = 7919;
const HEAD_BYTES_MAX: usize = 1024;

const SCHEME: HeaderScheme = HeaderScheme {
    request_id: "request-id",
    time_limit: "time-limit-ms",
    signature: "signature",
    not_run: "not-run",
    expected_instance: "expected-instance",
    own_instance: "own-instance",
    departure: "departure",
    rate_limit: "rate-limit",
    decode_rate_limit: |_| LimitNotice::Absent,
    origin_service: "origin-service",
    credentials: "authorization",
    key_scheme: "Bearer",
    account: "account",
    call_separator: '.',
};

fn key_text(account: usize, key: usize) -> String {
    format!("key-{account:08}-{key}-{account:016x}")
}

fn account(index: usize) -> AccountEntry {
    let keys = 0..KEYS_PER_ACCOUNT;
    AccountEntry {
        name: format!("account-{index}").into(),
        keys: keys
            .map(|key| AccountKey::new(key_text(index, key).into()))
            .collect(),
        importance: None,
        quota: None,
    }
}

fn route() -> RouteEntry {
    RouteEntry {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        targets: Vec::new(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::from_secs(1),
        attempts: 1,
        importance: RequestImportance(0),
        is_anonymous: false,
    }
}

/// Hashes a key, finds its account, and checks the proof of the document.
fn bench_check(criterion: &mut Criterion) {
    let routes = RouteTable::new(FleetDocument {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some((0..ACCOUNTS).map(account).collect()),
    });
    let route = route();
    let proofs = DocumentProofs::default();
    proofs.set_bounds(Some(ProofBounds {
        revocation: Duration::from_hours(1),
        apply: Duration::from_hours(1),
    }));
    proofs.record_read(read_clocks());
    let texts: Vec<String> = (0..ACCOUNTS)
        .map(|index| key_text(index * ACCOUNT_STEP % ACCOUNTS, 1))
        .collect();
    let mut next = texts.iter().cycle();
    criterion.bench_function("key lookup and checks", |bencher| {
        bencher.iter(|| {
            let text = next.next().map(String::as_str).unwrap_or_default();
            let key = PresentedKey::Single(KeyDigest::of(black_box(text)));
            let freshness = proofs.freshness();
            caller_access::check_key(&routes, &route, key, CallParent::None, freshness)
        });
    });
}

/// Parses heads with and without a key.
fn bench_head(criterion: &mut Criterion) {
    let credentials = format!("Authorization: Bearer {}\r\n", key_text(1, 1));
    for (name, more) in [
        ("head without a key", ""),
        ("head with a key", &*credentials),
    ] {
        let text = format!("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\n{more}\r\n");
        criterion.bench_function(name, |bencher| {
            let input = || BytesMut::from(text.as_bytes());
            let parse = |input: &mut BytesMut| {
                head::parse_request(input, HEAD_BYTES_MAX, &SCHEME, CredentialsUse::Node)
            };
            bencher.iter_batched_ref(input, parse, BatchSize::SmallInput);
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_check(&mut criterion);
    bench_head(&mut criterion);
    criterion.final_summary();
}
