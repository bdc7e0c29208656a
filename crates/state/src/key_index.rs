//! Finds the account that holds a key.

use crate::account::{AccountEntry, AccountKey};

use siphasher::sip128::{Hasher128, SipHasher24};
use std::{
    collections::{HashMap, hash_map::RandomState},
    fmt,
    hash::{BuildHasher, Hasher},
    rc::Rc,
};

/// 128-bit hash of a key under the secret of one index.
type KeyHash = [u64; 2];

/// `KeyIndex` finds accounts by a hash of the key under a random secret. The time of a lookup tells
/// nothing of the keys that are held, since a caller cannot know which hash a guess has.
#[derive(Clone, Default)]
pub struct KeyIndex {
    /// Key of the hash function.
    secret: [u64; 2],
    accounts: HashMap<KeyHash, Rc<AccountEntry>>,
}

impl KeyIndex {
    /// Creates the index of the keys of `accounts`.
    #[must_use]
    pub fn new<'a>(accounts: impl Iterator<Item = &'a Rc<AccountEntry>>) -> Self {
        let mut index = Self {
            secret: [random_word(), random_word()],
            accounts: HashMap::new(),
        };
        for account in accounts {
            for key in &account.keys {
                index.accounts.insert(index.hash(key), Rc::clone(account));
            }
        }
        index
    }

    /// Returns the account that holds `key`.
    #[must_use]
    pub fn find(&self, key: &AccountKey) -> Option<&Rc<AccountEntry>> {
        self.accounts.get(&self.hash(key))
    }

    fn hash(&self, key: &AccountKey) -> KeyHash {
        let [left, right] = self.secret;
        let mut hasher = SipHasher24::new_with_keys(left, right);
        hasher.write(key.secret().as_bytes());
        let hash = hasher.finish128();
        [hash.h1, hash.h2]
    }
}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyIndex({} keys)", self.accounts.len())
    }
}

/// Returns a random number from the keys that the standard library draws for its own hash tables.
fn random_word() -> u64 {
    RandomState::new().build_hasher().finish()
}
