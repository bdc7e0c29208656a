//! HTTP client for a node's admin listener.

use crate::error::{CliError, Result};

use awc::Client;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Time in which the head of the response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest response body, in bytes.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Fetches `path` as JSON on a runtime of its own, and blocks the thread.
///
/// # Errors
/// As [`fetch`].
pub fn fetch_blocking(address: SocketAddr, path: &str) -> Result<Value> {
    actix_rt::System::new().block_on(fetch(address, path))
}

/// Fetches `path` as JSON, on the current runtime.
///
/// # Errors
/// - [`CliError::NoResponse`] if no response arrives.
/// - [`CliError::NotFound`] if the node answers 404 with a problem in JSON.
/// - [`CliError::NotANode`] for any other response that is not JSON with a success status.
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::builder().timeout(RESPONSE_TIMEOUT).finish();
    let sent = client.get(format!("http://{address}{path}")).send().await;
    let mut response = sent.map_err(|error| CliError::NoResponse {
        address,
        message: error.to_string(),
    })?;
    let not_a_node = |message: String| CliError::NotANode { address, message };
    let body = response.body().limit(BODY_BYTES_MAX).await;
    let body = body.map_err(|error| not_a_node(error.to_string()))?;
    let status = response.status();
    let value: Result<Value, _> = serde_json::from_slice(&body);
    match value {
        Ok(value) if status.is_success() => Ok(value),
        Ok(value) if status == 404 && value["problem"].is_string() => {
            let message = value["problem"].as_str().unwrap_or_default().to_owned();
            Err(CliError::NotFound { address, message })
        }
        Ok(_) => Err(not_a_node(format!("it answered {status}"))),
        Err(_) if !status.is_success() => Err(not_a_node(format!("it answered {status}"))),
        Err(error) => Err(not_a_node(format!("its response is not JSON: {error}"))),
    }
}
