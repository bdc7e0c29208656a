//! Finds the account that holds a key.

use crate::{account::AccountEntry, key_digest::KeyDigest};

use std::{collections::HashMap, fmt, rc::Rc};

/// `KeyIndex` finds accounts by the digests of their keys.
#[derive(Clone, Default)]
pub struct KeyIndex {
    accounts: HashMap<KeyDigest, Rc<AccountEntry>>,
}

impl KeyIndex {
    /// Creates the index of the keys of `accounts`.
    #[must_use]
    pub fn new<'a>(accounts: impl Iterator<Item = &'a Rc<AccountEntry>>) -> Self {
        let mut index = Self::default();
        for account in accounts {
            for key in &account.keys {
                index.accounts.insert(key.digest(), Rc::clone(account));
            }
        }
        index
    }

    /// Returns the account that holds the key with this digest.
    #[must_use]
    pub fn find(&self, key: KeyDigest) -> Option<&Rc<AccountEntry>> {
        self.accounts.get(&key)
    }
}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyIndex({} keys)", self.accounts.len())
    }
}
