//! `lagoonctl account`: a sidecar's view of a client account, or the names of all.

use crate::{
    argument_parser,
    error::{Result, usage_error},
    node_reader, page_path, text_table,
};

use pico_args::Arguments;

/// Parses the arguments of `account`: the sidecar, and the name of the account.
///
/// # Errors
/// [`crate::CliError::Usage`] if an argument is missing or invalid.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    if !arguments.contains("--sidecar") {
        return Err(usage_error("--sidecar is missing"));
    }
    let as_json = arguments.contains("--json");
    let after: Option<String> = argument_parser::parse_option(&mut arguments, "--after")?;
    let (address, name) = argument_parser::parse_address_and_name(arguments)?;
    let page = match (name, after) {
        (Some(_), Some(_)) => return Err(usage_error("--after: expected no name beside it")),
        (Some(name), None) => format!("/accounts/{}", page_path::encode(&name)),
        (None, Some(after)) => format!("/accounts?after={}", page_path::encode(&after)),
        (None, None) => "/accounts".to_owned(),
    };
    Ok(Box::new(move || {
        let account = node_reader::fetch_blocking(address, &page)?;
        Ok(if as_json {
            format!("{account:#}\n")
        } else {
            text_table::render_tree(&account)
        })
    }))
}
