//! `lagoonctl state`: the state of one node.

use crate::{
    command,
    error::{Result, usage},
    node_reader, text_table,
};

use pico_args::Arguments;
use serde_json::Value;

/// Reads the arguments of the command.
///
/// # Errors
/// Says what is wrong with them.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let part: Option<String> = command::option(&mut arguments, "--part")?;
    let as_json = arguments.contains("--json");
    let address = command::address(arguments)?;
    Ok(Box::new(move || {
        let state = node_reader::read(address, "/state")?;
        let shown = select(&state, part.as_deref())?;
        Ok(if as_json {
            format!("{shown:#}\n")
        } else {
            text_table::tree(shown)
        })
    }))
}

/// The whole state, or one part of it.
///
/// # Errors
/// Names the parts that there are.
pub fn select<'a>(state: &'a Value, part: Option<&str>) -> Result<&'a Value> {
    let Some(part) = part else { return Ok(state) };
    state.get(part).ok_or_else(|| {
        let fields = state
            .as_object()
            .into_iter()
            .flat_map(|fields| fields.keys());
        let names: Vec<&str> = fields.map(String::as_str).collect();
        usage(format!(
            "--part: found {part}, expected one of {}",
            names.join(", ")
        ))
    })
}
