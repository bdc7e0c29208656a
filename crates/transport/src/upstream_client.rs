//! HTTP/1.1 client of the upstream beside the node.
//!
//! The client runs the codec of `actix-http` on its own connections, since it must distinguish a
//! complete response from a truncated one; `awc` reports both the same way.

use crate::{
    error::{self, Result, TransportError},
    upstream_pool::{UpstreamPool, UpstreamStream},
};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri,
    body::BodySize,
    h1::{Message, MessageType},
    header::{self, HeaderName, HeaderValue},
};
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use lagoonshore_protocol::{headers::HeaderField, messages::UpstreamResponse};
use std::{net::SocketAddr, time::Duration};
use tokio_util::codec::Framed;

/// `UpstreamRequest` is a request to dispatch to the upstream.
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

/// `UpstreamClient` dispatches requests to one upstream and returns complete responses.
pub struct UpstreamClient {
    pool: UpstreamPool,
    address: SocketAddr,
    response_bytes_max: usize,
}

impl UpstreamClient {
    /// Creates a client; a response body larger than `response_bytes_max` bytes is an error.
    #[must_use]
    pub fn new(address: SocketAddr, response_bytes_max: usize) -> Self {
        Self {
            pool: UpstreamPool::new(address),
            address,
            response_bytes_max,
        }
    }

    /// Sends a request and waits for the complete response, at most for `timeout`.
    ///
    /// # Errors
    /// [`TransportError::Connect`] if no byte was sent; any other error leaves the outcome unknown.
    pub async fn send(
        &self,
        request: UpstreamRequest,
        timeout: Duration,
    ) -> Result<UpstreamResponse> {
        let exchange = actix_rt::time::timeout(timeout, self.exchange(request));
        exchange.await.unwrap_or(Err(TransportError::TimedOut {
            address: self.address,
        }))
    }

    async fn exchange(&self, request: UpstreamRequest) -> Result<UpstreamResponse> {
        let head = self.request_head(&request)?;
        let method = head.method.clone();
        let mut framed = self.pool.take().await?;
        self.write(&mut framed, head, request.body).await?;
        let response = framed.next().await;
        let head = response
            .ok_or_else(|| error::exchange_error(self.address, "closed before the response"))?
            .map_err(|error| error::exchange_error(self.address, &error))?;
        let has_body = self.check_framing(&method, &head)?;
        let body = if has_body {
            let (framed, body) = self.read_body(framed, &head).await?;
            self.pool.put(framed);
            body
        } else {
            self.pool.put(framed);
            Bytes::new()
        };
        Ok(to_upstream_response(&head, body))
    }

    fn request_head(&self, request: &UpstreamRequest) -> Result<RequestHead> {
        let address = self.address;
        let mut head = RequestHead::default();
        let method = Method::from_bytes(request.method.as_bytes());
        head.method = method.map_err(|error| error::connect_error(address, &error))?;
        let uri = Uri::try_from(request.path.as_str());
        head.uri = uri.map_err(|error| error::connect_error(address, &error))?;
        for field in &request.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let name = name.map_err(|error| error::connect_error(address, &error))?;
            let value = HeaderValue::from_bytes(&field.value);
            let value = value.map_err(|error| error::connect_error(address, &error))?;
            // The body is sent at once, so no interim response (100 Continue) is requested.
            if name != header::EXPECT {
                head.headers.append(name, value);
            }
        }
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.map_err(|error| error::connect_error(address, &error))?;
        head.headers.insert(header::HOST, host);
        Ok(head)
    }

    async fn write(
        &self,
        framed: &mut UpstreamStream,
        head: RequestHead,
        body: Bytes,
    ) -> Result<()> {
        let failed = |error: std::io::Error| error::exchange_error(self.address, &error);
        let length = body.len() as u64;
        let head = RequestHeadType::Owned(head);
        let head = Message::Item((head, BodySize::Sized(length)));
        framed.feed(head).await.map_err(failed)?;
        if length > 0 {
            let body = Message::Chunk(Some(body));
            framed.feed(body).await.map_err(failed)?;
        }
        let end = Message::Chunk(None);
        framed.feed(end).await.map_err(failed)?;
        SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(framed)
            .await
            .map_err(failed)
    }

    /// Returns whether a body follows. A response without a length or chunked framing is an error,
    /// since its end cannot be distinguished from a truncation (RFC 9112, section 6.3).
    fn check_framing(&self, method: &Method, head: &ResponseHead) -> Result<bool> {
        let status = head.status;
        if status.is_informational() {
            return Err(error::invalid_response(
                self.address,
                "unexpected interim response",
            ));
        }
        let bodiless = *method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if bodiless {
            return Ok(false);
        }
        let is_framed = content_length(head).is_some()
            || head.headers().contains_key(header::TRANSFER_ENCODING);
        if !is_framed {
            return Err(error::invalid_response(
                self.address,
                "neither content-length nor chunked framing",
            ));
        }
        Ok(content_length(head) != Some(0))
    }

    async fn read_body(
        &self,
        framed: UpstreamStream,
        head: &ResponseHead,
    ) -> Result<(UpstreamStream, Bytes)> {
        let address = self.address;
        if framed.codec().message_type() == MessageType::None {
            return Err(error::invalid_response(
                address,
                "announced body is missing",
            ));
        }
        let mut framed: Framed<_, _> =
            framed.map_codec(actix_http::h1::ClientCodec::into_payload_codec);
        let mut body = BytesMut::new();
        loop {
            let chunk = framed.next().await;
            let chunk = chunk.ok_or_else(|| error::invalid_response(address, "truncated body"))?;
            let Some(chunk) = chunk.map_err(|error| error::invalid_response(address, &error))?
            else {
                break;
            };
            if body.len() + chunk.len() > self.response_bytes_max {
                let cause = "body is larger than the limit";
                return Err(error::invalid_response(address, cause));
            }
            body.extend_from_slice(&chunk);
        }
        if content_length(head).is_some_and(|length| length != body.len()) {
            return Err(error::invalid_response(
                address,
                "body does not match content-length",
            ));
        }
        let framed = framed.map_codec(actix_http::h1::ClientPayloadCodec::into_message_codec);
        Ok((framed, body.freeze()))
    }
}

fn content_length(head: &ResponseHead) -> Option<usize> {
    let value = head.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn to_upstream_response(head: &ResponseHead, body: Bytes) -> UpstreamResponse {
    let headers = head.headers().iter().map(|(name, value)| HeaderField {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    UpstreamResponse {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body,
    }
}
