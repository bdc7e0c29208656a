//! Bound on the memory that the messages of a process hold together.
//!
//! Nobody waits for memory: a message that does not fit is refused or given up at once, so that readers
//! cannot block each other. Requests leave a part of the memory to responses, for which work was done,
//! and large messages leave a part to small ones.

use bytes::{Bytes, BytesMut};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of each message that are not counted.
const UNCOUNTED_BYTES: usize = 4 * 1024;
/// Size up to which a message is small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the memory that is left to others by large responses, and by small requests.
const RESERVE_DIVISOR: usize = 16;

/// `MemoryBudget` is the memory that the messages of a process share, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    free: AtomicUsize,
    reserve: usize,
}

/// `MemoryShare` is the part of a budget that one message holds; dropping it frees the part.
#[derive(Debug)]
pub struct MemoryShare {
    budget: MemoryBudget,
    kind: MessageKind,
    bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// Bytes of a message, with the share that they hold for as long as any of them is in use.
struct HeldBytes {
    bytes: BytesMut,
    _share: MemoryShare,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            state: Arc::new(BudgetState {
                free: AtomicUsize::new(bytes),
                reserve: bytes / RESERVE_DIVISOR,
            }),
        }
    }

    /// Creates the empty share of a response.
    #[must_use]
    pub fn share(&self) -> MemoryShare {
        self.share_of(MessageKind::Response)
    }

    /// Creates the empty share of a request.
    #[must_use]
    pub fn request_share(&self) -> MemoryShare {
        self.share_of(MessageKind::Request)
    }

    /// Bytes that no message holds.
    #[must_use]
    pub fn free(&self) -> usize {
        self.state.free.load(Ordering::Relaxed)
    }

    fn share_of(&self, kind: MessageKind) -> MemoryShare {
        MemoryShare {
            budget: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Takes `bytes` if `left` remain; returns whether it did.
    fn try_take(&self, bytes: usize, left: usize) -> bool {
        let taken = self
            .state
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                let rest = free.checked_sub(bytes)?;
                (rest >= left).then_some(rest)
            });
        taken.is_ok()
    }
}

impl MemoryShare {
    /// Creates an empty share of the same budget, for another message of the same kind.
    #[must_use]
    pub fn another(&self) -> Self {
        self.budget.share_of(self.kind)
    }

    /// Extends the share to a message of `length` bytes; `false` if the budget does not have them. The
    /// first bytes of each message are not counted.
    #[must_use]
    pub fn extend_to(&mut self, length: usize) -> bool {
        let wanted = length.saturating_sub(UNCOUNTED_BYTES);
        let added = wanted.saturating_sub(self.bytes);
        if added == 0 {
            return true;
        }
        let is_taken = self.budget.try_take(added, self.left_to_others(length));
        if is_taken {
            self.bytes += added;
        }
        is_taken
    }

    /// Reduces the share to that of a message of `length` bytes.
    pub fn reduce_to(&mut self, length: usize) {
        let wanted = length.saturating_sub(UNCOUNTED_BYTES);
        let freed = self.bytes.saturating_sub(wanted);
        self.bytes -= freed;
        self.budget.state.free.fetch_add(freed, Ordering::Relaxed);
    }

    /// Bytes that a message of `length` bytes has to leave free.
    fn left_to_others(&self, length: usize) -> usize {
        let reserve = self.budget.state.reserve;
        let is_small = length <= SMALL_BYTES;
        match (self.kind, is_small) {
            (MessageKind::Response, true) => 0,
            (MessageKind::Response, false) | (MessageKind::Request, true) => reserve,
            (MessageKind::Request, false) => 2 * reserve,
        }
    }

    /// Turns the bytes of the message into shared ones, which hold the share for as long as they are in
    /// use.
    #[must_use]
    pub fn hold(self, bytes: BytesMut) -> Bytes {
        if self.bytes == 0 {
            return bytes.freeze();
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let free = &self.budget.state.free;
        free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}
