//! Reading of the frames of a link, within a memory budget.

use crate::{
    memory_budget::{MemoryBudget, MemoryShare},
    memory_report::MemoryHolder,
};

use actix_rt::net::TcpStream;
use bytes::{Buf, BufMut, BytesMut};
use futures::ready;
use lagoonshore_protocol::relay_bytes::RelayBytes;
use std::{
    collections::VecDeque,
    io::{ErrorKind, Result},
    pin::pin,
    task::{Context, Poll},
};
use tokio::io::AsyncReadExt;

/// Most parts that are sent beside one message.
pub(crate) const PARTS_MAX: usize = 2;
/// Bytes of one length at the start of a frame.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Bytes of all lengths: of the message and of each part, 0 for a part that is not there.
pub(crate) const LENGTHS_BYTES: usize = (1 + PARTS_MAX) * LENGTH_BYTES;
/// Bytes reserved for one read of lengths and messages.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// `ReceivedKind` says which messages a transport receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedKind {
    /// Requests, from a client.
    Requests,
    /// Responses, from a server.
    Responses,
}

/// `LinkFrame` is a frame that was read completely.
pub(crate) struct LinkFrame {
    /// The encoded message.
    pub(crate) message: BytesMut,
    /// Bytes that were sent beside it.
    pub(crate) parts: VecDeque<RelayBytes>,
    /// Memory of the message.
    _share: MemoryShare,
}

/// `FrameReader` reads one frame after the other.
pub(crate) struct FrameReader {
    frame_bytes_max: usize,
    budget: MemoryBudget,
    received: ReceivedKind,
    /// The node at the other end.
    holder: MemoryHolder,
    input: BytesMut,
    state: FrameState,
}

enum FrameState {
    /// The lengths of the next frame are due.
    Lengths,
    /// The encoded message is due, then the parts beside it.
    Message {
        length: usize,
        parts: VecDeque<usize>,
        share: MemoryShare,
    },
    /// Parts beside the message are due.
    Parts {
        frame: LinkFrame,
        lengths: VecDeque<usize>,
        current: Option<PendingPart>,
    },
}

/// A part that is being read.
enum PendingPart {
    Kept {
        bytes: BytesMut,
        length: usize,
        share: MemoryShare,
    },
    Discarded {
        left: usize,
    },
}

impl FrameReader {
    pub(crate) fn new(
        frame_bytes_max: usize,
        budget: MemoryBudget,
        received: ReceivedKind,
        holder: MemoryHolder,
    ) -> Self {
        Self {
            frame_bytes_max,
            budget,
            received,
            holder,
            input: BytesMut::new(),
            state: FrameState::Lengths,
        }
    }

