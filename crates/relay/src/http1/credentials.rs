//! The key that a request carries in its credentials field (RFC 9110, section 11.6.2).

use crate::header_scheme::HeaderScheme;

use bytes::Bytes;
use httparse::Header;
use lagoonshore_coordination::forwarding::caller_access::PresentedKey;
use lagoonshore_state::{account::KEY_BYTES_MAX, key_digest::KeyDigest};
use std::fmt;

/// `CredentialsUse` says whom the credentials of requests are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CredentialsUse {
    /// The node, which reads the key and passes nothing on.
    Node,
    /// The upstream, in a fleet without accounts.
    Upstream,
}

/// `RequestCredentials` holds the fields of a request that say which account calls, apart from the fields to relay.
#[derive(Clone)]
pub struct RequestCredentials {
    /// Key that the credentials hold.
    pub key: PresentedKey,
    /// The fields to relay, each terminated by CRLF; empty if they are for the node.
    pub fields: Bytes,
    /// Whether the request had such fields, which were not kept because they are for the node.
    pub is_withheld: bool,
}

impl RequestCredentials {
    /// Reads the credentials among `headers`; `fields` are those to relay, `None` if they are for the node.
    pub(super) fn of(headers: &[Header<'_>], scheme: &HeaderScheme, fields: Option<Bytes>) -> Self {
        let named = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(scheme.credentials));
        let keys = named.map(|header| parse_key(header.value, scheme.key_scheme));
        // A field that is repeated is harmless; two different ones would leave open who calls.
        let key = keys.reduce(|first, next| {
            if first == next {
                first
            } else {
                PresentedKey::Unusable
            }
        });
        Self {
            key: key.unwrap_or(PresentedKey::Absent),
            is_withheld: fields.is_none()
                && headers
                    .iter()
                    .any(|header| scheme.is_about_accounts(header.name)),
            fields: fields.unwrap_or_default(),
        }
    }
}

impl fmt::Debug for RequestCredentials {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RequestCredentials(..)")
    }
}

/// Parses the value of a credentials field: the word `scheme` in any case, blanks, and the key.
fn parse_key(value: &[u8], scheme: &str) -> PresentedKey {
    let Ok(text) = std::str::from_utf8(value) else {
        return PresentedKey::Unusable;
    };
    let Some((word, key)) = text.trim().split_once([' ', '\t']) else {
        return PresentedKey::Unusable;
    };
    let key = key.trim();
    let is_key = key.len() <= KEY_BYTES_MAX && key.bytes().all(|byte| byte.is_ascii_graphic());
    if word.eq_ignore_ascii_case(scheme) && is_key && !key.is_empty() {
        PresentedKey::Single(KeyDigest::of(key))
    } else {
        PresentedKey::Unusable
    }
}
