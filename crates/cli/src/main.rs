//! `lagoonctl` checks settings and records and shows the state of nodes. It commands nothing.

mod check;
mod state;

use pico_args::Arguments;
use std::process::ExitCode;

const HELP: &str = "\
lagoonctl: reads lagoonshore nodes and checks what they will be given

USAGE:
  lagoonctl state ADDR [--part NAME] [--json]   state of the node with this admin door
  lagoonctl check settings FILE                 checks the settings of a node
  lagoonctl check policy FILE...                checks policy records
  lagoonctl --help | --version

EXIT CODES:
  0 good   1 checked and found bad   2 wrong use
";

/// `CommandEnd` tells how a command ended, with the message for an unsuccessful one.
pub(crate) enum CommandEnd {
    /// All is good.
    Good,
    /// Something was checked and found bad.
    Bad(String),
    /// The command line is wrong.
    Usage(String),
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("lagoonctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let command = arguments.subcommand().ok().flatten().unwrap_or_default();
    let end = match command.as_str() {
        "state" => state::run(arguments),
        "check" => check::run(arguments),
        "" => CommandEnd::Usage("expected a command".to_owned()),
        unknown => CommandEnd::Usage(format!("unknown command {unknown}")),
    };
    match end {
        CommandEnd::Good => ExitCode::SUCCESS,
        CommandEnd::Bad(message) => fail(&message, 1),
        CommandEnd::Usage(message) => fail(&format!("{message}; see lagoonctl --help"), 2),
    }
}

fn fail(message: &str, code: u8) -> ExitCode {
    eprintln!("lagoonctl: {message}");
    ExitCode::from(code)
}
