//! `lagoonctl explain`: class and policy that a node would apply to a request.

use crate::{argument_parser, error::Result, node_reader, text_table};

use pico_args::Arguments;

/// Parses the arguments of `explain`: service, method and path of the request, then the node.
///
/// # Errors
/// [`crate::CliError::Usage`] if an argument is missing or invalid.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let service: String = argument_parser::parse_required(&mut arguments, "--service")?;
    let method: String = argument_parser::parse_required(&mut arguments, "--method")?;
    let path: String = argument_parser::parse_required(&mut arguments, "--path")?;
    let as_json = arguments.contains("--json");
    let address = argument_parser::parse_address(arguments)?;
    Ok(Box::new(move || {
        let page = format!("/explain/{service}/{method}{path}");
        let explanation = node_reader::fetch_blocking(address, &page)?;
        Ok(if as_json {
            format!("{explanation:#}\n")
        } else {
            text_table::render_tree(&explanation)
        })
    }))
}
