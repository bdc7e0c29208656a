//! `lagoonctl state`: state of one node, whole or one part.

use crate::{
    argument_parser,
    error::{Result, usage_error},
    node_reader, text_table,
};

use pico_args::Arguments;
use serde_json::Value;

/// Parses the arguments of `state`.
///
/// # Errors
/// [`crate::CliError::Usage`] if an option is invalid or there is not exactly one address.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let part: Option<String> = argument_parser::parse_option(&mut arguments, "--part")?;
    let as_json = arguments.contains("--json");
    let address = argument_parser::parse_address(arguments)?;
    Ok(Box::new(move || {
        let state = node_reader::fetch_blocking(address, "/state")?;
        let selected = select(&state, part.as_deref())?;
        Ok(if as_json {
            format!("{selected:#}\n")
        } else {
            text_table::render_tree(selected)
        })
    }))
}

/// Selects the top-level field `part` of `state`, or all of it for `None`.
///
/// # Errors
/// [`crate::CliError::Usage`] with the names of all fields if there is no such field.
pub fn select<'a>(state: &'a Value, part: Option<&str>) -> Result<&'a Value> {
    let Some(part) = part else { return Ok(state) };
    state.get(part).ok_or_else(|| {
        let fields = state
            .as_object()
            .into_iter()
            .flat_map(|fields| fields.keys());
        let names: Vec<&str> = fields.map(String::as_str).collect();
        usage_error(format!(
            "--part: found {part}, expected one of {}",
            names.join(", ")
        ))
    })
}
