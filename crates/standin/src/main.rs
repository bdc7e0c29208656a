//! Entry point of `lagoonshore-standin`.

use lagoonshore_standin::{caller, paired, platform, upstream};
use std::process::ExitCode;

const HELP: &str = "\
lagoonshore-standin: stand-ins for the platform, upstreams and callers, for tests and the demo

USAGE:
  lagoonshore-standin platform --fleet DIR --ready FILE
  lagoonshore-standin upstream --deployment FILE --service NAME --instance NAME
                               --outbound FILE --facts ADDR --ready FILE
                               [--listen ADDR] [--faults FILE]
  lagoonshore-standin caller   --deployment FILE --entries ADDR,ADDR --facts ADDR
                               [--seconds N] [--rate N] [--surge START:LENGTH:FACTOR]
                               [--seed N] [--only KIND,KIND]
                               [--upstreams ADDR,ADDR] [--report FILE]
  lagoonshore-standin paired   --direct ADDR --through ADDR --path PATH
                               [--host NAME] [--seconds N] [--rate N] [--report FILE]

  platform   serves DIR/records/NAME.yaml and DIR/instances/NAME.json, and counts runs by key;
             a file DIR/faults may hold 'down', 'stale' or 'slow MS'
  upstream   runs the routes of one service; a file --faults may hold 'slow FACTOR' or 'torn'
  caller     offers the traffic of the deployment and checks every response
  paired     makes the same call directly and through a node alternately, and compares the latency
  --ready    file to which the bound address is written once the stand-in listens
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let role = arguments.subcommand().ok().flatten().unwrap_or_default();
    let system = actix_rt::System::new();
    let result = match role.as_str() {
        "platform" => system.block_on(platform::run(arguments)),
        "upstream" => system.block_on(upstream::run(arguments)),
        "caller" => system.block_on(caller::run(arguments)),
        "paired" => system.block_on(paired::run(arguments)),
        _ => Err("expected platform, upstream, caller or paired; see --help".into()),
    };
    match result {
        Ok(code) => code,
        Err(message) => {
            eprintln!("lagoonshore-standin {role}: {message}");
            ExitCode::from(2)
        }
    }
}
