//! `lagoonctl fleet`: one line per node, with a mark at each revision that is behind.

use crate::{
    argument_parser,
    error::{CliError, Result, usage_error},
    node_reader,
    text_table::{TextTable, format_scalar},
};

use futures::future::join_all;
use pico_args::Arguments;
use serde_json::Value;
use std::{collections::BTreeMap, fmt::Write, net::SocketAddr};

type NodeResponse = (SocketAddr, Result<Value>);

/// Parses the arguments of `fleet`. The command fails only if every address fails, with
/// the error of the first.
///
/// # Errors
/// [`CliError::Usage`] if no address is given or an argument is not an address.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let as_json = arguments.contains("--json");
    let addresses = argument_parser::parse_addresses(arguments)?;
    if addresses.is_empty() {
        return Err(usage_error(
            "expected at least one address of an admin listener",
        ));
    }
    Ok(Box::new(move || {
        let responses = actix_rt::System::new().block_on(fetch_all(&addresses));
        if let Some(error) = error_if_all_failed(&responses) {
            return Err(error);
        }
        Ok(if as_json {
            format!("{:#}\n", to_json(&responses))
        } else {
            render(&responses)
        })
    }))
}

async fn fetch_all(addresses: &[SocketAddr]) -> Vec<NodeResponse> {
    let reads = addresses
        .iter()
        .map(|address| async move { (*address, node_reader::fetch(*address, "/state").await) });
    join_all(reads).await
}

fn error_if_all_failed(responses: &[NodeResponse]) -> Option<CliError> {
    let all_failed = responses.iter().all(|(_, response)| response.is_err());
    responses
        .iter()
        .find_map(|(_, response)| response.clone().err())
        .filter(|_| all_failed)
}

fn to_json(responses: &[NodeResponse]) -> Value {
    let entry = |(address, response): &NodeResponse| match response {
        Ok(state) => serde_json::json!({ "address": address.to_string(), "state": state }),
        Err(error) => {
            serde_json::json!({ "address": address.to_string(), "fault": error.to_string() })
        }
    };
    responses.iter().map(entry).collect()
}

/// Renders a table of the nodes, followed by one line per address that failed. A revision below the
/// highest one that any node has in force is marked with `<`.
#[must_use]
pub fn render(responses: &[NodeResponse]) -> String {
    let highest = find_highest_revisions(responses);
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
    let mut errors = String::new();
    for (_, response) in responses {
        match response {
            Ok(state) => table.push(format_row(state, &highest)),
            Err(error) => {
                let _ = writeln!(errors, "{error}");
            }
        }
    }
    table.render() + &errors
}

fn format_row(state: &Value, highest: &BTreeMap<String, u64>) -> Vec<String> {
    let admission = &state["admission"];
    let platform = match state["platform"]["reachable"].as_bool() {
        Some(true) => "reachable",
        Some(false) => "unreachable",
        None => "-",
    };
    let drain = match &state["drain"] {
        Value::Object(part) => format_scalar(part.get("state").unwrap_or(&Value::Null)),
        other => format_scalar(other),
    };
    vec![
        format_scalar(&state["node"]["instance"]),
        format_scalar(&state["node"]["zone"]),
        drain,
        format_scalar(&admission["in_progress"]),
        format_scalar(&admission["limit"]),
        format_scalar(&admission["queued"]),
        platform.to_owned(),
        format_revisions(state, highest),
    ]
}

fn format_revisions(state: &Value, highest: &BTreeMap<String, u64>) -> String {
    let entry = |(service, revision): (&str, u64)| {
        let is_behind = highest
            .get(service)
            .is_some_and(|highest| revision < *highest);
        format!("{service}={revision}{}", if is_behind { "<" } else { "" })
    };
    iter_revisions(state)
        .map(entry)
        .collect::<Vec<_>>()
        .join(" ")
}

fn find_highest_revisions(responses: &[NodeResponse]) -> BTreeMap<String, u64> {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    for (_, response) in responses {
        let Ok(state) = response else { continue };
        for (service, revision) in iter_revisions(state) {
            let known = highest.entry(service.to_owned()).or_default();
            *known = revision.max(*known);
        }
    }
    highest
}

fn iter_revisions(state: &Value) -> impl Iterator<Item = (&str, u64)> {
    let parts = state["policy"].as_object().into_iter().flatten();
    parts.filter_map(|(service, part)| Some((service.as_str(), part["revision"].as_u64()?)))
}
