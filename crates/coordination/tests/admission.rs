//! Golden scripts for admission control: order of the queue, lanes, deadlines, fairness, admission
//! level and adaptive limit. The command `at MS` sets the clock.

use goldenscript::{Command, Context, Runner};
use lagoonshore_coordination::admission::admission_control::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueChange,
};
use lagoonshore_state::{
    ids::ClassName,
    policy::LanePolicy,
    queue::EntryKey,
    service_cost::ServiceSample,
    units::{RequestImportance, SlotCount},
};
use std::{collections::BTreeMap, error::Error, fmt::Write, time::Duration};
use tokio::time::Instant;

/// Runs the commands of a script against one admission control.
struct AdmissionRunner {
    control: AdmissionControl,
    origin: Instant,
    now: Instant,
    names: BTreeMap<EntryKey, String>,
}

impl AdmissionRunner {
    fn new() -> Self {
        let now = Instant::now();
        let control = AdmissionControl::new(SlotCount(1));
        Self {
            control,
            origin: now,
            now,
            names: BTreeMap::new(),
        }
    }

    fn describe(&self, change: &QueueChange) -> String {
        let mut text = String::new();
        for entry in &change.admitted {
            let _ = writeln!(text, "{} admitted", self.names[&entry.key]);
        }
        for (key, reason) in &change.refused {
            let _ = writeln!(text, "{} refused: {}", self.names[key], reason.as_str());
        }
        text
    }

    fn short_request(deadline: Instant, caller: u64) -> AdmissionRequest {
        AdmissionRequest {
            importance: RequestImportance(3),
            class: "view".into(),
            caller,
            lane: "short".into(),
            timeout: Duration::from_secs(1),
            deadline,
        }
    }

    fn offer(&mut self, name: &str, request: AdmissionRequest) -> String {
        let mut change = QueueChange::default();
        let decision = self.control.offer(self.now, request, &mut change);
        let text = match decision {
            AdmissionDecision::Admitted => format!("{name} admitted\n"),
            AdmissionDecision::Refused(reason) => format!("{name} refused: {}\n", reason.as_str()),
            AdmissionDecision::Queued(key) => {
                self.names.insert(key, name.to_owned());
                format!("{name} queued\n")
            }
        };
        self.describe(&change) + &text
    }
}

impl Runner for AdmissionRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let output = match command.name.as_str() {
            "at" => {
                let millis: u64 = arguments.next_pos().ok_or("at MS")?.parse()?;
                self.now = self.origin + Duration::from_millis(millis);
                let change = self.control.refill(self.now);
                self.describe(&change)
            }
            "slots" => {
                let slots = SlotCount(arguments.next_pos().ok_or("slots N")?.parse()?);
                let mut lanes = Vec::new();
                while let Some((name, share)) = arguments.next_key() {
                    lanes.push(LanePolicy {
                        name: name.into(),
                        share: share.parse()?,
                    });
                }
                self.control.configure(slots, &lanes);
                String::new()
            }
            "offer" => {
                let name = arguments.next_pos().ok_or("offer NAME")?;
                let importance = arguments.take_key("importance").unwrap_or("3").parse()?;
                let deadline = arguments.take_key("deadline").unwrap_or("1000").parse()?;
                let timeout = arguments.take_key("timeout").unwrap_or("1000").parse()?;
                let lane = arguments.take_key("lane").unwrap_or("short").into();
                let class: ClassName = arguments.take_key("class").unwrap_or("view").into();
                let caller = arguments.take_key("caller").unwrap_or("0").parse()?;
                let request = AdmissionRequest {
                    importance: RequestImportance(importance),
                    lane: self.control.lane_for(&class, &lane),
                    class,
                    caller,
                    timeout: Duration::from_millis(timeout),
                    deadline: self.origin + Duration::from_millis(deadline),
                };
                self.offer(name, request)
            }
            "release" => {
                let lane = arguments.next_pos().unwrap_or("short");
                let change = self.control.release(self.now, lane);
                self.describe(&change)
            }
            "record" => {
                let class: ClassName = arguments.next_pos().ok_or("record CLASS MS")?.into();
                let millis: u64 = arguments.next_pos().ok_or("record CLASS MS")?.parse()?;
                let time = Duration::from_millis(millis);
                let sample = ServiceSample {
                    total: time,
                    own: time,
                    succeeded: true,
                };
                let lane = "short".into();
                self.control.record(self.now, &class, &lane, sample);
                String::new()
            }
            "offer-batch" => {
                let count: u32 = arguments.next_pos().ok_or("offer-batch N")?.parse()?;
                let requests = (0..count).map(|number| {
                    let name = format!("work-{number}");
                    let deadline = self.origin + Duration::from_mins(1);
                    (name, Self::short_request(deadline, 0))
                });
                let requests: Vec<_> = requests.collect();
                let texts = requests
                    .into_iter()
                    .map(|(name, request)| self.offer(&name, request));
                texts.collect()
            }
            "slow-start" => {
                self.control.slow_start();
                String::new()
            }
            "limit" => format!("limit {}\n", self.control.limit().0),
            "level" => {
                let level = self.control.level();
                format!("level {} parts {}\n", level.importance.0, level.parts)
            }
            name => return Err(format!("unknown command {name}").into()),
        };
        arguments.reject_next()?;
        Ok(output)
    }
}

#[rstest::rstest]
#[case("importance")]
#[case("lanes")]
#[case("deadline")]
#[case("fairness")]
#[case("level")]
#[case("learned_lane")]
#[case("cold_start")]
#[case("adaptive_limit")]
fn scenario(#[case] name: &str) {
    let path = format!("tests/scripts/admission_{name}");
    goldenscript::run(&mut AdmissionRunner::new(), path)
        .expect("the golden script must be readable");
}
