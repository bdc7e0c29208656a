//! Errors of reading settings.

use snafu::Snafu;
use std::path::PathBuf;

/// `SettingsError` is the reason why settings were not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The text is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[snafu(display("line {line}, column {column}: {message}"))]
    Syntax {
        /// Line of the error, from 1.
        line: u64,
        /// Column of the error, from 1.
        column: u64,
        /// Message of the parser, without the location.
        message: String,
    },
    /// The text was parsed, but some values are not accepted.
    #[snafu(display("{}", join_errors(errors)))]
    Values {
        /// The errors, in the order of the checks; never empty.
        errors: Vec<ValueError>,
    },
}

/// `ValueError` describes one value that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// Line of the value, from 1.
    pub line: u64,
    /// Path of the key, such as `listen.admin`.
    pub key: String,
    /// The value as written.
    pub found: String,
    /// Description of the accepted values.
    pub expected: &'static str,
}

/// `Result` of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

pub(crate) fn syntax_error(error: &serde_saphyr::Error) -> SettingsError {
    let location = error.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
    let (line, column) = (location.line(), location.column());
    let text = error.without_snippet().to_string();
    let first = text.lines().next().unwrap_or_default();
    // The message of the parser ends with the location, which `SettingsError` displays itself.
    let location_suffix = format!(" at line {line}, column {column}");
    let message = first
        .strip_suffix(&location_suffix)
        .unwrap_or(first)
        .to_owned();
    SettingsError::Syntax {
        line,
        column,
        message,
    }
}

fn join_errors(errors: &[ValueError]) -> String {
    let line = |error: &ValueError| {
        let ValueError {
            line,
            key,
            found,
            expected,
        } = error;
        format!("line {line}: {key}: found {found:?}, expected {expected}")
    };
    errors.iter().map(line).collect::<Vec<_>>().join("\n")
}
