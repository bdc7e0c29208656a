//! The client of the node's own upstream.
//!
//! It speaks HTTP/1.1 through the codec of `actix-http` on connections of its own, since it must
//! tell an answer that ended from one that was cut off; `awc` reports both the same way.

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
pub struct UpstreamClient {
    pool: UpstreamPool,
    address: SocketAddr,
    response_bytes_max: usize,
}

impl UpstreamClient {
    /// Creates a client; an answer larger than `response_bytes_max` counts as broken.
    #[must_use]
    pub fn new(address: SocketAddr, response_bytes_max: usize) -> Self {
        Self {
            pool: UpstreamPool::new(address),
            address,
            response_bytes_max,
        }
    }

    /// Hands a request over and waits for the whole answer, at most for `time`.
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
            .ok_or_else(|| error::exchange_error(self.address, "closed before the answer"))?
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
            // The body is sent at once, so no interim answer is asked for.
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

    /// Tells whether a body follows; an answer whose end cannot be told from a cut is broken
    /// (RFC 9112, section 6.3).
    fn check_framing(&self, method: &Method, head: &ResponseHead) -> Result<bool> {
        let status = head.status;
        if status.is_informational() {
            return Err(error::invalid_response(self.address, "an interim answer"));
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
                "neither a length nor chunked framing",
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
                "no body where one was announced",
            ));
        }
        let mut framed: Framed<_, _> =
            framed.map_codec(actix_http::h1::ClientCodec::into_payload_codec);
        let mut body = BytesMut::new();
        loop {
            let chunk = framed.next().await;
            let chunk = chunk.ok_or_else(|| error::invalid_response(address, "cut off"))?;
            let Some(chunk) = chunk.map_err(|error| error::invalid_response(address, &error))?
            else {
                break;
            };
            if body.len() + chunk.len() > self.response_bytes_max {
                let cause = "the answer is larger than the bound";
                return Err(error::invalid_response(address, cause));
            }
            body.extend_from_slice(&chunk);
        }
        if content_length(head).is_some_and(|length| length != body.len()) {
            return Err(error::invalid_response(address, "shorter than its length"));
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
