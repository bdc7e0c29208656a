//! `lagoonctl explain`: how a node would class and treat a request.

use crate::{command, error::Result, node_reader, text_table};

use pico_args::Arguments;

/// Reads the arguments of the command.
///
/// # Errors
/// Says what is wrong with them.
pub fn parse(mut arguments: Arguments) -> Result<Box<dyn Fn() -> Result>> {
    let service: String = command::required(&mut arguments, "--service")?;
    let method: String = command::required(&mut arguments, "--method")?;
    let path: String = command::required(&mut arguments, "--path")?;
    let as_json = arguments.contains("--json");
    let address = command::address(arguments)?;
    Ok(Box::new(move || {
        let page = format!("/explain/{service}/{method}{path}");
        let explained = node_reader::read(address, &page)?;
        Ok(if as_json {
            format!("{explained:#}\n")
        } else {
            text_table::tree(&explained)
        })
    }))
}
