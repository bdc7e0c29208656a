//! Heads of requests and answers. What is relayed stays as it stands in the message; what
//! concerns one connection, or is set by the system, is taken out (RFC 9110, section 7.6.1).

use super::body::BodyFraming;

use crate::header_scheme::HeaderScheme;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use httparse::{Header, Status};
use lagoonshore_protocol::headers::CONNECTION_FIELDS;
use std::time::Duration;

/// Header fields that one head may have.
const FIELDS_MAX: usize = 100;
/// Field that is answered on the connection of its request, and not relayed.
const EXPECT_FIELD: &str = "expect";
/// First status of a final answer.
const FINAL_STATUS: u16 = 200;

/// `RequestHead` is the head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: CompactString,
    /// Path with query, byte for byte.
    pub target: CompactString,
    /// Host; empty where the request names none.
    pub host: CompactString,
    /// Id of the request, if it has one.
    pub id: Option<CompactString>,
    /// Time for which the caller waits, if it says so.
    pub time_limit: Option<Duration>,
    /// Fields to relay.
    pub fields: Bytes,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the caller closes the connection after the answer.
    pub closes: bool,
    /// Whether the caller waits for an interim answer before it sends the body.
    pub expects_continue: bool,
}

/// `ResponseHead` is the head of an answer.
// Each flag stands for a field of its own.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Echoed id of the request.
    pub id: Option<CompactString>,
    /// Name by which the upstream calls itself.
    pub instance: Option<CompactString>,
    /// Whether the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the upstream signed the answer.
    pub is_signed: bool,
    /// Whether the body carries an encoding.
    pub is_encoded: bool,
    /// Fields to relay.
    pub fields: Bytes,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the upstream closes the connection after the answer.
    pub closes: bool,
    /// Time for which the upstream keeps an idle connection, if it says so.
    pub keep_alive: Option<Duration>,
}

/// `HeadError` says why a head cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It is larger than the bound.
    TooLarge,
    /// It is malformed, or its framing is ambiguous.
    Malformed,
}

/// Takes the head of a request out of `buffer`; `None` while it is not whole.
///
/// # Errors
/// Why the head cannot be taken.
pub fn parse_request(
    buffer: &mut BytesMut,
    bound: usize,
    scheme: &HeaderScheme,
) -> Result<Option<RequestHead>, HeadError> {
    let mut storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut storage);
    let used = match parsed.parse(buffer) {
        Ok(Status::Complete(used)) => used,
        Ok(Status::Partial) if buffer.len() <= bound => return Ok(None),
        Ok(Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HeadError::TooLarge);
        }
        Err(_) => return Err(HeadError::Malformed),
    };
    if used > bound {
        return Err(HeadError::TooLarge);
    }
    let target = parsed.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let summary = FieldSummary::of(parsed.headers)?;
    let is_old = parsed.version == Some(0);
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().into(),
        target: target.into(),
        host: text(parsed.headers, "host").unwrap_or_default().into(),
        id: text(parsed.headers, scheme.request_id).map(Into::into),
        time_limit: millis(text(parsed.headers, scheme.time_limit)),
        fields: relayed(parsed.headers, &summary, |name| {
            scheme.is_set_by_system(name)
        }),
        framing: summary.framing.unwrap_or(BodyFraming::Length(0)),
        closes: summary.closes || is_old,
        expects_continue: text(parsed.headers, EXPECT_FIELD).is_some(),
    };
    let _ = buffer.split_to(used);
    Ok(Some(head))
}

/// Takes the head of a final answer out of `buffer`; `None` while it is not whole. Interim
/// answers are passed over.
///
/// # Errors
/// Why the head cannot be taken.
pub fn parse_response(
    buffer: &mut BytesMut,
    bound: usize,
    is_bodiless: bool,
    scheme: &HeaderScheme,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Response::new(&mut storage);
        let used = match parsed.parse(buffer) {
            Ok(Status::Complete(used)) => used,
            Ok(Status::Partial) if buffer.len() <= bound => return Ok(None),
            Ok(Status::Partial) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let status = parsed.code.unwrap_or_default();
        if status < FINAL_STATUS {
            let _ = buffer.split_to(used);
            continue;
        }
        let head = answer_head(&parsed, status, is_bodiless, scheme)?;
        let _ = buffer.split_to(used);
        return Ok(Some(head));
    }
}

