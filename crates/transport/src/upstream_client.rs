//! The client of the node's own upstream.

use crate::error::{self, Result, TransportError};

use awc::{
    Client, Connector,
    error::{ConnectError, SendRequestError},
    http::{Method, Uri},
};
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use lagoonshore_protocol::{headers::HeaderField, messages::WholeAnswer};
use std::{net::SocketAddr, time::Duration};

/// Time for a connection to the upstream, which stands on the same instance.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Idle connections are closed before common servers close theirs, so that none is reused
/// just as it ends.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// `UpstreamRequest` is a request to hand over.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: compact_str::CompactString,
    /// Path with query.
    pub path: compact_str::CompactString,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

/// `UpstreamClient` hands requests to one upstream and takes whole answers.
#[derive(Clone)]
pub struct UpstreamClient {
    client: Client,
    address: SocketAddr,
    answer_bytes: usize,
}

impl UpstreamClient {
    /// Creates a client; an answer larger than `answer_bytes` counts as broken.
    #[must_use]
    pub fn new(address: SocketAddr, answer_bytes: usize) -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIME)
            .conn_keep_alive(IDLE_TIME)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish();
        Self {
            client,
            address,
            answer_bytes,
        }
    }

    /// Hands a request over and waits for the whole answer, at most for `time`.
    ///
    /// # Errors
    /// [`TransportError::Connect`] if no byte was sent; any other error leaves the outcome unknown.
    pub async fn send(&self, request: UpstreamRequest, time: Duration) -> Result<WholeAnswer> {
        let exchange = actix_rt::time::timeout(time, self.exchange(request));
        exchange.await.unwrap_or(Err(TransportError::TimedOut {
            address: self.address,
        }))
    }

    async fn exchange(&self, request: UpstreamRequest) -> Result<WholeAnswer> {
        let address = self.address;
        let method = Method::from_bytes(request.method.as_bytes());
        let method = method.map_err(|fault| error::connect(address, &fault))?;
        let uri = Uri::try_from(format!("http://{address}{}", request.path));
        let uri = uri.map_err(|fault| error::connect(address, &fault))?;
        let mut call = self.client.request(method, uri);
        for field in &request.headers {
            call = call.append_header((field.name.as_str(), field.value.as_ref()));
        }
        let mut response = call
            .send_body(request.body)
            .await
            .map_err(|fault| match fault {
                // The client also names a connection that ended before the answer so; by then the
                // request may have been received.
                SendRequestError::Connect(fault @ ConnectError::Disconnected) => {
                    error::exchange(address, &fault)
                }
                SendRequestError::Connect(fault) => error::connect(address, &fault),
                SendRequestError::Url(fault) => error::connect(address, &fault),
                fault => error::exchange(address, &fault),
            })?;
        let mut body = BytesMut::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|fault| error::broken(address, &fault))?;
            if body.len() + chunk.len() > self.answer_bytes {
                return Err(error::broken(
                    address,
                    "the answer is larger than the bound",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        let headers = response.headers().iter().map(|(name, value)| HeaderField {
            name: name.as_str().into(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let headers = headers.collect();
        Ok(WholeAnswer {
            status: response.status().as_u16(),
            headers,
            body: body.freeze(),
        })
    }
}
