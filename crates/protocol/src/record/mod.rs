//! Formats of policy records. Acceptance is a pure function of the bytes, so that every node
//! gives the same verdict.

pub mod duration;
pub mod schema1;

use crate::error::{self, ProtocolError, Result};

use lagoonshore_state::policy::ServicePolicy;
use serde::Deserialize;

/// Largest record, the platform's bound on a value.
pub const RECORD_BYTES_MAX: usize = 1024 * 1024;

#[derive(Deserialize)]
struct SchemaProbe {
    schema: u64,
}

/// Reads a record of any known schema.
///
/// # Errors
/// Names the line or the key at fault.
pub fn parse(bytes: &[u8]) -> Result<ServicePolicy> {
    if bytes.len() > RECORD_BYTES_MAX {
        return Err(ProtocolError::TooLarge {
            found: bytes.len(),
            bound: RECORD_BYTES_MAX,
        });
    }
    let not_text = |error: std::str::Utf8Error| ProtocolError::NotText {
        offset: error.valid_up_to(),
    };
    let text = std::str::from_utf8(bytes).map_err(not_text)?;
    let probe: SchemaProbe = serde_saphyr::from_str(text).map_err(|error| error::syntax(&error))?;
    match probe.schema {
        1 => schema1::parse(text),
        found => Err(ProtocolError::UnknownSchema { found }),
    }
}
