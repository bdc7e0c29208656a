//! Framing of message bodies (RFC 9112, sections 6 and 7).

use bytes::{Buf, Bytes, BytesMut};
use httparse::Status;
use lagoonshore_transport::body_memory::{BodyMemory, MemoryError};

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
    /// Its memory was given to others.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// Result of one step of the decoding.
enum ChunkStep {
    /// So many bytes were used.
    Used(usize),
    /// More input has to arrive.
    Incomplete,
    /// So many bytes were used, and the body is complete.
    LastUsed(usize),
}

/// `BodyReader` reads one body from the input buffer of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    chunks: ChunkReader,
    bytes_max: usize,
    memory: BodyMemory,
}

/// Decodes the chunked coding.
#[derive(Debug)]
struct ChunkReader {
    state: ChunkState,
    trailer_bytes: usize,
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
            chunks: ChunkReader {
                state: ChunkState::Size,
                trailer_bytes: 0,
            },
            bytes_max,
            memory: BodyMemory::uncounted(),
        })
    }

    /// Reads the body into `memory`. A body of known length is counted at once, and so is what is held
    /// beside a body.
    ///
    /// # Errors
    /// [`BodyError::NoMemory`] if there is no memory for it.
    pub fn with_memory(mut self, mut memory: BodyMemory) -> Result<Self, BodyError> {
        let known_bytes = match self.framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        memory.reserve(known_bytes)?;
        self.memory = memory;
        Ok(self)
    }

    /// Moves the bytes of the body out of `buffer`; returns `true` once the body is complete. Bytes
    /// that follow the body stay in the buffer.
    ///
    /// # Errors
    /// [`BodyError`] if the body is too large or malformed, or its memory was given to others.
    pub fn read_from(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        let is_complete = match self.framing {
            BodyFraming::Length(length) => {
                self.read_data(buffer, length - self.memory.len())?;
                self.memory.len() == length
            }
            BodyFraming::UntilClose => {
                self.read_data(buffer, usize::MAX)?;
                false
            }
            BodyFraming::Chunked => self.read_chunks(buffer)?,
        };
        if is_complete {
            self.memory.keep()?;
        }
        Ok(is_complete)
    }

    /// Returns whether the body ends at the end of the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Bytes of the body read so far, without chunk framing.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.memory.len()
    }

    /// Returns whether no byte of the body was read yet.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.memory.is_empty()
    }

    /// Returns the bytes read, which are the whole body once [`Self::read_from`] returned `true`. They
    /// hold their memory for as long as they are in use.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.memory.finish()
    }

    fn read_data(&mut self, buffer: &mut BytesMut, wanted: usize) -> Result<(), BodyError> {
        let taken = buffer.len().min(wanted);
        if self.memory.len() + taken > self.bytes_max {
            return Err(BodyError::TooLarge);
        }
        let data = &buffer[..taken];
        let write = |bytes: &mut Vec<u8>| bytes.extend_from_slice(data);
        self.memory.write_with(taken, self.bytes_max, write)?;
        buffer.advance(taken);
        Ok(())
    }

    fn read_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        let Self {
            chunks,
            bytes_max,
            memory,
            ..
        } = self;
        let data_max = chunks.data_max(buffer);
        let decode = |bytes: &mut Vec<u8>| chunks.decode(buffer, bytes, *bytes_max);
        let (used, is_complete) = memory.write_with(data_max, *bytes_max, decode)??;
        buffer.advance(used);
        Ok(is_complete)
    }
}

impl ChunkReader {
    /// Upper bound of the data in `input`.
    const fn data_max(&self, input: &[u8]) -> usize {
        match self.state {
            ChunkState::Trailer => 0,
            _ => input.len(),
        }
    }

    /// Appends the data in `input` to `body`, which may have `bytes_max` bytes at most. Returns the
    /// number of bytes used, and whether the body is complete.
    fn decode(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        bytes_max: usize,
    ) -> Result<(usize, bool), BodyError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let step = match self.state {
                ChunkState::Size => self.decode_size(rest)?,
                ChunkState::Data(size) => self.decode_data(rest, size, body, bytes_max)?,
                ChunkState::DataEnd => self.decode_data_end(rest)?,
                ChunkState::Trailer => self.decode_trailer(rest)?,
            };
            match step {
                ChunkStep::Used(bytes) => used += bytes,
                ChunkStep::Incomplete => return Ok((used, false)),
                ChunkStep::LastUsed(bytes) => return Ok((used + bytes, true)),
            }
        }
    }

    fn decode_size(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        match httparse::parse_chunk_size(input) {
            Ok(Status::Complete((used, size))) => {
                let size = usize::try_from(size).map_err(|_| BodyError::TooLarge)?;
                self.state = match size {
                    0 => ChunkState::Trailer,
                    size => ChunkState::Data(size),
                };
                Ok(ChunkStep::Used(used))
            }
            Ok(Status::Partial) if input.len() <= CHUNK_LINE_BYTES_MAX => Ok(ChunkStep::Incomplete),
            _ => Err(BodyError::Malformed),
        }
    }

    fn decode_data(
        &mut self,
        input: &[u8],
        size: usize,
        body: &mut Vec<u8>,
        bytes_max: usize,
    ) -> Result<ChunkStep, BodyError> {
        if input.is_empty() {
            return Ok(ChunkStep::Incomplete);
        }
        let taken = input.len().min(size);
        if taken > bytes_max - body.len() {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&input[..taken]);
        self.state = match size - taken {
            0 => ChunkState::DataEnd,
            left => ChunkState::Data(left),
        };
        Ok(ChunkStep::Used(taken))
    }

    fn decode_data_end(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        let Some(end) = input.get(..LINE_END_BYTES) else {
            return Ok(ChunkStep::Incomplete);
        };
        if end != b"\r\n" {
            return Err(BodyError::Malformed);
        }
        self.state = ChunkState::Size;
        Ok(ChunkStep::Used(LINE_END_BYTES))
    }

    fn decode_trailer(&mut self, input: &[u8]) -> Result<ChunkStep, BodyError> {
        let Some(end) = find_line_end(input) else {
            let is_short = input.len() <= CHUNK_LINE_BYTES_MAX;
            return if is_short {
                Ok(ChunkStep::Incomplete)
            } else {
                Err(BodyError::Malformed)
            };
        };
        let line_bytes = end + LINE_END_BYTES;
        if line_bytes == LINE_END_BYTES {
            return Ok(ChunkStep::LastUsed(line_bytes));
        }
        self.trailer_bytes += line_bytes;
        if self.trailer_bytes > TRAILER_BYTES_MAX {
            return Err(BodyError::TooLarge);
        }
        Ok(ChunkStep::Used(line_bytes))
    }
}

impl From<MemoryError> for BodyError {
    fn from(error: MemoryError) -> Self {
        match error {
            MemoryError::Full => Self::NoMemory,
            MemoryError::GivenUp => Self::GivenUp,
        }
    }
}

fn find_line_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(LINE_END_BYTES)
        .position(|pair| pair == b"\r\n")
}
