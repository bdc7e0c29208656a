//! Arguments and small files shared by the stand-ins.

use actix_rt::net::TcpListener;
use lagoonshore_transport::http_listener;
use pico_args::Arguments;
use std::{net::SocketAddr, path::Path, str::FromStr};

/// `StandinResult` carries a message for people as its error.
pub type StandinResult<T> = Result<T, String>;

/// Reads a required argument.
pub fn required<T: FromStr>(arguments: &mut Arguments, key: &'static str) -> StandinResult<T> {
    let text: String = arguments
        .value_from_str(key)
        .map_err(|fault| fault.to_string())?;
    text.parse()
        .map_err(|_| format!("{key}: cannot read {text}"))
}

/// Reads an optional argument.
pub fn optional<T: FromStr>(
    arguments: &mut Arguments,
    key: &'static str,
    default: T,
) -> StandinResult<T> {
    let text: Option<String> = arguments
        .opt_value_from_str(key)
        .map_err(|fault| fault.to_string())?;
    text.map_or(Ok(default), |text| {
        text.parse()
            .map_err(|_| format!("{key}: cannot read {text}"))
    })
}

/// Listens on `address` and writes the bound address to the file `ready`.
pub async fn listen(address: SocketAddr, ready: &Path) -> StandinResult<TcpListener> {
    let listener = http_listener::listen("stand-in", address)
        .await
        .map_err(|fault| fault.to_string())?;
    let bound = listener.local_addr().map_err(|fault| fault.to_string())?;
    replace_file(ready, &bound.to_string())?;
    Ok(listener)
}

/// Replaces a file in one step.
pub fn replace_file(path: &Path, text: &str) -> StandinResult<()> {
    let draft = path.with_extension("draft");
    let written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, path));
    written.map_err(|fault| format!("{}: {fault}", path.display()))
}

/// First word of the file's line that starts with `word`, and the rest of that line.
pub fn fault_line(path: Option<&Path>, word: &str) -> Option<String> {
    let text = std::fs::read_to_string(path?).ok()?;
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(word))?;
    Some(line[word.len()..].trim().to_owned())
}
