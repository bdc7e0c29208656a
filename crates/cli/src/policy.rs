//! `lagoonctl policy`: the policies in force at a node.

use crate::{
    command,
    error::Result,
    node_reader,
    text_table::{TextTable, plain},
};

use pico_args::Arguments;
use serde_json::Value;

/// Reads the arguments of the command.
///
/// # Errors
/// Says what is wrong with them.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let as_json = arguments.contains("--json");
    let address = command::address(arguments)?;
    Ok(Box::new(move || {
        let state = node_reader::read(address, "/state")?;
        let policy = &state["policy"];
        Ok(if as_json {
            format!("{policy:#}\n")
        } else {
            render(policy)
        })
    }))
}

/// Table of the policies, one line a service.
#[must_use]
pub fn render(policy: &Value) -> String {
    let mut table = TextTable::new(&["service", "revision", "last refused record"]);
    for (service, part) in policy.as_object().into_iter().flatten() {
        let refused = plain(&part["refused"]["message"]);
        table.push(vec![service.clone(), plain(&part["revision"]), refused]);
    }
    table.render()
}
