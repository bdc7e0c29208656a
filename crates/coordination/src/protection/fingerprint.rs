//! Fingerprints by which nodes recognise a retried request.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Keys of the hash; fixed, so that every node computes the same fingerprint.
const HASH_KEYS: (u64, u64) = (0x6c61_676f_6f6e_0001, 0x7375_7370_6563_7401);
/// Tag hashed before an idempotency key.
const KEY_TAG: u8 = 1;
/// Tag hashed before a method, path and body.
const CONTENT_TAG: u8 = 2;

/// `RequestFingerprint` identifies a request and its retries; all nodes compute the same value.
pub type RequestFingerprint = u64;

/// Computes the fingerprint of a request to `service` from its idempotency key if it has one, else
/// from its content. The service is included, since services in a call chain may use the same path.
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

/// Computes the hash by which nodes identify an instance in reports of crashes.
#[must_use]
pub fn of_instance(name: &str) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    write_part(&mut hasher, name.as_bytes());
    hasher.finish()
}

/// Computes the hash of a request together with the name of an instance.
#[must_use]
pub(crate) fn of_pair(fingerprint: RequestFingerprint, name: &str) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write_u64(fingerprint);
    write_part(&mut hasher, name.as_bytes());
    hasher.finish()
}

/// Hashes a part with a length prefix, so that the hash depends on where the parts begin and end.
fn write_part(hasher: &mut SipHasher24, part: &[u8]) {
    hasher.write(&(part.len() as u64).to_le_bytes());
    hasher.write(part);
}
