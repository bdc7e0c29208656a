//! Formats of policy records. Whether a record is accepted depends on its bytes alone, so that all
//! nodes decide alike.

pub mod duration;
mod error_list;
mod fields;
pub mod schema1;
pub mod schema2;

use crate::error::{self, ProtocolError, Result, ValueError};

use compact_str::CompactString;
use lagoonshore_state::policy::ServicePolicy;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// Largest size of a record in bytes: the limit of the platform for a value.
pub const RECORD_BYTES_MAX: usize = 1024 * 1024;

#[derive(Deserialize)]
struct SchemaProbe {
    schema: Spanned<u64>,
}

#[derive(Deserialize)]
struct LocationProbe {
    name: Spanned<CompactString>,
    revision: Spanned<u64>,
}

/// Parses a record of any supported schema.
///
/// # Errors
/// [`ProtocolError::NotText`], [`ProtocolError::TooLarge`], [`ProtocolError::UnknownSchema`], or
/// the line and key of each error.
pub fn parse(bytes: &[u8]) -> Result<ServicePolicy> {
    let text = decode_text(bytes)?;
    let probe: SchemaProbe =
        serde_saphyr::from_str(text).map_err(|error| error::syntax_error(&error))?;
    match probe.schema.value {
        1 => schema1::parse(text),
        2 => schema2::parse(text),
        found => Err(ProtocolError::UnknownSchema {
            found,
            line: probe.schema.referenced.line(),
        }),
    }
}

/// Parses the record of `service`.
///
/// # Errors
/// Those of [`parse`], and [`ProtocolError::Values`] if the record is for another service.
pub fn parse_for_service(service: &str, bytes: &[u8]) -> Result<ServicePolicy> {
    let policy = parse(bytes)?;
    if policy.service == service {
        return Ok(policy);
    }
    let probe: LocationProbe =
        serde_saphyr::from_str(decode_text(bytes)?).map_err(|error| error::syntax_error(&error))?;
    let error = ValueError {
        line: probe.name.referenced.line(),
        column: probe.name.referenced.column(),
        path: "name".to_owned(),
        found: policy.service.to_string(),
        expected: service.to_owned(),
    };
    Err(ProtocolError::Values {
        errors: vec![error],
    })
}

/// Returns the line of the revision in a record, from 1; `None` if the record cannot be parsed.
#[must_use]
pub fn revision_line(bytes: &[u8]) -> Option<u64> {
    let probe: LocationProbe = serde_saphyr::from_str(decode_text(bytes).ok()?).ok()?;
    Some(probe.revision.referenced.line())
}

fn decode_text(bytes: &[u8]) -> Result<&str> {
    if bytes.len() > RECORD_BYTES_MAX {
        return Err(ProtocolError::TooLarge {
            found: bytes.len(),
            limit: RECORD_BYTES_MAX,
        });
    }
    std::str::from_utf8(bytes).map_err(|error| ProtocolError::NotText {
        offset: error.valid_up_to(),
    })
}
