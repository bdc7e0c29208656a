//! Errors of the protocol layer.

use lagoonshore_coordination::CoordinationError;
use snafu::Snafu;

/// `ValueError` describes one value of a record that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// Line of the value, from 1.
    pub line: u64,
    /// Column of the value, from 1.
    pub column: u64,
    /// Path of the key from the root of the record, such as `spec.lanes[1].share`.
    pub path: String,
    /// The value as written, or a description of what was found.
    pub found: String,
    /// Description of the accepted values.
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

/// `ProtocolError` is the reason why bytes could not be decoded into a message or a record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ProtocolError {
    /// The record is not valid UTF-8.
    #[snafu(display("the record is not UTF-8: byte {offset} is invalid"))]
    NotText {
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The record exceeds the size limit.
    #[snafu(display("the record has {found} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Largest size accepted, in bytes.
        limit: usize,
    },
    /// The record is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[snafu(display("line {line}, column {column}: {message}"))]
    Syntax {
        /// Line of the error, from 1.
        line: u64,
        /// Column of the error, from 1.
        column: u64,
        /// Message of the parser, without the location.
        message: String,
    },
    /// The record was parsed, but some of its values are not accepted.
    #[snafu(display("{}", join_errors(errors)))]
    Values {
        /// The errors in order of line and column; never empty.
        errors: Vec<ValueError>,
    },
    /// The schema version of the record is not supported.
    #[snafu(display("line {line}: schema: found {found}, expected 1 or 2"))]
    UnknownSchema {
        /// Line of the schema version, from 1.
        line: u64,
        /// Version found.
        found: u64,
    },
    /// An error of the coordination layer.
    #[snafu(display("{source}"), context(false))]
    Coordination {
        /// The underlying error.
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
