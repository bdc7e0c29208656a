//! Framing of message bodies (RFC 9112, sections 6 and 7).

use super::memory_budget::MemoryShare;

use bytes::{Bytes, BytesMut};
use httparse::Status;

/// Longest chunk-size line or trailer line, in bytes.
const CHUNK_LINE_BYTES_MAX: usize = 4096;
/// Most bytes of all trailer lines of a body.
const TRAILER_BYTES_MAX: usize = 16 * 1024;
/// Length of CRLF.
const LINE_END_BYTES: usize = 2;

/// `BodyFraming` is how the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Length(usize),
    /// At the last chunk.
    Chunked,
    /// At the end of the connection.
    UntilClose,
}

/// `BodyError` is the reason why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the allowed maximum.
    TooLarge,
    /// The chunked coding is malformed.
    Malformed,
    /// There is no memory for the body now.
    NoMemory,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// `BodyReader` reads one body from the input buffer of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    chunk: ChunkState,
    body: BytesMut,
    trailer_bytes: usize,
    bytes_max: usize,
    memory: Option<MemoryShare>,
}

impl BodyReader {
    /// Creates a reader for a body of at most `bytes_max` bytes.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the announced length is above `bytes_max`.
    pub fn new(framing: BodyFraming, bytes_max: usize) -> Result<Self, BodyError> {
        if matches!(framing, BodyFraming::Length(length) if length > bytes_max) {
            return Err(BodyError::TooLarge);
        }
        Ok(Self {
            framing,
            chunk: ChunkState::Size,
            body: BytesMut::new(),
            trailer_bytes: 0,
            bytes_max,
            memory: None,
        })
    }

    /// Counts the body against the budget of `share`; a body of known length is counted at once.
    ///
    /// # Errors
    /// [`BodyError::NoMemory`] if there is no memory for it.
    pub fn with_memory(mut self, mut share: MemoryShare) -> Result<Self, BodyError> {
        if let BodyFraming::Length(length) = self.framing {
            if !share.extend_to(length) {
                return Err(BodyError::NoMemory);
            }
            self.body.reserve(length.min(self.bytes_max));
        }
        self.memory = Some(share);
        Ok(self)
    }

    /// Moves the bytes of the body out of `buffer`; returns `true` once the body is complete. Bytes
    /// that follow the body stay in the buffer.
    ///
    /// # Errors
    /// [`BodyError`] if the body is too large or malformed.
    pub fn read_from(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        match self.framing {
            BodyFraming::Length(length) => {
                self.read_data(buffer, length - self.body.len())?;
                Ok(self.body.len() == length)
            }
            BodyFraming::UntilClose => {
                self.read_data(buffer, usize::MAX)?;
                Ok(false)
            }
            BodyFraming::Chunked => self.read_chunks(buffer),
        }
    }

    /// Returns whether the body ends at the end of the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Bytes of the body read so far, without chunk framing.
    #[must_use]
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns whether no byte of the body was read yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Returns the bytes read, which are the whole body once [`Self::read_from`] returned `true`. They
    /// hold their memory for as long as they are in use.
    #[must_use]
    pub fn finish(self) -> Bytes {
        match self.memory {
            Some(share) => share.hold(self.body),
            None => self.body.freeze(),
        }
    }

    fn read_data(&mut self, buffer: &mut BytesMut, wanted: usize) -> Result<usize, BodyError> {
        let taken = buffer.len().min(wanted);
        if self.body.len() + taken > self.bytes_max {
            return Err(BodyError::TooLarge);
        }
        if let Some(share) = &mut self.memory
            && !share.extend_to(self.body.len() + taken)
        {
            return Err(BodyError::NoMemory);
        }
        self.body.extend_from_slice(&buffer.split_to(taken));
        Ok(taken)
    }

    fn read_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        loop {
            match self.chunk {
                ChunkState::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(Status::Complete((used, size))) => {
                        let _ = buffer.split_to(used);
                        let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
                        self.chunk = match size {
                            0 => ChunkState::Trailer,
                            size => ChunkState::Data(size),
                        };
                    }
                    Ok(Status::Partial) if buffer.len() <= CHUNK_LINE_BYTES_MAX => {
                        return Ok(false);
                    }
                    _ => return Err(BodyError::Malformed),
                },
                ChunkState::Data(size) => {
                    let taken = self.read_data(buffer, size)?;
                    if taken < size {
                        self.chunk = ChunkState::Data(size - taken);
                        return Ok(false);
                    }
                    self.chunk = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => {
                    if buffer.len() < LINE_END_BYTES {
                        return Ok(false);
                    }
                    if buffer.split_to(LINE_END_BYTES)[..] != *b"\r\n" {
                        return Err(BodyError::Malformed);
                    }
                    self.chunk = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(end) = find_line_end(buffer) else {
                        let is_short = buffer.len() <= CHUNK_LINE_BYTES_MAX;
                        return if is_short {
                            Ok(false)
                        } else {
                            Err(BodyError::Malformed)
                        };
                    };
                    let line = buffer.split_to(end + LINE_END_BYTES);
                    if line.len() == LINE_END_BYTES {
                        return Ok(true);
                    }
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > TRAILER_BYTES_MAX {
                        return Err(BodyError::TooLarge);
                    }
                }
            }
        }
    }
}

fn find_line_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(LINE_END_BYTES)
        .position(|pair| pair == b"\r\n")
}
