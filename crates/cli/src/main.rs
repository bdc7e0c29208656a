//! Entry point of `lagoonctl`.

use lagoonshore_cli::{
    CliError,
    command::{self, CommandRun, HELP},
};
use pico_args::Arguments;
use std::process::ExitCode;

/// Control sequences (ECMA-48) that erase the display and move the cursor to the top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

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
        Err(error) => print_error(&error),
    }
}

fn run(command: &CommandRun) -> Result<(), CliError> {
    let Some(interval) = command.watch_interval else {
        print!("{}", (command.run_once)()?);
        return Ok(());
    };
    loop {
        match (command.run_once)() {
            Ok(text) => print!("{CLEAR_SCREEN}{text}"),
            Err(error) => println!("{CLEAR_SCREEN}{error}"),
        }
        actix_rt::System::new().block_on(actix_rt::time::sleep(interval));
    }
}

fn print_error(error: &CliError) -> ExitCode {
    for line in error.to_string().lines() {
        eprintln!("lagoonctl: {line}");
    }
    ExitCode::from(error.exit_code())
}
