//! The commands and their arguments.

use crate::{
    check,
    error::{Result, usage},
    explain, fleet, policy, state,
};

use pico_args::Arguments;
use std::{net::SocketAddr, str::FromStr, time::Duration};

/// Text of `--help`.
pub const HELP: &str = "\
lagoonctl: reads lagoonshore nodes and checks what they will be given. It changes nothing.

USAGE:
  lagoonctl state ADDR [--part NAME] [--json] [--watch SECONDS]
  lagoonctl policy ADDR [--json] [--watch SECONDS]
  lagoonctl explain ADDR --service NAME --method METHOD --path PATH [--json]
  lagoonctl fleet ADDR... [--json] [--watch SECONDS]
  lagoonctl check settings FILE...
  lagoonctl check policy FILE...
  lagoonctl --help | --version

ADDR is the address of a node's admin door, such as 127.0.0.1:7004.

  state     state of one node, or one part of it
  policy    revisions in force at a node, and records that it refused
  explain   how a node would class and treat a request
  fleet     one line a node; marks nodes that disagree on a revision
  check     checks files offline, with the verdict that a node would give

EXAMPLES:
  lagoonctl state 127.0.0.1:7004 --part admission --watch 1
  lagoonctl explain 127.0.0.1:7004 --service medication-log --method POST --path /doses/17
  lagoonctl fleet 10.0.1.5:7004 10.0.2.5:7004 10.0.3.5:7004
  lagoonctl check policy records/*.yaml

EXIT CODES:
  0 good   1 checked and found bad, or no node answered   2 wrong use
";

/// `CommandRun` is a command that is ready to run, once or again and again.
pub struct CommandRun {
    /// Runs the command once.
    pub once: Box<dyn Fn() -> Result>,
    /// Pause between two runs; `None` to run once.
    pub watch: Option<Duration>,
}

/// Reads the command line.
///
/// # Errors
/// [`crate::CliError::Usage`] says what is wrong with it.
pub fn parse(mut arguments: Arguments) -> Result<CommandRun> {
    let command = arguments
        .subcommand()
        .map_err(|fault| usage(fault.to_string()))?;
    let watch = watch(&mut arguments)?;
    let once: Box<dyn Fn() -> Result> = match command.as_deref() {
        Some("state") => state::parse(arguments)?,
        Some("policy") => policy::parse(arguments)?,
        Some("explain") => explain::parse(arguments)?,
        Some("fleet") => fleet::parse(arguments)?,
        Some("check") => check::parse(arguments)?,
        Some(unknown) => return Err(usage(format!("unknown command {unknown}"))),
        None => return Err(usage("expected a command")),
    };
    Ok(CommandRun { once, watch })
}

/// Reads an option that takes a value.
///
/// # Errors
/// Names the option whose value cannot be read.
pub fn option<T: FromStr>(arguments: &mut Arguments, key: &'static str) -> Result<Option<T>> {
    let text: Option<String> = arguments
        .opt_value_from_str(key)
        .map_err(|fault| usage(fault.to_string()))?;
    let parse = |text: String| {
        text.parse()
            .map_err(|_| usage(format!("{key}: cannot read {text}")))
    };
    text.map(parse).transpose()
}

/// Reads an option that must be there.
///
/// # Errors
/// Names the option that is missing or cannot be read.
pub fn required<T: FromStr>(arguments: &mut Arguments, key: &'static str) -> Result<T> {
    option(arguments, key)?.ok_or_else(|| usage(format!("{key} is missing")))
}

/// Reads the addresses that end the command line.
///
/// # Errors
/// Names the argument that is no address.
pub fn addresses(arguments: Arguments) -> Result<Vec<SocketAddr>> {
    let words = arguments.finish();
    let parse = |word: &std::ffi::OsString| {
        let text = word.to_string_lossy();
        text.parse()
            .map_err(|_| usage(format!("{text} is not an address such as 127.0.0.1:7004")))
    };
    words.iter().map(parse).collect()
}

/// Reads the one address that ends the command line.
///
/// # Errors
/// Says that there is none, or more than one.
pub fn address(arguments: Arguments) -> Result<SocketAddr> {
    match addresses(arguments)?[..] {
        [address] => Ok(address),
        ref found => Err(usage(format!(
            "expected one address, found {}",
            found.len()
        ))),
    }
}

fn watch(arguments: &mut Arguments) -> Result<Option<Duration>> {
    let seconds: Option<f64> = option(arguments, "--watch")?;
    let Some(seconds) = seconds else {
        return Ok(None);
    };
    let pause = Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|pause| !pause.is_zero());
    pause
        .map(Some)
        .ok_or_else(|| usage("--watch: expected seconds above 0"))
}
