//! Header fields of a head: framing, connection options and the fields to relay.

use super::{body::BodyFraming, head::HeadError};

use bytes::{Bytes, BytesMut};
use httparse::Header;
use lagoonshore_protocol::headers::CONNECTION_FIELDS;

/// Buffer capacity for relayed fields, in bytes.
const FIELDS_BYTES: usize = 256;
/// Field that is handled on the connection of the caller and not relayed.
pub(super) const EXPECT_FIELD: &str = "expect";

/// Framing and connection options of a head.
pub(super) struct FieldSummary<'a> {
    pub(super) framing: Option<BodyFraming>,
    pub(super) closes: bool,
    connection_options: Vec<&'a str>,
}

impl<'a> FieldSummary<'a> {
    /// Reads the fields. A length together with chunked coding, or two different lengths, is
    /// refused because it allows request smuggling (RFC 9112, section 6.3).
    pub(super) fn of(fields: &[Header<'a>]) -> Result<Self, HeadError> {
        let mut summary = Self {
            framing: None,
            closes: false,
            connection_options: Vec::new(),
        };
        for field in fields {
            let name = field.name;
            if name.eq_ignore_ascii_case("content-length") {
                summary.set_framing(BodyFraming::Length(parse_length(field.value)?))?;
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                if !trimmed_text(field.value)?.eq_ignore_ascii_case("chunked") {
                    return Err(HeadError::Malformed);
                }
                summary.set_framing(BodyFraming::Chunked)?;
            } else if name.eq_ignore_ascii_case("connection") {
                for token in trimmed_text(field.value)?.split(',') {
                    summary.add_connection_option(token.trim());
                }
            }
        }
        Ok(summary)
    }

    fn set_framing(&mut self, framing: BodyFraming) -> Result<(), HeadError> {
        if self.framing.is_some_and(|known| known != framing) {
            return Err(HeadError::Malformed);
        }
        self.framing = Some(framing);
        Ok(())
    }

    fn add_connection_option(&mut self, token: &'a str) {
        if token.eq_ignore_ascii_case("close") {
            self.closes = true;
        } else if !token.eq_ignore_ascii_case("keep-alive") {
            self.connection_options.push(token);
        }
    }

    fn is_hop_by_hop(&self, name: &str) -> bool {
        let is_same = |other: &&str| name.eq_ignore_ascii_case(other);
        let is_fixed = CONNECTION_FIELDS.iter().any(is_same) || is_same(&EXPECT_FIELD);
        is_fixed || self.connection_options.iter().any(is_same)
    }
}

/// Fields to relay, each terminated by CRLF, without those that `is_excluded` names.
pub(super) fn relayed_fields(
    fields: &[Header<'_>],
    summary: &FieldSummary<'_>,
    is_excluded: impl Fn(&str) -> bool,
) -> Bytes {
    let mut block = BytesMut::new();
    for field in fields {
        if summary.is_hop_by_hop(field.name) || is_excluded(field.name) {
            continue;
        }
        if block.is_empty() {
            block.reserve(FIELDS_BYTES);
        }
        block.extend_from_slice(field.name.as_bytes());
        block.extend_from_slice(b": ");
        block.extend_from_slice(field.value);
        block.extend_from_slice(b"\r\n");
    }
    block.freeze()
}

/// Value of the first field with this `name`; `None` if there is none, or if it is no text.
pub(super) fn field_text<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let field = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(field.value).ok().map(str::trim)
}

/// Values of all fields with this `name`.
pub(super) fn field_values<'a>(fields: &[Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name));
    named.map(|field| field.value).collect()
}

fn trimmed_text(value: &[u8]) -> Result<&str, HeadError> {
    let value = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
    Ok(value.trim())
}

fn parse_length(value: &[u8]) -> Result<usize, HeadError> {
    let text = trimmed_text(value)?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let parsed = text.parse().map_err(|_| HeadError::Malformed);
    if is_number {
        parsed
    } else {
        Err(HeadError::Malformed)
    }
}
