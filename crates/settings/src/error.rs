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
    /// The text is not valid settings.
    #[snafu(display("line {line}, column {column}: {message}"))]
    Syntax {
        /// Line of the fault, from 1.
        line: u64,
        /// Column of the fault, from 1.
        column: u64,
        /// What is wrong.
        message: String,
    },
    /// A value is out of range.
    #[snafu(display("{key}: found {found}, expected {expected}"))]
    Value {
        /// Path of the key.
        key: String,
        /// Value found.
        found: String,
        /// What is expected.
        expected: String,
    },
}

/// `Result` of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;
