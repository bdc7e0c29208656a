//! HTTP/1.1 listeners with limits on connections, body size and time.

use crate::{
    close_signal::{CloseSignal, ConnectionState},
    error::{ListenSnafu, Result},
};

use actix_http::{
    ConnectionType, HttpMessage, HttpService, Payload, Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures::StreamExt;
use lagoonshore_protocol::headers::HeaderField;
use snafu::ResultExt;
use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration,
};

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// `ListenerLimits` holds the limits of one listener.
#[derive(Clone, Debug)]
pub struct ListenerLimits {
    /// Limit on open connections; shared, so that a new policy can change it.
    pub connections: Rc<Cell<u32>>,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Closes each connection after its next response, once triggered.
    pub close_signal: CloseSignal,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: Rc::new(Cell::new(1024)),
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_secs(75),
            close_signal: CloseSignal::default(),
        }
    }
}

/// `HttpRequest` is a request as received by a listener.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: CompactString,
    /// Path with query.
    pub path: CompactString,
    /// Header fields, with names in lower case.
    pub headers: Vec<HeaderField>,
    /// The body, or why it could not be read.
    pub body: Result<Bytes, BodyError>,
}

/// `BodyError` is the reason why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than this limit, in bytes.
    TooLarge(usize),
    /// The body ended early or was not received within the timeout.
    Truncated,
}

/// `HttpResponse` is a complete response to send.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Bytes,
}

/// Binds a listening socket; `listener` is its name for error messages.
///
/// # Errors
/// [`crate::TransportError::Listen`] if the address cannot be bound.
pub async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { listener, address })
}

/// Serves requests until the future is dropped. Connections above the limit are closed at once.
pub async fn serve<H, F>(listener: TcpListener, limits: ListenerLimits, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let body_limits = limits.clone();
    let close_signal = limits.close_signal.clone();
    let service = HttpService::build()
        .keep_alive(limits.keep_alive)
        .client_request_timeout(limits.head_timeout)
        // A caller that closes its side has given up: its handler is dropped, which cancels the
        // request.
        .h1_allow_half_closed(false)
        .on_connect_ext(move |_, data| {
            data.insert(ConnectionState::new(close_signal.clone()));
        })
        .finish(fn_service(move |request| {
            respond(request, body_limits.clone(), handler.clone())
        }))
        .tcp()
        .new_service(())
        .await;
    let Ok(service) = service else { return };
    let service = Rc::new(service);
    let open_connections = Rc::new(Cell::new(0_u32));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() < limits.connections.get() {
            let guard = ConnectionGuard::new(&open_connections);
            actix_rt::spawn(serve_connection(Rc::clone(&service), stream, guard));
        }
    }
}

async fn serve_connection<S: Service<TcpStream>>(
    service: Rc<S>,
    io: TcpStream,
    guard: ConnectionGuard,
) {
    // Errors of one connection, such as a malformed head, do not affect the others.
    let _ = io.set_nodelay(true);
    let _ = service.call(io).await;
    drop(guard);
}

struct ConnectionGuard(Rc<Cell<u32>>);

impl ConnectionGuard {
    fn new(open_connections: &Rc<Cell<u32>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(Rc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn respond<H, F>(
    request: Request,
    limits: ListenerLimits,
    handler: H,
) -> Result<Response<Bytes>, Infallible>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpResponse>,
{
    let connection = request.conn_data::<Rc<ConnectionState>>().cloned();
    let (mut head, payload) = split_request(request);
    head.body = read_body(payload, &limits).await;
    let mut response = to_response(handler(head).await);
    if connection.is_some_and(|state| state.should_close()) {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    Ok(response)
}

fn split_request(mut request: Request) -> (HttpRequest, Payload) {
    let payload = request.take_payload();
    let headers = request.headers().iter().map(|(name, value)| HeaderField {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let head = HttpRequest {
        method: request.method().as_str().into(),
        path: path.into(),
        headers: headers.collect(),
        body: Ok(Bytes::new()),
    };
    (head, payload)
}

async fn read_body(payload: Payload, limits: &ListenerLimits) -> Result<Bytes, BodyError> {
    let reading = collect_body(payload, limits.body_bytes);
    actix_rt::time::timeout(limits.body_timeout, reading)
        .await
        .unwrap_or(Err(BodyError::Truncated))
}

async fn collect_body(mut payload: Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Truncated)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn to_response(handled: HttpResponse) -> Response<Bytes> {
    let status = StatusCode::from_u16(handled.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, handled.body);
    for field in handled.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
