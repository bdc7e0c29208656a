//! A hash that stands for a key, so that requests carry no copy of it.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::{
    collections::hash_map::RandomState,
    fmt,
    hash::{BuildHasher, Hasher},
    sync::LazyLock,
};

/// Key of the hash function, drawn for each process.
static SECRET: LazyLock<[u64; 2]> = LazyLock::new(|| [random_word(), random_word()]);

/// `KeyDigest` is a 128-bit hash of a key under a random secret of the process, by which keys are compared. The
/// time of a comparison tells nothing of a key, since a caller cannot know which hash a guess has.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u64; 2]);

impl KeyDigest {
    /// Hashes the text of a key.
    #[must_use]
    pub fn of(text: &str) -> Self {
        let [left, right] = *SECRET;
        let mut hasher = SipHasher24::new_with_keys(left, right);
        hasher.write(text.as_bytes());
        let hash = hasher.finish128();
        Self([hash.h1, hash.h2])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Returns a random number from the keys that the standard library draws for its own hash tables.
fn random_word() -> u64 {
    RandomState::new().build_hasher().finish()
}
