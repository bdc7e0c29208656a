//! Names in the paths of pages (RFC 3986).

use std::fmt::Write;

/// Returns `name` with each byte percent-encoded that is neither a letter, nor a digit, nor one of `-._~`.
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
