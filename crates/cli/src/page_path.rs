//! Percent-encoding of names in the paths and queries of pages (RFC 3986, section 2.1).

use std::fmt::Write;

/// Returns `name` with each byte percent-encoded that is not an unreserved character: an ASCII letter, a digit
/// or one of `-._~`.
#[must_use]
pub fn encode(name: &str) -> String {
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}
