//! The reports of one folder, by row, mode and seed.

use crate::error::{MalformedSnafu, Result, UnreadableSnafu};

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// `ControlMode` tells whether the nodes took decisions or passed everything through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMode {
    /// The nodes took their decisions.
    Enforce,
    /// The nodes passed everything through: the baseline.
    PassThrough,
}

impl ControlMode {
    /// Name in file names and settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Enforce => "enforce",
            Self::PassThrough => "pass-through",
        }
    }
}

/// `RunSet` is a folder with one report a file, named `ROW.MODE.SEED.json`.
#[derive(Clone, Debug)]
pub struct RunSet {
    folder: PathBuf,
}

impl RunSet {
    /// Creates a set of the reports in `folder`.
    #[must_use]
    pub const fn new(folder: PathBuf) -> Self {
        Self { folder }
    }

    /// Reports of a row in one mode, ordered by seed.
    ///
    /// # Errors
    /// Names the file or folder that cannot be read.
    pub fn reports<T: DeserializeOwned>(&self, row: &str, mode: ControlMode) -> Result<Vec<T>> {
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
        paths.iter().map(|path| read(path)).collect()
    }
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read(path).context(UnreadableSnafu { path })?;
    serde_json::from_slice(&text).context(MalformedSnafu { path })
}
