//! Framing of message bodies (RFC 9112, sections 6 and 7).

use bytes::{Bytes, BytesMut};
use httparse::Status;

/// Longest line that announces a chunk, or of a trailer, in bytes.
const CHUNK_LINE_BYTES_MAX: usize = 4096;
/// Bytes of a line end.
const LINE_END_BYTES: usize = 2;

/// `BodyFraming` says where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(usize),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// `BodyError` says why a body cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the bound.
    TooLarge,
    /// Its chunks are malformed.
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

/// `BodyReader` takes a body out of the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: BodyFraming,
    chunk: ChunkState,
    body: BytesMut,
    bound: usize,
}

impl BodyReader {
    /// Creates a reader of a body of at most `bound` bytes.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if the announced length is above the bound.
    pub fn new(framing: BodyFraming, bound: usize) -> Result<Self, BodyError> {
        if matches!(framing, BodyFraming::Length(length) if length > bound) {
            return Err(BodyError::TooLarge);
        }
        Ok(Self {
            framing,
            chunk: ChunkState::Size,
            body: BytesMut::new(),
            bound,
        })
    }

    /// Takes what `buffer` holds of the body; `true` once the body is whole. Bytes behind the
    /// body stay in the buffer.
    ///
    /// # Errors
    /// Why the body cannot be taken.
    pub fn read_from(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
        match self.framing {
            BodyFraming::Length(length) => {
                self.take_data(buffer, length - self.body.len())?;
                Ok(self.body.len() == length)
            }
            BodyFraming::UntilClose => {
                self.take_data(buffer, usize::MAX)?;
                Ok(false)
            }
            BodyFraming::Chunked => self.take_chunks(buffer),
        }
    }

    /// Tells whether the end of the connection ends the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Bytes taken so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Tells whether nothing was taken yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// The body.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.body.freeze()
    }

    fn take_data(&mut self, buffer: &mut BytesMut, wanted: usize) -> Result<usize, BodyError> {
        let taken = buffer.len().min(wanted);
        if self.body.len() + taken > self.bound {
            return Err(BodyError::TooLarge);
        }
        if self.body.is_empty() && taken == buffer.len() {
            self.body = buffer.split();
        } else {
            self.body.extend_from_slice(&buffer.split_to(taken));
        }
        Ok(taken)
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyError> {
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
                    let taken = self.take_data(buffer, size)?;
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
