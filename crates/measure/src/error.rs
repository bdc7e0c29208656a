//! Errors of reading reports.

use snafu::Snafu;
use std::path::PathBuf;

/// `MeasureError` is the reason why a report cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// A file or folder cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A file is not a report in JSON of the expected type.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser, with line and column.
        source: serde_json::Error,
    },
}

/// `Result` of reading reports and computing measures.
pub type Result<T, E = MeasureError> = std::result::Result<T, E>;
