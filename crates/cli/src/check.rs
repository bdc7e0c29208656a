//! Checks settings and policy records offline, with the verdict that a node would give.

use crate::CommandEnd;

use lagoonshore_protocol::record;
use lagoonshore_settings::NodeSettings;
use pico_args::Arguments;
use std::path::{Path, PathBuf};

/// Runs `lagoonctl check`.
pub(crate) fn run(mut arguments: Arguments) -> CommandEnd {
    let kind = arguments.subcommand().ok().flatten().unwrap_or_default();
    let check = match kind.as_str() {
        "settings" => check_settings,
        "policy" => check_policy,
        _ => return CommandEnd::Usage("expected check settings or check policy".to_owned()),
    };
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return CommandEnd::Usage("expected a file".to_owned());
    }
    let faults: Vec<String> = files
        .iter()
        .filter_map(|file| report(file, check(file)))
        .collect();
    if faults.is_empty() {
        CommandEnd::Good
    } else {
        CommandEnd::Bad(faults.join("\nlagoonctl: "))
    }
}

fn report(file: &Path, checked: Result<String, String>) -> Option<String> {
    match checked {
        Ok(summary) => {
            println!("{}: {summary}", file.display());
            None
        }
        Err(fault) => Some(format!("{}: {fault}", file.display())),
    }
}

fn check_settings(file: &Path) -> Result<String, String> {
    let settings = NodeSettings::load(file).map_err(|fault| fault.to_string())?;
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
