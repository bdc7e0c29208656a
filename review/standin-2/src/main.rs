//! Plays the cases of the second review that cannot be put as a day of the users' bench. Exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run.

mod caller;
mod cut_upload;
mod fleet;
mod http;
mod left_behind;
mod long_limit;
mod proxy;
mod record;
mod silent_links;
mod stale_route;
mod store;
mod upstream;

use std::{io::Result, path::Path, process::ExitCode};

/// Whether a case found the rule broken.
type Verdict = Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(Path::new(record_path)) {
        eprintln!("{record_path}: {error}");
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    fleet::watch_time();
    let verdict = match case.as_str() {
        "silent-links" => silent_links::play(has_trouble),
        "left-behind" => left_behind::play(has_trouble),
        "stale-route" => stale_route::play(has_trouble),
        "long-limit" => long_limit::play(has_trouble),
        "cut-upload" => cut_upload::play(has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    fleet::end_processes();
    match verdict {
        Ok(true) => {
            record::note("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record::note("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record::note(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
