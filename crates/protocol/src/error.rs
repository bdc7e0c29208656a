//! Errors of the protocol layer.

use lagoonshore_coordination::CoordinationError;
use snafu::Snafu;

/// `ProtocolError` says why bytes could not be turned into a message or record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProtocolError {
    /// The record is not text.
    #[snafu(display("the record is not UTF-8: byte {offset} is invalid"))]
    NotText {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The record is larger than the bound.
    #[snafu(display("the record has {found} bytes; at most {bound} are allowed"))]
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Bound in bytes.
        bound: usize,
    },
    /// The record cannot be parsed.
    #[snafu(display("line {line}, column {column}: {message}"))]
    Syntax {
        /// Line of the fault, from 1.
        line: u64,
        /// Column of the fault, from 1.
        column: u64,
        /// What is wrong.
        message: String,
    },
    /// The record was parsed but a value is out of range.
    #[snafu(display("{path}: found {found}, expected {expected}"))]
    Value {
        /// Path of the key.
        path: String,
        /// Value found.
        found: String,
        /// What is expected.
        expected: String,
    },
    /// The record was written for a schema version that this program does not know.
    #[snafu(display("schema: found {found}, expected 1 or 2"))]
    UnknownSchema {
        /// Version found.
        found: u64,
    },
    /// A decision below failed.
    #[snafu(display("{source}"), context(false))]
    Coordination {
        /// Cause in the coordination layer.
        source: CoordinationError,
    },
}

/// `Result` of the protocol layer.
pub type Result<T, E = ProtocolError> = std::result::Result<T, E>;

pub(crate) fn value(path: &str, found: &impl ToString, expected: &str) -> ProtocolError {
    let (path, expected) = (path.to_owned(), expected.to_owned());
    ProtocolError::Value {
        path,
        found: found.to_string(),
        expected,
    }
}

pub(crate) fn syntax(error: &serde_saphyr::Error) -> ProtocolError {
    let location = error.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
    let (line, column) = (location.line(), location.column());
    let message = error
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned();
    ProtocolError::Syntax {
        line,
        column,
        message,
    }
}
