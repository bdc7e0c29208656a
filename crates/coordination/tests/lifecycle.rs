//! Golden scripts for the lifecycle of a node, the health of its upstream and the detection of
//! process pauses. The command `at MS` sets the clock.

use goldenscript::{Command, Context, Runner};
use lagoonshore_coordination::{
    lifecycle::{drain::DrainControl, drain_state::DrainCause, pause_detector::PauseDetector},
    protection::upstream_health::{DispatchResult, HealthControl, ProbeResult},
    request::outcome::RefusalReason,
};
use std::{error::Error, time::Duration};
use tokio::time::Instant;

struct LifecycleRunner {
    drain: DrainControl,
    health: HealthControl,
    pause: PauseDetector,
    origin: Instant,
    now: Instant,
}

impl LifecycleRunner {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            drain: DrainControl::default(),
            health: HealthControl::default(),
            pause: PauseDetector::default(),
            origin: now,
            now,
        }
    }

    fn describe_state(&self) -> String {
        let refusal = self.drain.refusal().map(RefusalReason::as_str);
        format!(
            "{:?}, refuses: {}",
            self.drain.state(),
            refusal.unwrap_or("no")
        )
    }
}

fn parse_cause(name: &str) -> Result<DrainCause, String> {
    match name {
        "stop" => Ok(DrainCause::PlannedStop),
        "platform" => Ok(DrainCause::PlatformLeaving),
        "upstream" => Ok(DrainCause::UpstreamLeaving),
        "paused" => Ok(DrainCause::ProcessPaused),
        name => Err(format!("unknown cause {name}")),
    }
}

impl Runner for LifecycleRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let mut next = || arguments.next_pos().ok_or("an argument is missing");
        let output = match command.name.as_str() {
            "at" => {
                self.now = self.origin + Duration::from_millis(next()?.parse()?);
                String::new()
            }
            "start-serving" => match self.drain.start_serving() {
                Ok(()) => self.describe_state(),
                Err(error) => error.to_string(),
            },
            "add-cause" => {
                self.drain.add_cause(parse_cause(next()?)?);
                self.describe_state()
            }
            "remove-cause" => {
                self.drain.remove_cause(parse_cause(next()?)?);
                self.describe_state()
            }
            "finish" => match self.drain.finish() {
                Ok(()) => self.describe_state(),
                Err(error) => error.to_string(),
            },
            "probe" => {
                let result = match next()? {
                    "good" => ProbeResult::Good,
                    "503" => ProbeResult::Draining,
                    "refused" => ProbeResult::Refused,
                    _ => ProbeResult::Unclear,
                };
                let change = self.health.record_probe(self.now, result);
                format!("{:?} {change:?}", self.health.state())
            }
            "dispatch" => {
                let result = match next()? {
                    "answered" => DispatchResult::Answered,
                    _ => DispatchResult::Refused,
                };
                let change = self.health.record_dispatch(self.now, result);
                format!("{:?} {change:?}", self.health.state())
            }
            "overdue" => self.pause.is_overdue(self.now).to_string(),
            "tick" => format!("paused: {}", self.pause.tick(self.now)),
            name => return Err(format!("unknown command {name}").into()),
        };
        arguments.reject_next()?;
        Ok(if output.is_empty() {
            output
        } else {
            output + "\n"
        })
    }
}

#[test]
fn only_defined_lifecycle_transitions_are_allowed() {
    run("transitions");
}

#[test]
fn dispatch_results_take_precedence_over_probes() {
    run("health");
}

#[test]
fn a_pause_is_detected_before_the_next_tick() {
    run("pause");
}

fn run(name: &str) {
    let path = format!("tests/scripts/lifecycle_{name}");
    goldenscript::run(&mut LifecycleRunner::new(), path)
        .expect("the golden script must be readable");
}