fn answer_head(
    parsed: &httparse::Response<'_, '_>,
    status: u16,
    is_bodiless: bool,
    scheme: &HeaderScheme,
) -> Result<ResponseHead, HeadError> {
    let fields = &*parsed.headers;
    let summary = FieldSummary::of(fields)?;
    let has_no_body = is_bodiless || matches!(status, 204 | 304);
    let framing = match summary.framing {
        _ if has_no_body => BodyFraming::Length(0),
        Some(framing) => framing,
        None => BodyFraming::UntilClose,
    };
    let is_old = parsed.version == Some(0);
    Ok(ResponseHead {
        status,
        id: text(fields, scheme.request_id).map(Into::into),
        instance: text(fields, scheme.own_instance).map(Into::into),
        is_not_run: text(fields, scheme.not_run).is_some(),
        is_signed: text(fields, scheme.signature).is_some(),
        is_encoded: text(fields, "content-encoding").is_some(),
        fields: relayed(fields, &summary, |_| false),
        framing,
        closes: summary.closes || is_old || framing == BodyFraming::UntilClose,
        keep_alive: text(fields, "keep-alive").and_then(keep_alive_time),
    })
}

/// What the fields of a head say of its connection.
struct FieldSummary<'a> {
    framing: Option<BodyFraming>,
    closes: bool,
    named: Vec<&'a str>,
}

impl<'a> FieldSummary<'a> {
    /// Reads the framing; a length beside chunks, or two lengths, could hide a second message
    /// (RFC 9112, section 6.3).
    fn of(fields: &[Header<'a>]) -> Result<Self, HeadError> {
        let mut summary = Self {
            framing: None,
            closes: false,
            named: Vec::new(),
        };
        for field in fields {
            let name = field.name;
            if name.eq_ignore_ascii_case("content-length") {
                summary.set_framing(BodyFraming::Length(length(field.value)?))?;
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                if !trimmed(field.value)?.eq_ignore_ascii_case("chunked") {
                    return Err(HeadError::Malformed);
                }
                summary.set_framing(BodyFraming::Chunked)?;
            } else if name.eq_ignore_ascii_case("connection") {
                for token in trimmed(field.value)?.split(',') {
                    summary.note_token(token.trim());
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

    fn note_token(&mut self, token: &'a str) {
        if token.eq_ignore_ascii_case("close") {
            self.closes = true;
        } else if !token.eq_ignore_ascii_case("keep-alive") {
            self.named.push(token);
        }
    }

    fn concerns_connection(&self, name: &str) -> bool {
        let is_own = |other: &&str| name.eq_ignore_ascii_case(other);
        let is_fixed = CONNECTION_FIELDS.iter().any(is_own) || is_own(&EXPECT_FIELD);
        is_fixed || self.named.iter().any(is_own)
    }
}

fn relayed(
    fields: &[Header<'_>],
    summary: &FieldSummary<'_>,
    is_left_out: impl Fn(&str) -> bool,
) -> Bytes {
    let mut block = BytesMut::with_capacity(256);
    for field in fields {
        if summary.concerns_connection(field.name) || is_left_out(field.name) {
            continue;
        }
        block.extend_from_slice(field.name.as_bytes());
        block.extend_from_slice(b": ");
        block.extend_from_slice(field.value);
        block.extend_from_slice(b"\r\n");
    }
    block.freeze()
}

fn text<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let field = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(field.value).ok().map(str::trim)
}

fn trimmed(value: &[u8]) -> Result<&str, HeadError> {
    let value = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
    Ok(value.trim())
}

fn length(value: &[u8]) -> Result<usize, HeadError> {
    let text = trimmed(value)?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let parsed = text.parse().map_err(|_| HeadError::Malformed);
    if is_number {
        parsed
    } else {
        Err(HeadError::Malformed)
    }
}

fn millis(value: Option<&str>) -> Option<Duration> {
    value?.parse().ok().map(Duration::from_millis)
}

fn keep_alive_time(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout").then_some(seconds)
    });
    timeout?.trim().parse().ok().map(Duration::from_secs)
}
