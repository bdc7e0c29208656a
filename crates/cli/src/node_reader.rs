//! Reads pages of a node's admin door.

use crate::error::{CliError, Result};

use awc::Client;
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Time for a node to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Largest page, in bytes.
const PAGE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Reads a page as JSON.
///
/// # Errors
/// Tells a node that does not answer from something that is not a node.
pub fn read(address: SocketAddr, path: &str) -> Result<Value> {
    actix_rt::System::new().block_on(fetch(address, path))
}

/// Reads a page as JSON, on the runtime of the caller.
///
/// # Errors
/// As [`read`].
pub async fn fetch(address: SocketAddr, path: &str) -> Result<Value> {
    let client = Client::builder().timeout(ANSWER_TIME).finish();
    let sent = client.get(format!("http://{address}{path}")).send().await;
    let mut response = sent.map_err(|fault| CliError::Silent {
        address,
        message: fault.to_string(),
    })?;
    let foreign = |message: String| CliError::Foreign { address, message };
    let body = response.body().limit(PAGE_BYTES_MAX).await;
    let body = body.map_err(|fault| foreign(fault.to_string()))?;
    let status = response.status();
    let value: Result<Value, _> = serde_json::from_slice(&body);
    match value {
        Ok(value) if status.is_success() => Ok(value),
        Ok(value) if status == 404 && value["problem"].is_string() => {
            let message = value["problem"].as_str().unwrap_or_default().to_owned();
            Err(CliError::Absent { address, message })
        }
        Ok(_) => Err(foreign(format!("it answered {status}"))),
        Err(_) if !status.is_success() => Err(foreign(format!("it answered {status}"))),
        Err(fault) => Err(foreign(format!("its answer is not JSON: {fault}"))),
    }
}
