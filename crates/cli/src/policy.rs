//! `lagoonctl policy`: revisions in force at a node, and the last record it refused per service.

use crate::{
    argument_parser,
    error::Result,
    node_reader,
    text_table::{TextTable, format_scalar},
};

use pico_args::Arguments;
use serde_json::Value;

/// Parses the arguments of `policy`.
///
/// # Errors
/// [`crate::CliError::Usage`] unless exactly one address is given.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let as_json = arguments.contains("--json");
    let address = argument_parser::parse_address(arguments)?;
    Ok(Box::new(move || {
        let state = node_reader::fetch_blocking(address, "/state")?;
        let policy = &state["policy"];
        Ok(if as_json {
            format!("{policy:#}\n")
        } else {
            render(policy)
        })
    }))
}

/// Renders the `policy` part of a node's state as a table, one line per service.
#[must_use]
pub fn render(policy: &Value) -> String {
    let mut table = TextTable::new(&["service", "revision", "last refused record"]);
    for (service, part) in policy.as_object().into_iter().flatten() {
        let refused = format_scalar(&part["refused"]["message"]);
        table.push(vec![
            service.clone(),
            format_scalar(&part["revision"]),
            refused,
        ]);
    }
    table.render()
}
