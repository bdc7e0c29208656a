//! Parsing of request and response heads. Relayed fields keep their bytes; hop-by-hop fields
//! (RFC 9110, section 7.6.1) and fields that the node sets itself are removed.

use super::{
    body::BodyFraming,
    credentials::{CredentialsUse, RequestCredentials},
    field_summary::{EXPECT_FIELD, FieldSummary, field_text, field_values, relayed_fields},
};

use crate::header_scheme::HeaderScheme;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use httparse::Status;
use lagoonshore_coordination::forwarding::rate_limiter::LimitNotice;
use std::{ops::RangeInclusive, time::Duration};
use tokio::time::Instant;

/// Most header fields in one head.
const FIELDS_MAX: usize = 100;
/// Value of the field by which an upstream announces its departure.
const DEPARTURE_VALUE: &str = "1";
/// Status codes of HTTP (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Lowest status of a final response; lower ones are interim.
const FINAL_STATUS_MIN: u16 = 200;

/// `RequestHead` is the parsed head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// HTTP method.
    pub method: CompactString,
    /// Path with query, byte for byte.
    pub target: CompactString,
    /// Value of the `Host` field; empty if absent.
    pub host: CompactString,
    /// Id of the request, if present.
    pub id: Option<CompactString>,
    /// Time for which the caller waits, if present and valid.
    pub time_limit: Option<Duration>,
    /// Fields to relay, each terminated by CRLF.
    pub fields: Bytes,
    /// Key of the caller.
    pub credentials: RequestCredentials,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the caller closes the connection after the response.
    pub closes: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// `ResponseHead` is the parsed head of a final response.
// Each flag stands for a separate header field.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Id of the request, if the response echoes it.
    pub id: Option<CompactString>,
    /// Name of the upstream, if the response has it.
    pub instance: Option<CompactString>,
    /// Whether the upstream reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the upstream announces that it is leaving.
    pub is_leaving: bool,
    /// What the response says about the limit on the rate of requests.
    pub limit: LimitNotice,
    /// Time at which the head was complete.
    pub received: Instant,
    /// Whether the upstream signed the response.
    pub is_signed: bool,
    /// Whether the body has a content encoding.
    pub is_encoded: bool,
    /// Fields to relay, each terminated by CRLF.
    pub fields: Bytes,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the upstream closes the connection after the response.
    pub closes: bool,
    /// Time for which the upstream keeps an idle connection open, if it sends a `Keep-Alive` field.
    pub keep_alive: Option<Duration>,
}

/// `HeadError` is the reason why a head cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The head is larger than the allowed maximum, in bytes or in fields.
    TooLarge,
    /// The head is malformed, or its framing is ambiguous.
    Malformed,
}

/// Parses the head of a request of at most `bytes_max` bytes and removes it from `buffer`; `None`
/// while it is incomplete.
///
/// # Errors
/// [`HeadError`] if the head is too large or malformed.
pub fn parse_request(
    buffer: &mut BytesMut,
    bytes_max: usize,
    scheme: &HeaderScheme,
    credentials_use: CredentialsUse,
) -> Result<Option<RequestHead>, HeadError> {
    let mut storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut storage);
    let used = match parsed.parse(buffer) {
        Ok(Status::Complete(used)) => used,
        Ok(Status::Partial) if buffer.len() <= bytes_max => return Ok(None),
        Ok(Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HeadError::TooLarge);
        }
        Err(_) => return Err(HeadError::Malformed),
    };
    if used > bytes_max {
        return Err(HeadError::TooLarge);
    }
    let target = parsed.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let summary = FieldSummary::of(parsed.headers)?;
    let is_http10 = parsed.version == Some(0);
    let credentials = match credentials_use {
        CredentialsUse::Node => None,
        CredentialsUse::Upstream => Some(relayed_fields(parsed.headers, &summary, |name| {
            !scheme.is_about_accounts(name)
        })),
    };
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().into(),
        target: target.into(),
        host: field_text(parsed.headers, "host")
            .unwrap_or_default()
            .into(),
        id: field_text(parsed.headers, scheme.request_id).map(Into::into),
        time_limit: parse_millis(field_text(parsed.headers, scheme.time_limit)),
        fields: relayed_fields(parsed.headers, &summary, |name| {
            scheme.is_set_by_system(name)
        }),
        credentials: RequestCredentials::of(parsed.headers, scheme, credentials),
        framing: summary.framing.unwrap_or(BodyFraming::Length(0)),
        closes: summary.closes || is_http10,
        expects_continue: field_text(parsed.headers, EXPECT_FIELD).is_some(),
    };
    let _ = buffer.split_to(used);
    Ok(Some(head))
}

/// Parses the head of a final response of at most `bytes_max` bytes and removes it from `buffer`;
/// `None` while it is incomplete. Interim responses are skipped and taken off `interim_left`.
/// `is_bodiless` is set for the response to a `HEAD` request.
///
/// # Errors
/// [`HeadError`] if the head is too large or malformed.
pub fn parse_response(
    buffer: &mut BytesMut,
    bytes_max: usize,
    is_bodiless: bool,
    interim_left: &mut u32,
    scheme: &HeaderScheme,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut storage = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut parsed = httparse::Response::new(&mut storage);
        let used = match parsed.parse(buffer) {
            Ok(Status::Complete(used)) => used,
            Ok(Status::Partial) if buffer.len() <= bytes_max => return Ok(None),
            Ok(Status::Partial) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let status = parsed.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(HeadError::Malformed);
        }
        if status < FINAL_STATUS_MIN {
            *interim_left = interim_left.checked_sub(1).ok_or(HeadError::TooLarge)?;
            let _ = buffer.split_to(used);
            continue;
        }
        let head = build_response_head(&parsed, status, is_bodiless, scheme)?;
        let _ = buffer.split_to(used);
        return Ok(Some(head));
    }
}

fn build_response_head(
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
    let is_http10 = parsed.version == Some(0);
    Ok(ResponseHead {
        status,
        id: field_text(fields, scheme.request_id).map(Into::into),
        instance: field_text(fields, scheme.own_instance).map(Into::into),
        is_not_run: field_text(fields, scheme.not_run).is_some(),
        is_leaving: field_text(fields, scheme.departure) == Some(DEPARTURE_VALUE),
        limit: (scheme.decode_rate_limit)(&field_values(fields, scheme.rate_limit)),
        received: Instant::now(),
        is_signed: field_text(fields, scheme.signature).is_some(),
        is_encoded: field_text(fields, "content-encoding").is_some(),
        fields: relayed_fields(fields, &summary, |_| false),
        framing,
        closes: summary.closes || is_http10 || framing == BodyFraming::UntilClose,
        keep_alive: field_text(fields, "keep-alive").and_then(parse_keep_alive),
    })
}

fn parse_millis(value: Option<&str>) -> Option<Duration> {
    value?.parse().ok().map(Duration::from_millis)
}

fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        name.eq_ignore_ascii_case("timeout").then_some(seconds)
    });
    timeout?.trim().parse().ok().map(Duration::from_secs)
}
