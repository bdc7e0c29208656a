//! `lagoonshored` is the node that runs beside one upstream instance.

use lagoonshore_daemon::{node_process, observation::logging};
use lagoonshore_settings::{NodeSettings, SettingsError};
use pico_args::Arguments;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

const HELP: &str = "\
lagoonshored: the lagoonshore node beside one upstream instance

USAGE:
  lagoonshored --settings FILE [--check]

OPTIONS:
  --settings FILE  settings file in YAML
  --check          check the settings and exit
  --help           print this text
  --version        print the version

EXIT CODES:
  0 planned stop or valid settings   1 invalid settings or failed start   2 wrong usage
";

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

struct CommandLine {
    settings: PathBuf,
    check: bool,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("lagoonshored {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match parse(arguments) {
        Ok(line) => start(&line),
        Err(message) => fail(&format!("{message}; see --help"), EXIT_USAGE),
    }
}

fn parse(mut arguments: Arguments) -> Result<CommandLine, String> {
    let settings = arguments
        .value_from_str("--settings")
        .map_err(|error| error.to_string())?;
    let check = arguments.contains("--check");
    let rest = arguments.finish();
    match rest.first() {
        Some(unknown) => Err(format!("unknown argument {}", unknown.display())),
        None => Ok(CommandLine { settings, check }),
    }
}

fn start(line: &CommandLine) -> ExitCode {
    let settings = match NodeSettings::load(&line.settings) {
        Ok(settings) => settings,
        Err(error @ SettingsError::Unreadable { .. }) => {
            return fail(&error.to_string(), EXIT_FAILURE);
        }
        Err(error) => return fail(&with_file_name(&line.settings, &error), EXIT_FAILURE),
    };
    if line.check {
        println!("{}: the settings are valid", line.settings.display());
        return ExitCode::SUCCESS;
    }
    logging::install(&settings.log);
    match actix_rt::System::new().block_on(node_process::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string(), EXIT_FAILURE),
    }
}

/// Prefixes each line of an error with the file name.
fn with_file_name(file: &Path, error: &SettingsError) -> String {
    let text = error.to_string();
    let lines = text
        .lines()
        .map(|line| format!("{}: {line}", file.display()));
    lines.collect::<Vec<_>>().join("\n")
}

fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("lagoonshored: {message}");
    ExitCode::from(code)
}
