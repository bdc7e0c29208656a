//! `lagoonctl check`: checks files offline, with the verdict that a node would give.

use crate::error::{CliError, Result, usage};

use lagoonshore_protocol::record;
use lagoonshore_settings::NodeSettings;
use pico_args::Arguments;
use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

type FileCheck = fn(&Path) -> Result<String, String>;

/// Reads the arguments of the command.
///
/// # Errors
/// Says what is wrong with them.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let kind = arguments
        .subcommand()
        .map_err(|fault| usage(fault.to_string()))?;
    let check: FileCheck = match kind.as_deref() {
        Some("settings") => check_settings,
        Some("policy") => check_policy,
        _ => return Err(usage("expected check settings or check policy")),
    };
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(usage("expected one file at least"));
    }
    Ok(Box::new(move || check_all(&files, check)))
}

fn check_all(files: &[PathBuf], check: FileCheck) -> Result {
    let mut good = String::new();
    let mut faults = Vec::new();
    for file in files {
        let name = file.display();
        match check(file) {
            Ok(summary) => {
                let _ = writeln!(good, "{name}: {summary}");
            }
            Err(text) => faults.extend(text.lines().map(|line| format!("{name}: {line}"))),
        }
    }
    if faults.is_empty() {
        return Ok(good);
    }
    Err(CliError::Bad {
        message: faults.join("\n"),
    })
}

fn check_settings(file: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(file).map_err(|fault| fault.to_string())?;
    let settings = NodeSettings::parse(&text).map_err(|fault| fault.to_string())?;
    Ok(format!("good settings of {}", settings.instance))
}

fn check_policy(file: &Path) -> Result<String, String> {
    let bytes = std::fs::read(file).map_err(|fault| fault.to_string())?;
    let policy = record::parse(&bytes).map_err(|fault| fault.to_string())?;
    Ok(format!(
        "good policy of {}, revision {}",
        policy.service, policy.revision
    ))
}
