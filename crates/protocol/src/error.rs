//! Errors of the protocol layer.

use lagoonshore_coordination::CoordinationError;
use snafu::Snafu;

/// `ValueError` is one value of a record that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// Line of the value, from 1.
    pub line: u64,
    /// Column of the value, from 1.
    pub column: u64,
    /// Path of the key.
    pub path: String,
    /// Value found.
    pub found: String,
    /// What is expected.
    pub expected: String,
}

impl std::fmt::Display for ValueError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            column,
            path,
            found,
            expected,
        } = self;
        write!(
            formatter,
            "line {line}, column {column}: {path}: found {found}, expected {expected}"
        )
    }
}

/// `ProtocolError` says why bytes could not be turned into a message or record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProtocolError {
    /// The record is not text.
    #[snafu(display("the record is not UTF-8: byte {offset} is invalid"))]
    NotText {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The record is larger than the limit.
    #[snafu(display("the record has {found} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Bound in bytes.
        limit: usize,
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
    /// The record was parsed but values are out of range.
    #[snafu(display("{}", join_errors(errors)))]
    Values {
        /// The errors, by line; never empty.
        errors: Vec<ValueError>,
    },
    /// The record was written for a schema version that this program does not know.
    #[snafu(display("line {line}: schema: found {found}, expected 1 or 2"))]
    UnknownSchema {
        /// Line of the schema version, from 1.
        line: u64,
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

pub(crate) fn syntax_error(error: &serde_saphyr::Error) -> ProtocolError {
    let location = error.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
    let (line, column) = (location.line(), location.column());
    let text = error.to_string();
    let message = strip_location(text.lines().next().unwrap_or_default()).to_owned();
    ProtocolError::Syntax {
        line,
        column,
        message,
    }
}

/// Drops the location that the parser puts before its message, such as `error: line 3 column 4: `.
fn strip_location(message: &str) -> &str {
    let rest = message.strip_prefix("error: ").unwrap_or(message);
    let Some((location, cause)) = rest.split_once(": ") else {
        return rest;
    };
    if location.starts_with("line ") && location.contains(" column ") {
        cause
    } else {
        rest
    }
}

fn join_errors(errors: &[ValueError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
