//! Overload scenarios in a chain of three nodes, written as goldenscript. In each scenario, every
//! node is checked for admitting a less important request after refusing a more important one for
//! overload.

mod support;

use goldenscript::{Command, Context, Runner};
use lagoonshore_coordination::admission::admission_control::AdmissionFeatures;
use lagoonshore_state::queue::QueueOrder;
use std::{error::Error, fmt::Write, time::Duration};
use support::chain_model::{ChainModel, ModelClass, ModelCount};

const SLOTS: u32 = 75;

/// Runs the commands of a scenario against one simulated chain.
struct ChainRunner {
    model: ChainModel,
}

fn millis(times: &[u64]) -> Vec<Duration> {
    times.iter().copied().map(Duration::from_millis).collect()
}

fn class(name: &str, importance: u8, timeout: u64, work: &[u64]) -> ModelClass {
    ModelClass {
        name: name.into(),
        importance,
        timeout: Duration::from_millis(timeout),
        work: millis(work),
        lane: "short",
    }
}

/// Returns the classes for dose entries, day views, and reports, which are long-running but listed
/// in the short lane.
fn classes() -> Vec<ModelClass> {
    vec![
        class("dose", 0, 2000, &[20, 20]),
        class("view", 3, 1000, &[20, 20, 250]),
        class("report", 5, 20_000, &[5000]),
    ]
}

fn features(name: &str) -> Result<AdmissionFeatures, String> {
    let full = AdmissionFeatures::default();
    match name {
        "full" => Ok(full),
        "earliest-deadline" => Ok(AdmissionFeatures {
            sets_level: false,
            overload_order: QueueOrder::EarliestDeadline,
            ..full
        }),
        "earliest-deadline-no-costs" => Ok(AdmissionFeatures {
            learns_costs: false,
            ..features("earliest-deadline")?
        }),
        "newest-first-no-costs" => Ok(AdmissionFeatures {
            learns_costs: false,
            ..features("newest-first")?
        }),
        "newest-first" => Ok(AdmissionFeatures {
            sets_level: false,
            normal_order: QueueOrder::NewestFirst,
            ..full
        }),
        "none" => Ok(AdmissionFeatures {
            learns_costs: false,
            sets_level: false,
            adapts_limit: false,
            overload_order: QueueOrder::OldestFirst,
            normal_order: QueueOrder::OldestFirst,
        }),
        name => Err(format!("unknown features {name}")),
    }
}

impl ChainRunner {
    fn new() -> Self {
        let model = ChainModel::new(classes(), SLOTS, AdmissionFeatures::default());
        Self { model }
    }

    /// Simulates `seconds` and prints the completed and offered requests of each second.
    fn run(&mut self, seconds: u32, rates: &[f64]) -> String {
        let mut text = String::new();
        for _ in 0..seconds {
            for count in &mut self.model.counts {
                *count = ModelCount::default();
            }
            self.model.runs = [0; 3];
            self.model.run(rates, Duration::from_secs(1));
            for (class, count) in self.model.classes.iter().zip(&self.model.counts) {
                let _ = write!(
                    text,
                    "{} {}/{}  ",
                    class.name, count.completed, count.offered
                );
            }
            let [entry, middle, deep] = self.model.runs;
            let _ = writeln!(text, "runs {entry} {middle} {deep}");
        }
        text
    }
}

impl Runner for ChainRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let output = match command.name.as_str() {
            "chain" => {
                let features = features(arguments.next_pos().ok_or("chain FEATURES")?)?;
                self.model = ChainModel::new(classes(), SLOTS, features);
                self.model.retries = arguments.take_key("retries").unwrap_or("0").parse()?;
                String::new()
            }
            "slow-start" => {
                for node in 0..3 {
                    self.model.control(node).slow_start();
                }
                String::new()
            }
            "slowdown" => {
                self.model.slowdown = arguments.next_pos().ok_or("slowdown FACTOR")?.parse()?;
                String::new()
            }
            "latency" => {
                let mut text = String::new();
                for (class, count) in self.model.classes.iter().zip(&self.model.counts) {
                    let mean = count.latency / count.completed.max(1);
                    let _ = writeln!(text, "{} mean {} ms", class.name, mean.as_millis());
                }
                text
            }
            "run" => {
                let seconds = arguments.next_pos().ok_or("run SECONDS")?.parse()?;
                let mut rates = [0.0; 3];
                for (rate, name) in rates.iter_mut().zip(["dose", "view", "report"]) {
                    *rate = arguments.take_key(name).unwrap_or("0").parse()?;
                }
                self.run(seconds, &rates)
            }
            name => return Err(format!("unknown command {name}").into()),
        };
        arguments.reject_next()?;
        Ok(output)
    }
}

#[rstest::rstest]
#[case("metastable")]
#[case("metastable_without")]
#[case("surge")]
#[case("slow_deep")]
#[case("long_flood")]
#[case("cold_start")]
#[case("order")]
fn scenario(#[case] name: &str) {
    let path = format!("tests/scripts/overload_{name}");
    goldenscript::run(&mut ChainRunner::new(), path).expect("the golden script must be readable");
}
