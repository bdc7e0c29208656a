//! Argument parsing, ready files and fault files, shared by the stand-ins.

use actix_rt::net::TcpListener;
use lagoonshore_transport::http_listener;
use pico_args::Arguments;
use std::{net::SocketAddr, path::Path, str::FromStr};

/// `StandinResult` has a message for the terminal as its error.
pub type StandinResult<T> = Result<T, String>;

/// Parses the value of the mandatory option `key`.
pub fn parse_required<T: FromStr>(
    arguments: &mut Arguments,
    key: &'static str,
) -> StandinResult<T> {
    let text: String = arguments
        .value_from_str(key)
        .map_err(|error| error.to_string())?;
    text.parse()
        .map_err(|_| format!("{key}: invalid value {text}"))
}

/// Parses the value of the option `key`, or returns `default` if it is not given.
pub fn parse_optional<T: FromStr>(
    arguments: &mut Arguments,
    key: &'static str,
    default: T,
) -> StandinResult<T> {
    let text: Option<String> = arguments
        .opt_value_from_str(key)
        .map_err(|error| error.to_string())?;
    text.map_or(Ok(default), |text| {
        text.parse()
            .map_err(|_| format!("{key}: invalid value {text}"))
    })
}

/// Listens on `address` and writes the bound address to the file `ready`, for scripts that wait for
/// it.
pub async fn listen(address: SocketAddr, ready: &Path) -> StandinResult<TcpListener> {
    let listener = http_listener::listen("stand-in", address)
        .await
        .map_err(|error| error.to_string())?;
    let bound = listener.local_addr().map_err(|error| error.to_string())?;
    replace_file(ready, &bound.to_string())?;
    Ok(listener)
}

/// Writes a file atomically: to a temporary file first, which is then renamed.
pub fn replace_file(path: &Path, text: &str) -> StandinResult<()> {
    let temporary = path.with_extension("draft");
    let written = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|error| format!("{}: {error}", path.display()))
}

/// Looks up an injected fault: the rest of the first line in the file whose first word is `name`.
/// `None` if there is no file or no such line. The file is read anew at each call, so that scripts
/// can change it during a run.
pub fn read_fault(path: Option<&Path>, name: &str) -> Option<String> {
    let text = std::fs::read_to_string(path?).ok()?;
    let line = text
        .lines()
        .find(|line| line.split(' ').next() == Some(name))?;
    Some(line[name.len()..].trim().to_owned())
}
