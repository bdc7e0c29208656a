//! Bytes that wait to be written, without being copied together.

use bytes::{Buf, Bytes};
use std::{collections::VecDeque, io::IoSlice};

/// Most slices of one vectored write.
pub const WRITE_SLICES_MAX: usize = 16;

/// `WriteQueue` holds parts of messages until they are written.
#[derive(Debug, Default)]
pub struct WriteQueue {
    parts: VecDeque<Bytes>,
    length: usize,
}

impl WriteQueue {
    /// Adds a part at the end.
    pub fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.length += part.len();
            self.parts.push_back(part);
        }
    }

    /// Number of bytes that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Fills `slices` with the next bytes; returns the number of slices that are filled.
    pub fn fill<'a>(&'a self, slices: &mut [IoSlice<'a>; WRITE_SLICES_MAX]) -> usize {
        let mut filled = 0;
        for (slice, part) in slices.iter_mut().zip(&self.parts) {
            *slice = IoSlice::new(part);
            filled += 1;
        }
        filled
    }

    /// Removes `written` bytes, which frees the parts that are written completely.
    pub fn advance(&mut self, written: usize) {
        self.length -= written;
        let mut left = written;
        while let Some(part) = self.parts.front_mut() {
            if part.len() > left {
                part.advance(left);
                return;
            }
            left -= part.len();
            self.parts.pop_front();
        }
    }
}