    /// Reads until a frame is complete; `None` at the end of the connection.
    pub(crate) fn poll_frame(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<LinkFrame>>> {
        loop {
            match self.take_frame() {
                Ok(Some(frame)) => return Poll::Ready(Some(Ok(frame))),
                Ok(None) => {}
                Err(error) => return Poll::Ready(Some(Err(error))),
            }
            match ready!(self.poll_read(stream, context)) {
                Ok(0) if self.is_between_frames() => return Poll::Ready(None),
                Ok(0) => return Poll::Ready(Some(Err(ErrorKind::UnexpectedEof.into()))),
                Ok(_) => {}
                Err(error) => return Poll::Ready(Some(Err(error))),
            }
        }
    }

    /// Reads into the part that is due, or else into the input.
    fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<Result<usize>> {
        if let FrameState::Parts {
            current: Some(PendingPart::Kept { bytes, length, .. }),
            ..
        } = &mut self.state
        {
            let mut rest = bytes.limit(*length - bytes.len());
            return pin!(stream.read_buf(&mut rest)).poll(context);
        }
        self.input.reserve(READ_CHUNK_BYTES);
        pin!(stream.read_buf(&mut self.input)).poll(context)
    }

    fn is_between_frames(&self) -> bool {
        self.input.is_empty() && matches!(self.state, FrameState::Lengths)
    }

    /// Takes what is available off the input; returns a frame once it is complete.
    fn take_frame(&mut self) -> Result<Option<LinkFrame>> {
        if matches!(self.state, FrameState::Lengths) && !self.take_lengths()? {
            return Ok(None);
        }
        if matches!(self.state, FrameState::Message { .. }) && !self.take_message()? {
            return Ok(None);
        }
        Ok(self.take_parts())
    }

    fn take_lengths(&mut self) -> Result<bool> {
        if self.input.len() < LENGTHS_BYTES {
            return Ok(false);
        }
        let mut next_length = || usize::try_from(self.input.get_u32()).unwrap_or(usize::MAX);
        let length = next_length();
        let parts: VecDeque<usize> = (0..PARTS_MAX).map(|_| next_length()).collect();
        let whole = parts
            .iter()
            .fold(length, |sum, part| sum.saturating_add(*part));
        if whole > self.frame_bytes_max {
            return Err(ErrorKind::InvalidData.into());
        }
        self.state = FrameState::Message {
            length,
            parts: parts.into_iter().filter(|part| *part > 0).collect(),
            share: self.new_share(),
        };
        Ok(true)
    }

    fn take_message(&mut self) -> Result<bool> {
        let FrameState::Message { length, share, .. } = &mut self.state else {
            return Ok(false);
        };
        if !share.extend_to(self.input.len().min(*length)) {
            return Err(ErrorKind::OutOfMemory.into());
        }
        if self.input.len() < *length {
            return Ok(false);
        }
        let message = self.input.split_to(*length);
        if let FrameState::Message { parts, share, .. } =
            std::mem::replace(&mut self.state, FrameState::Lengths)
        {
            self.state = FrameState::Parts {
                frame: LinkFrame {
                    message,
                    parts: VecDeque::new(),
                    _share: share,
                },
                lengths: parts,
                current: None,
            };
        }
        Ok(true)
    }

    /// Takes the parts beside the message; returns the frame once it has all of them.
    fn take_parts(&mut self) -> Option<LinkFrame> {
        loop {
            let new_share = self.new_share();
            let FrameState::Parts {
                frame,
                lengths,
                current,
            } = &mut self.state
            else {
                return None;
            };
            if current.is_none() {
                let Some(length) = lengths.pop_front() else {
                    return self.finish_frame();
                };
                *current = Some(PendingPart::new(length, new_share));
            }
            let pending = current.take()?;
            match pending.read_from(&mut self.input) {
                Ok(part) => frame.parts.push_back(part),
                Err(pending) => {
                    *current = Some(pending);
                    return None;
                }
            }
        }
    }

    fn finish_frame(&mut self) -> Option<LinkFrame> {
        match std::mem::replace(&mut self.state, FrameState::Lengths) {
            FrameState::Parts { frame, .. } => Some(frame),
            _ => None,
        }
    }

    fn new_share(&self) -> MemoryShare {
        let share = match self.received {
            ReceivedKind::Requests => self.budget.request_share(),
            ReceivedKind::Responses => self.budget.share(),
        };
        share.held_by(self.holder)
    }
}

impl PendingPart {
    fn new(length: usize, mut share: MemoryShare) -> Self {
        if share.extend_to(length) {
            Self::Kept {
                bytes: BytesMut::with_capacity(length),
                length,
                share,
            }
        } else {
            Self::Discarded { left: length }
        }
    }

    /// Takes what is available off `input`; returns the part once it is complete, or else itself.
    fn read_from(self, input: &mut BytesMut) -> std::result::Result<RelayBytes, Self> {
        match self {
            Self::Kept {
                mut bytes,
                length,
                share,
            } => {
                let taken = input.len().min(length - bytes.len());
                bytes.extend_from_slice(&input.split_to(taken));
                if bytes.len() < length {
                    return Err(Self::Kept {
                        bytes,
                        length,
                        share,
                    });
                }
                Ok(RelayBytes::Held(share.hold(bytes)))
            }
            Self::Discarded { left } => {
                let taken = input.len().min(left);
                input.advance(taken);
                if taken < left {
                    return Err(Self::Discarded { left: left - taken });
                }
                Ok(RelayBytes::Dropped)
            }
        }
    }
}
