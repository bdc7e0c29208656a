//! Fingerprints by which nodes recognise a request that is sent again.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Keys of the hash; fixed, so that every node gives the same fingerprint.
const HASH_KEYS: (u64, u64) = (0x6c61_676f_6f6e_0001, 0x7375_7370_6563_7401);
/// Marks the fingerprint of an idempotency key.
const KEY_TAG: u8 = 1;
/// Marks the fingerprint of a method, path and body.
const CONTENT_TAG: u8 = 2;

/// `RequestFingerprint` recognises a request at every node.
pub type RequestFingerprint = u64;

/// Fingerprint of a request to `service`: of its idempotency key if it has one, else of its
/// content. The service is part of it, since a call chain may repeat a path.
#[must_use]
pub fn of_request(
    key: Option<&str>,
    service: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> RequestFingerprint {
    let mut hasher = SipHasher24::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    write_part(&mut hasher, service.as_bytes());
    if let Some(key) = key {
        hasher.write_u8(KEY_TAG);
        write_part(&mut hasher, key.as_bytes());
        return hasher.finish();
    }
    hasher.write_u8(CONTENT_TAG);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        write_part(&mut hasher, part);
    }
    hasher.finish()
}

/// Writes a part with its length before it, so that no two divisions of a text hash alike.
fn write_part(hasher: &mut SipHasher24, part: &[u8]) {
    hasher.write(&(part.len() as u64).to_le_bytes());
    hasher.write(part);
}
