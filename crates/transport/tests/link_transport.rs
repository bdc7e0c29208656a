//! Messages on a link between nodes, and the memory that they hold at the receiver.

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use lagoonshore_protocol::relay_bytes::RelayBytes;
use lagoonshore_transport::{
    link_transport::{LinkTransport, ReceivedKind},
    memory_budget::MemoryBudget,
};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use tokio::io::AsyncWriteExt;

/// Memory of the receiver.
const BUDGET_BYTES: usize = 16 << 20;
/// Largest frame.
const FRAME_BYTES_MAX: usize = 64 << 20;

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct TestMessage {
    number: u32,
    fields: RelayBytes,
    body: RelayBytes,
}

type TestTransport = LinkTransport<TestMessage, TestMessage>;

impl TestMessage {
    fn new(number: u32, field_bytes: usize, body_bytes: usize) -> Self {
        Self {
            number,
            fields: Bytes::from(vec![b'f'; field_bytes]).into(),
            body: Bytes::from(vec![b'b'; body_bytes]).into(),
        }
    }
}

/// Two ends of a link; the second one receives requests within `budget`.
async fn connect(budget: MemoryBudget) -> (TestTransport, TestTransport) {
    let (sender, receiver) = connect_raw().await;
    let unlimited = MemoryBudget::new(usize::MAX);
    (
        LinkTransport::new(sender, FRAME_BYTES_MAX, unlimited, ReceivedKind::Responses),
        LinkTransport::new(receiver, FRAME_BYTES_MAX, budget, ReceivedKind::Requests),
    )
}

async fn connect_raw() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sender = TcpStream::connect(address).await.expect("connected");
    let (receiver, _) = listener.accept().await.expect("accepted");
    (sender, receiver)
}

#[rstest]
#[case::nothing_beside(0, 0)]
#[case::within_the_message(1023, 10)]
#[case::body_beside(10, 1024)]
#[case::fields_beside(5000, 3)]
#[case::both_beside(70_000, 9_000_000)]
#[actix_rt::test]
async fn messages_arrive_as_they_were_sent(#[case] fields: usize, #[case] body: usize) {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut sender, mut receiver) = connect(budget.clone()).await;
    let messages: Vec<_> = (0..3)
        .map(|number| TestMessage::new(number, fields, body))
        .collect();
    let sent = messages.clone();
    let sending = actix_rt::spawn(async move {
        for message in sent {
            sender.send(message).await.expect("sent");
        }
    });
    for message in messages {
        let received = receiver.next().await.expect("open").expect("whole");
        assert_eq!(received, message);
    }
    sending.await.expect("no panic");
    assert!(
        receiver.next().await.is_none(),
        "the link ends between messages"
    );
    assert_eq!(budget.free(), BUDGET_BYTES, "all memory is free again");
}

/// Guards against a node that runs out of memory by the messages of others.
#[actix_rt::test]
async fn bytes_that_do_not_fit_are_dropped_and_later_messages_arrive() {
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let (mut sender, mut receiver) = connect(budget.clone()).await;
    let sending = actix_rt::spawn(async move {
        for (number, bytes) in (0..).zip([10 << 20, 10 << 20, 1000, 40 << 20, 10 << 20]) {
            let message = TestMessage::new(number, 0, bytes);
            sender.send(message).await.expect("sent");
        }
    });
    let mut held = Vec::new();
    for _ in 0..5 {
        held.push(receiver.next().await.expect("open").expect("whole"));
        // The first message is held until the last but one has arrived.
        if held.len() == 4 {
            held[0].body = RelayBytes::default();
        }
    }
    sending.await.expect("no panic");
    let dropped: Vec<_> = held
        .iter()
        .map(|message| message.body.is_dropped())
        .collect();
    assert_eq!(dropped, [false, true, false, true, false]);
    drop(held);
    assert_eq!(budget.free(), BUDGET_BYTES);
}

#[rstest]
#[case::too_large([u32::MAX, 0, 0], ErrorKind::InvalidData)]
#[case::too_large_beside([10, 1, u32::MAX], ErrorKind::InvalidData)]
#[case::cut_off([1000, 0, 0], ErrorKind::UnexpectedEof)]
#[case::no_message([3, 0, 0], ErrorKind::Other)]
#[actix_rt::test]
async fn a_frame_that_is_no_message_ends_the_link(
    #[case] lengths: [u32; 3],
    #[case] kind: ErrorKind,
) {
    let (mut sender, receiver) = connect_raw().await;
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut receiver =
        TestTransport::new(receiver, FRAME_BYTES_MAX, budget, ReceivedKind::Requests);
    let mut frame: Vec<u8> = lengths
        .iter()
        .flat_map(|length| length.to_be_bytes())
        .collect();
    frame.extend([0xff; 3]);
    sender.write_all(&frame).await.expect("sent");
    sender.shutdown().await.expect("closed");
    let error = receiver
        .next()
        .await
        .expect("an error")
        .expect_err("no message");
    assert_eq!(error.kind(), kind, "{error}");
}

/// Guards against an encoded message, as opposed to bytes beside it, that takes a node over its memory.
#[actix_rt::test]
async fn a_message_that_does_not_fit_ends_the_link() {
    let (mut sender, receiver) = connect_raw().await;
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let mut receiver =
        TestTransport::new(receiver, FRAME_BYTES_MAX, budget, ReceivedKind::Requests);
    actix_rt::spawn(async move {
        let length = u32::try_from(32 << 20).expect("a short frame");
        let lengths = [length, 0, 0].map(u32::to_be_bytes).concat();
        // The receiver closes the link within the message.
        let _ = sender.write_all(&lengths).await;
        let _ = sender.write_all(&vec![0; 32 << 20]).await;
    });
    let error = receiver
        .next()
        .await
        .expect("an error")
        .expect_err("no message");
    assert_eq!(error.kind(), ErrorKind::OutOfMemory, "{error}");
}
