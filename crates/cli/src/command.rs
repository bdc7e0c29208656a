//! Command line of `lagoonctl`: help text and subcommands.

use crate::{
    account, argument_parser, check,
    error::{Result, usage_error},
    explain, fleet, policy, state,
};

use pico_args::Arguments;
use std::time::Duration;

/// Text that `--help` prints.
pub const HELP: &str = "\
lagoonctl: reads the state of lagoonshore nodes and checks their files. It changes nothing.

USAGE:
  lagoonctl state ADDR [--part NAME] [--json] [--watch SECONDS]
  lagoonctl policy ADDR [--json] [--watch SECONDS]
  lagoonctl explain ADDR --service NAME --method METHOD --path PATH [--json]
  lagoonctl explain ADDR --sidecar --host HOST --path PATH [--account NAME] [--json]
  lagoonctl account ADDR --sidecar [NAME] [--after NAME] [--json] [--watch SECONDS]
  lagoonctl fleet ADDR... [--json] [--watch SECONDS]
  lagoonctl check settings FILE...
  lagoonctl check policy FILE...
  lagoonctl --help | --version

ADDR is the address of a node's admin listener, such as 127.0.0.1:7004.

  state     state of one node, or one part of that state
  policy    revisions in force at a node, and records that the node refused
  explain   class and policy that a node would apply to a request; where a sidecar would send it
  account   what a sidecar knows of a client account, or the first 100 accounts after a name
  fleet     one line per node; marks revisions older than the newest one seen
  check     checks files offline by the rules that a node applies

EXAMPLES:
  lagoonctl state 127.0.0.1:7004 --part admission --watch 1
  lagoonctl explain 127.0.0.1:7004 --service medication-log --method POST --path /doses/17
  lagoonctl account 127.0.0.1:7004 --sidecar ward-12
  lagoonctl fleet 10.0.1.5:7004 10.0.2.5:7004 10.0.3.5:7004
  lagoonctl check policy records/*.yaml

EXIT CODES:
  0 success   1 a checked file is invalid, or no node returned the data   2 invalid command line
";

/// `CommandRun` is a parsed command that can run once or periodically.
pub struct CommandRun {
    /// Runs the command once and returns the text to print.
    pub run_once: Box<dyn Fn() -> Result>,
    /// Delay between two runs with `--watch`; `None` to run once.
    pub watch_interval: Option<Duration>,
}

/// Parses the command line.
///
/// # Errors
/// [`crate::CliError::Usage`] if the command is unknown or its arguments are invalid.
pub fn parse(mut arguments: Arguments) -> Result<CommandRun> {
    let command = arguments
        .subcommand()
        .map_err(|error| usage_error(error.to_string()))?;
    let watch_interval = parse_watch(&mut arguments)?;
    let run_once: Box<dyn Fn() -> Result> = match command.as_deref() {
        Some("state") => state::parse(arguments)?,
        Some("policy") => policy::parse(arguments)?,
        Some("account") => account::parse(arguments)?,
        Some("explain") => explain::parse(arguments)?,
        Some("fleet") => fleet::parse(arguments)?,
        Some("check") => check::parse(arguments)?,
        Some(unknown) => return Err(usage_error(format!("unknown command {unknown}"))),
        None => return Err(usage_error("expected a command")),
    };
    Ok(CommandRun {
        run_once,
        watch_interval,
    })
}

fn parse_watch(arguments: &mut Arguments) -> Result<Option<Duration>> {
    let seconds: Option<f64> = argument_parser::parse_option(arguments, "--watch")?;
    let Some(seconds) = seconds else {
        return Ok(None);
    };
    let interval = Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|interval| !interval.is_zero());
    interval
        .map(Some)
        .ok_or_else(|| usage_error("--watch: expected seconds above 0"))
}
