//! Scenarios of policy distribution between nodes, written as goldenscript. The command `run
//! SECONDS` advances the clock.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::FakeFleet;
use goldenscript::{Command, Context, Runner};
use std::{collections::BTreeMap, error::Error, fmt::Write, time::Duration};

const SERVICE: &str = "medication-log";
const SEED: u64 = 11;

struct FleetRunner {
    fleet: FakeFleet,
}

impl FleetRunner {
    fn node(&self, name: Option<&str>) -> Result<usize, Box<dyn Error>> {
        let name = name.ok_or("a node is missing")?;
        let mut nodes = self.fleet.nodes.iter();
        let found = nodes.position(|node| node.record.name == format!("{SERVICE}-{name}"));
        Ok(found.ok_or_else(|| format!("unknown node {name}"))?)
    }

    /// Returns the nodes grouped by state.
    fn show(&self) -> String {
        let mut groups: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for node in &self.fleet.nodes {
            let entry = node.policies.get(SERVICE);
            let held = entry.map_or("nothing".to_owned(), |entry| {
                String::from_utf8_lossy(&entry.bytes).into_owned()
            });
            let state = match (node.up, node.paused, node.is_ready()) {
                (false, ..) => "stopped",
                (_, true, _) => "paused",
                (.., true) => "ready",
                _ => "starting",
            };
            let error = node.errors.get(SERVICE).map_or("", String::as_str);
            let name = node
                .record
                .name
                .trim_start_matches(SERVICE)
                .trim_start_matches('-');
            groups
                .entry(format!("{held}, {state}, {error}"))
                .or_default()
                .push(name);
        }
        let mut text = String::new();
        for (state, names) in groups {
            let state = state.trim_end_matches(", ");
            let _ = writeln!(text, "{}: {state}", names.join(" "));
        }
        text
    }

    fn members(&self) -> String {
        let mut text = String::new();
        for node in self.fleet.nodes.iter().filter(|node| node.is_running()) {
            let known: Vec<_> = node
                .table
                .iter()
                .map(|(_, record)| {
                    record
                        .name
                        .trim_start_matches(SERVICE)
                        .trim_start_matches('-')
                })
                .collect();
            let name = node
                .record
                .name
                .trim_start_matches(SERVICE)
                .trim_start_matches('-');
            let _ = writeln!(text, "{name} knows {}", known.join(" "));
        }
        text
    }
}

impl Runner for FleetRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let mut next = || arguments.next_pos().map(str::to_owned);
        let fleet = &mut self.fleet;
        let mut output = String::new();
        match command.name.as_str() {
            "nodes" => {
                while let Some(name) = next() {
                    let (zone, number) = name.split_once('-').ok_or("ZONE-NUMBER")?;
                    fleet.add(SERVICE, zone, number.parse()?);
                }
            }
            "publish" => {
                let revision = next().ok_or("publish REVISION TEXT")?.parse()?;
                fleet.publish(SERVICE, revision, &next().ok_or("publish REVISION TEXT")?);
            }
            "platform" => match next().as_deref() {
                Some("up") => fleet.platform.up = true,
                Some("down") => fleet.platform.up = false,
                Some("keep-copy") => {
                    let copy = fleet.platform.clone();
                    fleet.platform.older = Some(Box::new(copy));
                }
                Some("stale") => fleet.platform.is_stale = true,
                Some("fresh") => fleet.platform.is_stale = false,
                _ => return Err("platform up|down|keep-copy|stale|fresh".into()),
            },
            "only-reader" => {
                let reader = next().map(|name| format!("{SERVICE}-{name}"));
                fleet.platform.only_reader = reader;
            }
            "partition-platform" => {
                fleet
                    .platform
                    .partitioned_zones
                    .insert(next().ok_or("partition-platform ZONE")?.into());
            }
            "partition" => {
                let (left, right) = (
                    next().ok_or("partition A B")?,
                    next().ok_or("partition A B")?,
                );
                fleet.partitions.insert((left.into(), right.into()));
            }
            "heal" => {
                fleet.partitions.clear();
                fleet.platform.partitioned_zones.clear();
            }
            "list" => {
                fleet.platform.index += 1;
                let index = fleet.platform.index;
                let mut names = Vec::new();
                while let Some(name) = next() {
                    names.push(format!("{SERVICE}-{name}"));
                }
                let records = fleet.nodes.iter().map(|node| node.record.clone());
                let listed = records.filter(|record| names.contains(&record.name.to_string()));
                fleet
                    .platform
                    .lists
                    .insert(SERVICE.into(), (index, listed.collect()));
            }
            "stop" => {
                let node = self.node(next().as_deref())?;
                self.fleet.nodes[node].up = false;
            }
            "restart" => {
                let node = self.node(next().as_deref())?;
                self.fleet.restart(node);
            }
            "pause" => {
                let node = self.node(next().as_deref())?;
                self.fleet.nodes[node].paused = true;
            }
            "resume" => {
                let node = self.node(next().as_deref())?;
                self.fleet.nodes[node].paused = false;
            }
            "run" => {
                let seconds: f64 = next().ok_or("run SECONDS")?.parse()?;
                fleet.run(Duration::from_secs_f64(seconds));
            }
            "show" => output = self.show(),
            "members" => output = self.members(),
            name => return Err(format!("unknown command {name}").into()),
        }
        arguments.reject_next()?;
        Ok(output)
    }
}

fn run(name: &str) {
    let fleet = FakeFleet::new(SEED);
    let path = format!("tests/scripts/policy_{name}");
    goldenscript::run(&mut FleetRunner { fleet }, path)
        .expect("the golden script must be readable");
}

#[test]
fn platform_outages() {
    run("outages");
}

#[test]
fn revisions_only_rise() {
    run("revisions");
}

#[test]
fn partitioned_zones() {
    run("partitions");
}

#[test]
fn the_instance_list_is_treated_as_a_hint() {
    run("membership");
}
