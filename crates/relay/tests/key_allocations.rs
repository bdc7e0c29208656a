//! Allocations that the key of a request causes.

mod support;

use bytes::BytesMut;
use lagoonshore_allocations::{AllocationCounts, CountingAllocator};
use lagoonshore_coordination::forwarding::{
    caller_access::{self, CallParent, PresentedKey},
    document_proof::ProofBounds,
};
use lagoonshore_relay::{
    http1::{
        credentials::CredentialsUse,
        head::{self, RequestHead},
    },
    store_view::document_proofs::{DocumentProofs, read_clocks},
};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    key_digest::KeyDigest,
    route_table::{FleetDocument, RouteTable},
};
use std::time::Duration;
use support::{SCHEME, document, route};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Longer than what fits a `CompactString` without an allocation.
const KEY: &str = "6mc02rr7q5n3s1w8-6mc02rr7q5n3s1w8-6mc02rr7q5n3s1w8";
const HEAD_BYTES_MAX: usize = 1024;

fn request(more: &str) -> BytesMut {
    let head = format!("GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\n{more}\r\n");
    BytesMut::from(head.as_bytes())
}

/// Parses a head and returns the allocations that this took.
fn parse(mut input: BytesMut, credentials_use: CredentialsUse) -> (RequestHead, u64) {
    let before = AllocationCounts::current();
    let parsed = head::parse_request(&mut input, HEAD_BYTES_MAX, &SCHEME, credentials_use);
    let counts = AllocationCounts::current().since(before);
    let head = parsed.expect("a valid head").expect("a complete head");
    (head, counts.allocations)
}

#[test]
fn a_key_is_read_without_an_allocation() {
    let credentials = format!("Authorization: Bearer {KEY}\r\n");
    let (with_key, allocations) = parse(request(&credentials), CredentialsUse::Node);
    let (_, without_key) = parse(request(""), CredentialsUse::Node);
    assert_eq!(allocations, without_key);
    let digest = PresentedKey::Single(KeyDigest::of(KEY));
    assert_eq!(with_key.credentials.key, digest);
    assert!(with_key.credentials.fields.is_empty());
    let (relayed, _) = parse(request(&credentials), CredentialsUse::Upstream);
    assert!(!relayed.credentials.fields.is_empty());
}

#[test]
fn a_key_is_looked_up_and_checked_without_an_allocation() {
    let account = AccountEntry {
        name: "account-with-a-name-of-more-than-24-bytes".into(),
        keys: vec![AccountKey::new(KEY.into())],
        importance: None,
        quota: None,
    };
    let route = route("/a/", "a", true);
    let routes = RouteTable::new(FleetDocument {
        accounts: Some(vec![account]),
        ..document(1, &[])
    });
    let proofs = DocumentProofs::default();
    proofs.set_bounds(Some(ProofBounds {
        revocation: Duration::from_mins(1),
        apply: Duration::from_mins(1),
    }));
    proofs.record_read(read_clocks());
    let check = |key| {
        let key = PresentedKey::Single(KeyDigest::of(key));
        let freshness = proofs.freshness();
        caller_access::check_key(&routes, &route, key, CallParent::None, freshness)
    };
    for key in [KEY, "unknown"] {
        let before = AllocationCounts::current();
        let checked = check(key);
        let counts = AllocationCounts::current().since(before);
        assert_eq!(counts.allocations, 0);
        assert_eq!(checked.is_ok(), key == KEY);
    }
}
