//! Reads the reports in a folder by row, mode and seed.

use crate::error::{MalformedSnafu, Result, UnreadableSnafu};

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// `ControlMode` is the mode in which the nodes of a run worked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMode {
    /// Admission, routing and retry decisions were applied.
    Enforce,
    /// Requests were passed through without decisions; the baseline.
    PassThrough,
}

impl ControlMode {
    /// Name in report file names and in the node settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Enforce => "enforce",
            Self::PassThrough => "pass-through",
        }
    }
}

/// `RunSet` is a folder with one report per file, named `ROW.MODE.SEED.json`.
#[derive(Clone, Debug)]
pub struct RunSet {
    folder: PathBuf,
}

impl RunSet {
    /// Creates a set over `folder`; files are read by [`Self::read_reports`].
    #[must_use]
    pub const fn new(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Reads the reports of a row in one mode, ordered by file name and so by the text of the seed.
    ///
    /// # Errors
    /// The folder or file that cannot be read, or the file that is not a report of type `T`.
    pub fn read_reports<T: DeserializeOwned>(
        &self,
        row: &str,
        mode: ControlMode,
    ) -> Result<Vec<T>> {
        let prefix = format!("{row}.{}.", mode.as_str());
        let mut paths = Vec::new();
        for entry in
            std::fs::read_dir(&self.folder).context(UnreadableSnafu { path: &self.folder })?
        {
            let path = entry
                .context(UnreadableSnafu { path: &self.folder })?
                .path();
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            if name.starts_with(&prefix) && name.ends_with(".json") {
                paths.push(path);
            }
        }
        paths.sort();
        paths.iter().map(|path| read_report(path)).collect()
    }
}

fn read_report<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read(path).context(UnreadableSnafu { path })?;
    serde_json::from_slice(&text).context(MalformedSnafu { path })
}
