//! Client accounts: who may call, with which keys, how much and how urgently.

use crate::{ids::AccountName, key_digest::KeyDigest, units::RequestImportance};

use compact_str::CompactString;
use siphasher::sip::SipHasher24;
use std::{fmt, hash::Hasher};

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

id_type! {
    /// `KeyFingerprint` names a key to operators without showing it.
    pub struct KeyFingerprint(u64);
}

/// Longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 256;
/// Bits of a key's hash that its fingerprint leaves out.
const FINGERPRINT_SHIFT: u32 = 32;

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

    /// Digest by which the node compares the key; another one in each process.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest::of(&self.0)
    }

    /// Fingerprint by which operators tell keys apart; the same at every node.
    #[must_use]
    pub fn fingerprint(&self) -> KeyFingerprint {
        let mut hasher = SipHasher24::new();
        hasher.write(self.0.as_bytes());
        // Half of the hash, so that it tells less of a key than is needed to confirm a guess.
        KeyFingerprint(hasher.finish() >> FINGERPRINT_SHIFT)
    }
}

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccountKey(..)")
    }
}
