//! Entry point of `lagoonshore-measure`.

use lagoonshore_measure::{measures, page, run_set::RunSet};
use pico_args::Arguments;
use std::{path::PathBuf, process::ExitCode};

const HELP: &str = "\
lagoonshore-measure: prints the table of measures, computed from the reports in a folder

USAGE:
  lagoonshore-measure --runs DIR --revision TEXT
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(page) => {
            print!("{page}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("lagoonshore-measure: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: Arguments) -> Result<String, String> {
    let folder: PathBuf = arguments
        .value_from_str("--runs")
        .map_err(|error| error.to_string())?;
    let revision: String = arguments
        .value_from_str("--revision")
        .map_err(|error| error.to_string())?;
    let rows = measures::compute_rows(&RunSet::new(folder)).map_err(|error| error.to_string())?;
    Ok(page::render(&rows, &revision))
}
