//! Stand-ins and drivers of the cases of the review. A driver starts the project's program as
//! separate processes, plays the store, the backends and the clients, and checks one rule.

mod backend;
mod bystander;
mod fleet;
mod http;
mod memory;
mod poison;
mod record;
mod silent_config;
mod silent_store;
mod site;
mod store;
mod watch_cut;

use record::Record;
use std::{path::Path, process::ExitCode};

/// `Outcome` is the result of a run that could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

impl Outcome {
    fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

/// Usage: `lagoonshore-review CASE RECORD`; the variable `TROUBLE` set to 0 leaves the disruption out.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: lagoonshore-review CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let result = match case.as_str() {
        "bystander" => bystander::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        "poison" => poison::run(&record, has_trouble),
        "silent-config" => silent_config::run(&record, has_trouble),
        "silent-store" => silent_store::run(&record, has_trouble),
        "watch-cut" => watch_cut::run(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(Outcome::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
