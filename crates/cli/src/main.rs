//! Command line of `lagoonctl`.

use lagoonshore_cli::{
    CliError,
    command::{self, CommandRun, HELP},
};
use pico_args::Arguments;
use std::process::ExitCode;

/// Clears the terminal and moves to its top (ECMA-48).
const CLEAR: &str = "\x1b[2J\x1b[H";

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
    match command::parse(arguments).and_then(|command| run(&command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fail(&fault),
    }
}

fn run(command: &CommandRun) -> Result<(), CliError> {
    let Some(pause) = command.watch else {
        print!("{}", (command.once)()?);
        return Ok(());
    };
    loop {
        match (command.once)() {
            Ok(text) => print!("{CLEAR}{text}"),
            Err(fault) => println!("{CLEAR}{fault}"),
        }
        actix_rt::System::new().block_on(actix_rt::time::sleep(pause));
    }
}

fn fail(fault: &CliError) -> ExitCode {
    for line in fault.to_string().lines() {
        eprintln!("lagoonctl: {line}");
    }
    ExitCode::from(fault.exit_code())
}
