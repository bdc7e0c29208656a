//! Parsers of arguments that several subcommands take.

use crate::error::{Result, usage_error};

use pico_args::Arguments;
use std::{net::SocketAddr, str::FromStr};

/// Parses the value of the option `key`; `None` if the option is not given.
///
/// # Errors
/// [`crate::CliError::Usage`] with the name of the option if its value is missing or invalid.
pub fn parse_option<T: FromStr>(arguments: &mut Arguments, key: &'static str) -> Result<Option<T>> {
    let text: Option<String> = arguments
        .opt_value_from_str(key)
        .map_err(|error| usage_error(error.to_string()))?;
    let parse = |text: String| {
        text.parse()
            .map_err(|_| usage_error(format!("{key}: invalid value {text}")))
    };
    text.map(parse).transpose()
}

/// Parses the value of the mandatory option `key`.
///
/// # Errors
/// [`crate::CliError::Usage`] with the name of the option if it is missing or invalid.
pub fn parse_required<T: FromStr>(arguments: &mut Arguments, key: &'static str) -> Result<T> {
    parse_option(arguments, key)?.ok_or_else(|| usage_error(format!("{key} is missing")))
}

/// Parses all remaining arguments as socket addresses; there may be none.
///
/// # Errors
/// [`crate::CliError::Usage`] with the argument that is not an address.
pub fn parse_addresses(arguments: Arguments) -> Result<Vec<SocketAddr>> {
    let rest = arguments.finish();
    let parse = |argument: &std::ffi::OsString| parse_address_text(&argument.to_string_lossy());
    rest.iter().map(parse).collect()
}

fn parse_address_text(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| usage_error(format!("{text} is not an address such as 127.0.0.1:7004")))
}

/// Parses the remaining arguments as one socket address and, if there is another one, a name.
///
/// # Errors
/// [`crate::CliError::Usage`] if there is no address, or if there are further arguments.
pub fn parse_address_and_name(arguments: Arguments) -> Result<(SocketAddr, Option<String>)> {
    let rest = arguments.finish();
    let mut texts = rest
        .iter()
        .map(|argument| argument.to_string_lossy().into_owned());
    let (address, name) = (texts.next(), texts.next());
    if let Some(further) = texts.next() {
        return Err(usage_error(format!("unexpected argument {further}")));
    }
    let address = address.ok_or_else(|| usage_error("expected one address, found 0"))?;
    Ok((parse_address_text(&address)?, name))
}

/// Parses the remaining arguments as exactly one socket address.
///
/// # Errors
/// [`crate::CliError::Usage`] if there is no address or more than one.
pub fn parse_address(arguments: Arguments) -> Result<SocketAddr> {
    match parse_addresses(arguments)?[..] {
        [address] => Ok(address),
        ref found => Err(usage_error(format!(
            "expected one address, found {}",
            found.len()
        ))),
    }
}
