//! Framing of the messages on a link between nodes.
//!
//! A frame is the lengths of its parts, the encoded message, and the bytes that are sent beside it. These
//! are neither copied into the frame nor out of it: they are written from where they are, and read into
//! the memory in which they stay. All parts are counted against a memory budget. A message that does not
//! fit ends the link; bytes beside it that do not fit are read and discarded, and the message says so.

use crate::{
    frame_reader::{FrameReader, LENGTH_BYTES, LENGTHS_BYTES, PARTS_MAX},
    memory_budget::MemoryBudget,
    memory_report::MemoryHolder,
    write_queue::{WRITE_SLICES_MAX, WriteQueue},
};

use actix_rt::net::TcpStream;
use bincode::Options;
use bytes::{BufMut, Bytes, BytesMut};
use futures::{Sink, Stream, ready};
use lagoonshore_protocol::relay_bytes;
use serde::{Deserialize, Serialize};
use std::{
    io::{Error, ErrorKind, IoSlice, Result},
    marker::PhantomData,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::io::AsyncWrite;

pub use crate::frame_reader::ReceivedKind;

/// Unwritten bytes above which no further message is accepted.
const WRITE_AHEAD_BYTES: usize = 256 * 1024;

/// `LinkTransport` receives messages of type `Item` and sends those of type `SinkItem`.
pub struct LinkTransport<Item, SinkItem> {
    stream: TcpStream,
    reader: FrameReader,
    unwritten: WriteQueue,
    messages: PhantomData<fn(SinkItem) -> Item>,
}

impl<Item, SinkItem> LinkTransport<Item, SinkItem> {
    /// Wraps a connection. The frames that it receives have `frame_bytes_max` bytes at most.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        frame_bytes_max: usize,
        budget: MemoryBudget,
        received: ReceivedKind,
    ) -> Self {
        // If the address is not available, the connection has ended.
        let node = stream.peer_addr().ok();
        let holder = node.map_or_else(MemoryHolder::default, |node| MemoryHolder::Node(node.ip()));
        Self {
            stream,
            reader: FrameReader::new(frame_bytes_max, budget, received, holder),
            unwritten: WriteQueue::default(),
            messages: PhantomData,
        }
    }

    /// Writes until everything is written or the socket is full.
    fn poll_write(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while !self.unwritten.is_empty() {
            let mut slices = [IoSlice::new(&[]); WRITE_SLICES_MAX];
            let filled = self.unwritten.fill(&mut slices);
            let stream = Pin::new(&mut self.stream);
            let written = ready!(stream.poll_write_vectored(context, &slices[..filled]))?;
            if written == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.unwritten.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl<Item, SinkItem> Stream for LinkTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
{
    type Item = Result<Item>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Self { stream, reader, .. } = self.get_mut();
        let frame = match ready!(reader.poll_frame(stream, context)) {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => return Poll::Ready(None),
        };
        let decoded = relay_bytes::decode_detached(frame.parts, || {
            bincode::DefaultOptions::new().deserialize(&frame.message)
        });
        Poll::Ready(Some(decoded.map_err(Error::other)))
    }
}

impl<Item, SinkItem> Sink<SinkItem> for LinkTransport<Item, SinkItem>
where
    SinkItem: Serialize,
{
    type Error = Error;

    fn poll_ready(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let transport = self.get_mut();
        if transport.unwritten.len() < WRITE_AHEAD_BYTES {
            return Poll::Ready(Ok(()));
        }
        transport.poll_write(context)
    }

    fn start_send(self: Pin<&mut Self>, item: SinkItem) -> Result<()> {
        let transport = self.get_mut();
        let mut frame = BytesMut::zeroed(LENGTHS_BYTES);
        let options = bincode::DefaultOptions::new();
        let (encoded, parts) =
            relay_bytes::encode_detached(|| options.serialize_into((&mut frame).writer(), &item));
        encoded.map_err(Error::other)?;
        if parts.len() > PARTS_MAX {
            return Err(ErrorKind::InvalidInput.into());
        }
        let message_length = frame.len() - LENGTHS_BYTES;
        let lengths = std::iter::once(message_length).chain(parts.iter().map(Bytes::len));
        for (place, length) in frame.chunks_exact_mut(LENGTH_BYTES).zip(lengths) {
            let length = u32::try_from(length).map_err(Error::other)?;
            place.copy_from_slice(&length.to_be_bytes());
        }
        transport.unwritten.push(frame.freeze());
        for part in parts {
            transport.unwritten.push(part);
        }
        Ok(())
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.get_mut().poll_write(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let transport = self.get_mut();
        ready!(transport.poll_write(context))?;
        Pin::new(&mut transport.stream).poll_shutdown(context)
    }
}
