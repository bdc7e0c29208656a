//! Reads policy records and instance lists from the platform, which is never written to.
//!
//! The adapter uses the read operations of Consul's HTTP API, with blocking queries.

use crate::error::{self, Result, TransportError};

use awc::{Client, ClientResponse, http::StatusCode};
use base64::{Engine, engine::general_purpose::STANDARD};
use compact_str::CompactString;
use futures::future::LocalBoxFuture;
use lagoonshore_state::instance_table::{InstanceRecord, InstanceState};
use serde::{Deserialize, de::DeserializeOwned};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Longest wait of one blocking query at the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time beyond [`WATCH_TIMEOUT`] after which a query counts as failed.
const WATCH_GRACE: Duration = Duration::from_secs(5);
/// Largest response of the platform, in bytes: a value of 1 MB in base64 and JSON fits.
const RESPONSE_BYTES_MAX: usize = 2 * 1024 * 1024;

/// `WatchReply` is a watched value at an index.
#[derive(Clone, Debug)]
pub struct WatchReply<T> {
    /// Index to pass to the next read, which then waits for a change.
    pub index: u64,
    /// Value at that index.
    pub value: T,
}

/// `PlatformReader` reads the platform; a read waits until the value has changed since `index`, or
/// until its longest wait has passed.
pub trait PlatformReader {
    /// Reads the policy record `name`; the value is `None` if there is no such record.
    fn record<'a>(
        &'a self,
        name: &'a str,
        index: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Option<Vec<u8>>>>>;

    /// Reads the instance list of `service`.
    fn instances<'a>(
        &'a self,
        service: &'a str,
        index: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Vec<InstanceRecord>>>>;
}

/// `ConsulReader` reads the platform through Consul's HTTP API.
#[derive(Clone)]
pub struct ConsulReader {
    client: Client,
    addresses: Rc<[SocketAddr]>,
    current: Rc<Cell<usize>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ValueText {
    value: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthText {
    node: NodeText,
    service: ServiceText,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NodeText {
    datacenter: CompactString,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceText {
    #[serde(rename = "ID")]
    id: CompactString,
    service: CompactString,
    address: CompactString,
    port: u16,
    meta: MetaText,
}

#[derive(Deserialize)]
struct MetaText {
    zone: CompactString,
    state: InstanceState,
}

impl ConsulReader {
    /// Creates a reader; `addresses` must not be empty and are used in turn after failures.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let timeout = WATCH_TIMEOUT + WATCH_GRACE;
        let client = Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self {
            client,
            addresses: addresses.into(),
            current: Rc::new(Cell::new(0)),
        }
    }

    fn current_address(&self) -> SocketAddr {
        self.addresses[self.current.get() % self.addresses.len()]
    }

    /// Moves to the next address after a failure and returns the error unchanged.
    fn use_next_address(&self, error: TransportError) -> TransportError {
        self.current
            .set((self.current.get() + 1) % self.addresses.len());
        error
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        index: u64,
    ) -> Result<WatchReply<Option<T>>> {
        let address = self.current_address();
        let reading = self.read_from(address, path, index).await;
        reading.map_err(|error| self.use_next_address(error))
    }

    async fn read_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        index: u64,
    ) -> Result<WatchReply<Option<T>>> {
        let wait = WATCH_TIMEOUT.as_secs();
        let uri = format!("http://{address}{path}?index={index}&wait={wait}s");
        let sent = self.client.get(uri).send().await;
        let mut response = sent.map_err(|error| error::exchange_error(address, &error))?;
        let index = watch_index(&response);
        match response.status() {
            StatusCode::NOT_FOUND => Ok(WatchReply { index, value: None }),
            StatusCode::OK => {
                let body = response.body().limit(RESPONSE_BYTES_MAX).await;
                let body = body.map_err(|error| error::invalid_response(address, &error))?;
                let value = serde_json::from_slice(&body);
                let value = value.map_err(|error| error::invalid_response(address, &error))?;
                Ok(WatchReply {
                    index,
                    value: Some(value),
                })
            }
            status => Err(error::invalid_response(
                address,
                &format!("status {status}"),
            )),
        }
    }
}

fn watch_index<S>(response: &ClientResponse<S>) -> u64 {
    let header = response.headers().get("x-consul-index");
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl PlatformReader for ConsulReader {
    fn record<'a>(
        &'a self,
        name: &'a str,
        index: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Option<Vec<u8>>>>> {
        Box::pin(async move {
            let path = format!("/v1/kv/lagoonshore/records/{name}");
            let reply: WatchReply<Option<Vec<ValueText>>> = self.read(&path, index).await?;
            let text = reply
                .value
                .and_then(|values| values.into_iter().next()?.value);
            let decoded = text.map(|text| STANDARD.decode(text)).transpose();
            let value =
                decoded.map_err(|error| error::invalid_response(self.current_address(), &error))?;
            Ok(WatchReply {
                index: reply.index,
                value,
            })
        })
    }

    fn instances<'a>(
        &'a self,
        service: &'a str,
        index: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Vec<InstanceRecord>>>> {
        Box::pin(async move {
            let path = format!("/v1/health/service/{service}");
            let reply: WatchReply<Option<Vec<HealthText>>> = self.read(&path, index).await?;
            let listed = reply.value.unwrap_or_default();
            let value = listed.into_iter().filter_map(to_record).collect();
            Ok(WatchReply {
                index: reply.index,
                value,
            })
        })
    }
}

/// Converts a list entry to a record; `None` if its address is not an IP address.
fn to_record(text: HealthText) -> Option<InstanceRecord> {
    let ip = text.service.address.parse().ok()?;
    Some(InstanceRecord {
        name: text.service.id,
        service: text.service.service,
        zone: text.service.meta.zone,
        region: text.node.datacenter,
        peer: SocketAddr::new(ip, text.service.port),
        state: text.service.meta.state,
    })
}
