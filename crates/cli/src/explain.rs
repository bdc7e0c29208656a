//! `lagoonctl explain`: class and policy that a node would apply to a request, or where a sidecar would
//! send it.

use crate::{argument_parser, error::Result, node_reader, page_path, text_table};

use pico_args::Arguments;

/// Parses the arguments of `explain`: service, method and path of the request, or host, path and account for
/// a sidecar; then the node.
///
/// # Errors
/// [`crate::CliError::Usage`] if an argument is missing or invalid.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let page = parse_page(&mut arguments)?;
    let as_json = arguments.contains("--json");
    let address = argument_parser::parse_address(arguments)?;
    Ok(Box::new(move || {
        let explanation = node_reader::fetch_blocking(address, &page)?;
        Ok(if as_json {
            format!("{explanation:#}\n")
        } else {
            text_table::render_tree(&explanation)
        })
    }))
}

/// Page of a sidecar. Routes do not depend on the query of a path, whose place the account takes.
fn sidecar_page(host: &str, path: &str, account: Option<&str>) -> String {
    let path = path.split('?').next().unwrap_or_default();
    let account = account.map(|account| format!("?account={}", page_path::encode(account)));
    format!("/explain/{host}{path}{}", account.unwrap_or_default())
}

fn parse_page(arguments: &mut Arguments) -> Result<String> {
    let path: String = argument_parser::parse_required(arguments, "--path")?;
    if arguments.contains("--sidecar") {
        let host: String = argument_parser::parse_required(arguments, "--host")?;
        let account: Option<String> = argument_parser::parse_option(arguments, "--account")?;
        return Ok(sidecar_page(&host, &path, account.as_deref()));
    }
    let service: String = argument_parser::parse_required(arguments, "--service")?;
    let method: String = argument_parser::parse_required(arguments, "--method")?;
    Ok(format!("/explain/{service}/{method}{path}"))
}
