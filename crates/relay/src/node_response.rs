//! Responses of a node itself, as opposed to those of an upstream.

use crate::{
    access_gate::UNAUTHORIZED, header_scheme::HeaderScheme, http1::request_handler::ServerResponse,
};

use bytes::{BufMut, Bytes, BytesMut};
use std::{fmt::Write, time::Duration};

/// Bytes that the header fields of most responses fit in.
const FIELDS_CAPACITY: usize = 128;

/// `NodeResponse` is a response of the node.
pub(crate) struct NodeResponse<'a> {
    /// Id of the request; empty if it is not known.
    pub(crate) id: &'a str,
    /// HTTP status code.
    pub(crate) status: u16,
    /// Time after which a retry may succeed; `None` if a retry cannot help.
    pub(crate) retry_after: Option<Duration>,
    /// Why the request did not get a response of an upstream.
    pub(crate) reason: &'a str,
}

impl NodeResponse<'_> {
    /// Builds the response to send.
    pub(crate) fn to_server_response(&self, scheme: HeaderScheme) -> ServerResponse {
        ServerResponse {
            status: self.status,
            fields: self.fields(scheme),
            body: Bytes::copy_from_slice(self.reason.as_bytes()),
        }
    }

    fn fields(&self, scheme: HeaderScheme) -> Bytes {
        let Self { id, reason, .. } = self;
        let mut fields = BytesMut::with_capacity(FIELDS_CAPACITY);
        // Writing to a buffer in memory cannot fail.
        if !id.is_empty() {
            let _ = write!(fields, "{}: {id}\r\n", scheme.request_id);
        }
        if let Some(retry_after) = self.retry_after {
            let _ = write!(fields, "Retry-After: {:.3}\r\n", retry_after.as_secs_f64());
        }
        if self.status == UNAUTHORIZED {
            let _ = write!(fields, "WWW-Authenticate: {}\r\n", scheme.key_scheme);
        }
        let _ = write!(fields, "Lagoonshore-Reason: {reason}\r\n");
        fields.put_slice(b"Content-Type: text/plain\r\n");
        fields.freeze()
    }
}
