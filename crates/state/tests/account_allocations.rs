//! Bytes that a document with many client accounts takes.

use lagoonshore_allocations::{AllocationCounts, CountingAllocator};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey, AccountQuota},
    route_table::{CallerLimits, FleetDocument, RouteTable},
    units::RequestImportance,
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ACCOUNTS: u32 = 10_000;
const KEYS_PER_ACCOUNT: u32 = 3;
const MEMORY_BYTES_MAX: i64 = 16 * 1024 * 1024;

fn account(index: u32) -> AccountEntry {
    let key = |key| AccountKey::new(format!("key-{index:08}-{key}-{index:016x}").into());
    AccountEntry {
        name: format!("account-of-a-customer-{index:08}").into(),
        keys: (0..KEYS_PER_ACCOUNT).map(key).collect(),
        importance: Some(RequestImportance(1)),
        quota: Some(AccountQuota {
            rate: 10.0,
            burst: 10.0,
        }),
    }
}

/// A node keeps the document, which it tells other nodes, and the table that it is looked up in.
#[test]
fn ten_thousand_accounts_fit_their_part_of_the_memory() {
    let before = AllocationCounts::current();
    let document = FleetDocument {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some((0..ACCOUNTS).map(account).collect()),
    };
    let table = RouteTable::new(document.clone());
    let held = AllocationCounts::current().since(before);
    drop((document, table));
    let left = AllocationCounts::current().since(before);
    println!("{} bytes", held.live_bytes);
    assert!(held.live_bytes < MEMORY_BYTES_MAX, "{held:?}");
    assert_eq!(left.live_bytes, 0);
}
