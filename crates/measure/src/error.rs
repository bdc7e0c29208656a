//! Errors of the measures.

use snafu::Snafu;
use std::path::PathBuf;

/// `MeasureError` says why a report cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum MeasureError {
    /// A file or folder cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// File or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file holds something other than a report.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// File.
        path: PathBuf,
        /// Cause.
        source: serde_json::Error,
    },
}

/// `Result` of the measures.
pub type Result<T, E = MeasureError> = std::result::Result<T, E>;
