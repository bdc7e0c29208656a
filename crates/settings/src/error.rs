//! Errors of the settings.

use snafu::Snafu;
use std::path::PathBuf;

/// `SettingsError` says why settings cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// File with the settings.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The text does not have the form of settings.
    #[snafu(display("line {line}, column {column}: {message}"))]
    Syntax {
        /// Line of the fault, from 1.
        line: u64,
        /// Column of the fault, from 1.
        column: u64,
        /// What is wrong.
        message: String,
    },
    /// Values are out of range; every one of them is named.
    #[snafu(display("{}", join_errors(errors)))]
    Values {
        /// The values at fault, in the order of the keys.
        errors: Vec<ValueError>,
    },
}

/// `ValueError` describes one value that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError {
    /// Line of the value, from 1.
    pub line: u64,
    /// Path of the key.
    pub key: String,
    /// Value found.
    pub found: String,
    /// What is expected.
    pub expected: &'static str,
}

/// `Result` of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

pub(crate) fn syntax_error(error: &serde_saphyr::Error) -> SettingsError {
    let location = error.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
    let (line, column) = (location.line(), location.column());
    let text = error.without_snippet().to_string();
    let first = text.lines().next().unwrap_or_default();
    // The library repeats the location_suffix, which the error gives in its own form.
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
