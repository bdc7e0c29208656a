//! Client accounts: who may call, with which keys, how much and how urgently.

use crate::{ids::AccountName, units::RequestImportance};

use compact_str::CompactString;
use std::fmt;

data_type! {
    /// `AccountEntry` describes a client account of a fleet's document.
    pub struct AccountEntry {
        /// Name of the account, which upstreams are told.
        pub name: AccountName,
        /// Keys that callers of the account present.
        pub keys: Vec<AccountKey>,
        /// Importance of the account's requests; it goes before that of the route.
        pub importance: Option<RequestImportance>,
        /// Quota of the account over all nodes; `None` for no limit.
        pub quota: Option<AccountQuota>,
    }

    /// `AccountQuota` limits the requests of an account, summed over all nodes.
    #[derive(Copy)]
    pub struct AccountQuota {
        /// Requests a second, above 0.
        pub rate: f64,
        /// Requests beyond the rate that may come at once.
        pub burst: f64,
    }
}

/// `AccountKey` is the secret by which a caller proves its account. Its text appears in no log, error or
/// state dump.
#[derive(Clone, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct AccountKey(CompactString);

impl AccountKey {
    /// Creates the key with this text.
    #[must_use]
    pub const fn new(text: CompactString) -> Self {
        Self(text)
    }

    /// Text of the key, for comparison with what a caller sent.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccountKey(..)")
    }
}
