//! `lagoonctl fleet`: one line a node, with marks where nodes disagree.

use crate::{
    command,
    error::{CliError, Result, usage},
    node_reader,
    text_table::{TextTable, plain},
};

use futures::future::join_all;
use pico_args::Arguments;
use serde_json::Value;
use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

type NodeAnswer = (SocketAddr, Result<Value>);

/// Reads the arguments of the command.
///
/// # Errors
/// Says what is wrong with them.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let as_json = arguments.contains("--json");
    let addresses = command::addresses(arguments)?;
    if addresses.is_empty() {
        return Err(usage("expected the address of one admin door at least"));
    }
    Ok(Box::new(move || {
        let answers = actix_rt::System::new().block_on(read_all(&addresses));
        if let Some(fault) = all_failed(&answers) {
            return Err(fault);
        }
        Ok(if as_json {
            format!("{:#}\n", to_json(&answers))
        } else {
            render(&answers)
        })
    }))
}

async fn read_all(addresses: &[SocketAddr]) -> Vec<NodeAnswer> {
    let reads = addresses
        .iter()
        .map(|address| async move { (*address, node_reader::fetch(*address, "/state").await) });
    join_all(reads).await
}

fn all_failed(answers: &[NodeAnswer]) -> Option<CliError> {
    let failed = answers.iter().all(|(_, answer)| answer.is_err());
    answers
        .iter()
        .find_map(|(_, answer)| answer.clone().err())
        .filter(|_| failed)
}

fn to_json(answers: &[NodeAnswer]) -> Value {
    let entry = |(address, answer): &NodeAnswer| match answer {
        Ok(state) => serde_json::json!({ "address": address.to_string(), "state": state }),
        Err(fault) => {
            serde_json::json!({ "address": address.to_string(), "fault": fault.to_string() })
        }
    };
    answers.iter().map(entry).collect()
}

/// Table of the nodes, then the addresses where no node answered. A revision below the highest one
/// that any node holds is marked with `<`.
#[must_use]
pub fn render(answers: &[NodeAnswer]) -> String {
    let highest = highest_revisions(answers);
    let mut table = TextTable::new(&[
        "node",
        "zone",
        "drain",
        "in progress",
        "limit",
        "queued",
        "platform",
        "revisions",
    ]);
    let mut silent = String::new();
    for (_, answer) in answers {
        match answer {
            Ok(state) => table.push(row(state, &highest)),
            Err(fault) => {
                let _ = writeln!(silent, "{fault}");
            }
        }
    }
    table.render() + &silent
}

fn row(state: &Value, highest: &BTreeMap<String, u64>) -> Vec<String> {
    let admission = &state["admission"];
    let platform = match state["platform"]["reachable"].as_bool() {
        Some(true) => "reachable",
        Some(false) => "unreachable",
        None => "-",
    };
    let drain = match &state["drain"] {
        Value::Object(part) => plain(part.get("state").unwrap_or(&Value::Null)),
        other => plain(other),
    };
    vec![
        plain(&state["node"]["instance"]),
        plain(&state["node"]["zone"]),
        drain,
        plain(&admission["in_progress"]),
        plain(&admission["limit"]),
        plain(&admission["queued"]),
        platform.to_owned(),
        revisions(state, highest),
    ]
}

fn revisions(state: &Value, highest: &BTreeMap<String, u64>) -> String {
    let entry = |(service, revision): (&str, u64)| {
        let is_behind = highest
            .get(service)
            .is_some_and(|highest| revision < *highest);
        format!("{service}={revision}{}", if is_behind { "<" } else { "" })
    };
    held(state).map(entry).collect::<Vec<_>>().join(" ")
}

fn highest_revisions(answers: &[NodeAnswer]) -> BTreeMap<String, u64> {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    for (_, answer) in answers {
        let Ok(state) = answer else { continue };
        for (service, revision) in held(state) {
            let known = highest.entry(service.to_owned()).or_default();
            *known = revision.max(*known);
        }
    }
    highest
}

fn held(state: &Value) -> impl Iterator<Item = (&str, u64)> {
    let parts = state["policy"].as_object().into_iter().flatten();
    parts.filter_map(|(service, part)| Some((service.as_str(), part["revision"].as_u64()?)))
}
