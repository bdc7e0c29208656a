//! `lagoonctl check`: checks files offline by the rules that a node applies to them.

use crate::error::{CliError, Result, usage_error};

use lagoonshore_protocol::record;
use lagoonshore_settings::NodeSettings;
use pico_args::Arguments;
use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

type FileCheck = fn(&Path) -> Result<String, String>;

/// Parses the arguments of `check`: the file type, then one or more paths.
///
/// # Errors
/// [`CliError::Usage`] if the file type is unknown or no path is given.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let kind = arguments
        .subcommand()
        .map_err(|error| usage_error(error.to_string()))?;
    let check: FileCheck = match kind.as_deref() {
        Some("settings") => check_settings,
        Some("policy") => check_policy,
        _ => return Err(usage_error("expected check settings or check policy")),
    };
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(usage_error("expected at least one file"));
    }
    Ok(Box::new(move || check_all(&files, check)))
}

fn check_all(files: &[PathBuf], check: FileCheck) -> Result {
    let mut summaries = String::new();
    let mut errors = Vec::new();
    for file in files {
        let name = file.display();
        match check(file) {
            Ok(summary) => {
                let _ = writeln!(summaries, "{name}: {summary}");
            }
            Err(text) => errors.extend(text.lines().map(|line| format!("{name}: {line}"))),
        }
    }
    if errors.is_empty() {
        return Ok(summaries);
    }
    Err(CliError::CheckFailed {
        message: errors.join("\n"),
    })
}

fn check_settings(file: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let settings = NodeSettings::parse(&text).map_err(|error| error.to_string())?;
    Ok(format!("good settings of {}", settings.instance))
}

fn check_policy(file: &Path) -> Result<String, String> {
    let bytes = std::fs::read(file).map_err(|error| error.to_string())?;
    let policy = record::parse(&bytes).map_err(|error| error.to_string())?;
    Ok(format!(
        "good policy of {}, revision {}",
        policy.service, policy.revision
    ))
}
