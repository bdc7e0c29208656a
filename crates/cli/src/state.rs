//! Shows the state dump of a node.

use crate::CommandEnd;

use awc::Client;
use pico_args::Arguments;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Time for a node to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Largest state dump, in bytes.
const STATE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Runs `lagoonctl state`.
pub(crate) fn run(mut arguments: Arguments) -> CommandEnd {
    let part: Option<String> = match arguments.opt_value_from_str("--part") {
        Ok(part) => part,
        Err(fault) => return CommandEnd::Usage(fault.to_string()),
    };
    let as_json = arguments.contains("--json");
    let address: SocketAddr = match arguments.free_from_str() {
        Ok(address) => address,
        Err(fault) => return CommandEnd::Usage(format!("address of an admin door: {fault}")),
    };
    let state = match actix_rt::System::new().block_on(read(address)) {
        Ok(state) => state,
        Err(message) => return CommandEnd::Bad(message),
    };
    let Some(shown) = part.as_ref().map_or(Some(&state), |part| state.get(part)) else {
        return CommandEnd::Usage(format!(
            "the state has no part {}",
            part.unwrap_or_default()
        ));
    };
    if as_json {
        println!("{shown:#}");
    } else {
        print_tree(shown, 0);
    }
    CommandEnd::Good
}

/// Reads the state of the node whose admin door is at `address`.
async fn read(address: SocketAddr) -> Result<Value, String> {
    let client = Client::builder().timeout(ANSWER_TIME).finish();
    let sent = client.get(format!("http://{address}/state")).send().await;
    let mut response = sent.map_err(|fault| format!("{address} does not answer: {fault}"))?;
    if !response.status().is_success() {
        return Err(format!(
            "{address} answered {}; is it an admin door?",
            response.status()
        ));
    }
    let body = response.body().limit(STATE_BYTES_MAX).await;
    let body = body.map_err(|fault| format!("{address} sent no whole answer: {fault}"))?;
    serde_json::from_slice(&body)
        .map_err(|fault| format!("{address} sent something other than a state dump: {fault}"))
}

fn print_tree(value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                print_field(&indent, name, field, depth);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                print_field(&indent, &index.to_string(), item, depth);
            }
        }
        plain => println!("{indent}{plain}"),
    }
}

fn print_field(indent: &str, name: &str, field: &Value, depth: usize) {
    match field {
        Value::Object(_) | Value::Array(_) => {
            println!("{indent}{name}:");
            print_tree(field, depth + 1);
        }
        Value::String(text) => println!("{indent}{name:<16} {text}"),
        plain => println!("{indent}{name:<16} {plain}"),
    }
}
