//! Memory of a document with many client accounts. The test has a process of its own, whose memory it reads.

use lagoonshore_state::{
    account::{AccountEntry, AccountKey, AccountQuota},
    route_table::{CallerLimits, FleetDocument, RouteTable},
    units::RequestImportance,
};
use std::fs;

const ACCOUNTS: u32 = 10_000;
const KEYS_PER_ACCOUNT: u32 = 3;
const MEMORY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Size of a page of memory on the machines that the nodes run on.
const PAGE_BYTES: usize = 4096;

/// Resident memory of the process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = text.split(' ').nth(1).expect("a second number");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

fn account(index: u32) -> AccountEntry {
    let keys = 0..KEYS_PER_ACCOUNT;
    AccountEntry {
        name: format!("account-{index}").into(),
        keys: keys
            .map(|key| AccountKey::new(format!("key-{index:08}-{key}-{index:016x}").into()))
            .collect(),
        importance: Some(RequestImportance(1)),
        quota: Some(AccountQuota {
            rate: 10.0,
            burst: 10.0,
        }),
    }
}

/// A node keeps the document, which it tells other nodes, and the table that it is looked up in.
#[test]
fn ten_thousand_accounts_take_less_than_their_part_of_the_memory() {
    let before = resident_bytes();
    let document = FleetDocument {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some((0..ACCOUNTS).map(account).collect()),
    };
    let table = RouteTable::new(document.clone());
    let used = resident_bytes().saturating_sub(before);
    println!("{used} bytes");
    assert!(used < MEMORY_BYTES_MAX, "{used} bytes");
    let accounts = document.accounts.as_ref().expect("accounts");
    for account in accounts {
        for key in &account.keys {
            let found = table.account_of_key(key.digest()).expect("a held key");
            assert_eq!(found.name, account.name);
        }
    }
}
