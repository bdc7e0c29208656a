//! Callers that read their responses slowly.

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_relay::{
    active_count::ActiveCount,
    header_scheme::HeaderScheme,
    http1::{
        memory_budget::MemoryBudget,
        request_handler::{
            self, RequestHandler, ServerPhase, ServerRequest, ServerResponse, UnreadRequest,
        },
        server::{self, ServerLimits},
    },
};
use lagoonshore_state::route_table::CallerLimits;
use rstest::rstest;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

mod support;

const SCHEME: HeaderScheme = support::SCHEME;
/// Size of a response, more than the kernel takes for a connection.
const RESPONSE_BYTES: usize = 64 << 20;
/// Rate that no caller reaches.
const RATE_OUT_OF_REACH: u32 = u32::MAX;
/// Time that callers have.
const SHORT_TIME: Duration = Duration::from_secs(1);
/// Pause between two bytes that are read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that are read with a pause.
const SLOW_BYTES: usize = 40;

/// Answers every request with [`RESPONSE_BYTES`] bytes.
struct LargeResponses(watch::Sender<ServerPhase>);

impl LargeResponses {
    fn response(body: Bytes) -> ServerResponse {
        ServerResponse {
            status: 200,
            fields: Bytes::new(),
            body,
        }
    }
}

impl RequestHandler for LargeResponses {
    fn respond(self: Rc<Self>, _: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        let body = Bytes::from(vec![b'x'; RESPONSE_BYTES]);
        request_handler::ready_response(Self::response(body))
    }

    fn refuse_unread(&self, _: UnreadRequest<'_>) -> ServerResponse {
        Self::response(Bytes::new())
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.0.subscribe()
    }
}

async fn start_server(response_time: Duration, rate: u32) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Rc::new(LargeResponses(watch::channel(ServerPhase::Open).0));
    let limits = ServerLimits {
        connections: 10,
        body_time: SHORT_TIME,
        body_bytes_per_second: RATE_OUT_OF_REACH,
        response_time,
        response_bytes_per_second: rate,
        budget: MemoryBudget::new(RESPONSE_BYTES),
    };
    let serving = server::serve(listener, handler, SCHEME, ActiveCount::default(), limits);
    actix_rt::spawn(serving);
    address
}

/// Reads some bytes slowly and the others at once; returns the number of bytes.
async fn read_slowly(mut stream: TcpStream) -> usize {
    for _ in 0..SLOW_BYTES {
        // The connection may end at any time.
        let _ = stream.read(&mut [0]).await;
        actix_rt::time::sleep(READ_PAUSE).await;
    }
    let mut bytes = vec![0; 1 << 20];
    let mut length = SLOW_BYTES;
    while let Ok(read @ 1..) = stream.read(&mut bytes).await {
        length += read;
    }
    length
}

#[rstest]
#[case::too_slow(SHORT_TIME, RATE_OUT_OF_REACH, false)]
#[case::in_time(Duration::from_mins(1), RATE_OUT_OF_REACH, true)]
#[case::fast_enough(SHORT_TIME, 1024, true)]
#[actix_rt::test]
async fn a_response_that_is_read_too_slowly_is_given_up(
    #[case] response_time: Duration,
    #[case] rate: u32,
    #[case] is_whole: bool,
) {
    let address = start_server(response_time, rate).await;
    let mut stream = TcpStream::connect(address).await.expect("an open listener");
    let request = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let length = read_slowly(stream).await;
    assert_eq!(length >= RESPONSE_BYTES, is_whole, "{length} bytes");
}
