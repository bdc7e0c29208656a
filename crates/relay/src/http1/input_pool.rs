//! Input memory that the connections of a server share: a connection holds memory of its own only for
//! input that it could not parse yet, and only as much as that input needs.

use bytes::BytesMut;
use std::cell::RefCell;

/// Bytes reserved for one read.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Largest buffer that is kept for the next read, in bytes.
const KEPT_BYTES_MAX: usize = 64 * 1024;

/// `InputPool` holds the buffer for the next read of any connection.
#[derive(Debug, Default)]
pub(crate) struct InputPool {
    spare: RefCell<BytesMut>,
}

impl InputPool {
    /// Provides memory for a read into `input`.
    pub(crate) fn prepare(&self, input: &mut BytesMut) {
        if input.is_empty() {
            *input = self.spare.take();
        }
        input.reserve(READ_CHUNK_BYTES);
    }

    /// Takes back the memory that `input` does not need.
    pub(crate) fn compact(&self, input: &mut BytesMut) {
        let needed = input.len();
        if input.capacity() <= needed {
            return;
        }
        let rest = BytesMut::from(&input[..]);
        let mut spare = std::mem::replace(input, rest);
        spare.clear();
        if spare.capacity() <= KEPT_BYTES_MAX {
            *self.spare.borrow_mut() = spare;
        }
    }
}
