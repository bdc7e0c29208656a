//! Bound on the memory that the messages of a process hold together.
//!
//! Nobody waits for memory: a message that does not fit is refused or given up at once, so that readers
//! cannot block each other. How much a message leaves free for others is decided by `memory_reserve`.
//! Before a message is refused, requests that are still arriving may have to give up their memory for it
//! (`arrival_table`).

use crate::{
    arrival_table::ArrivalTable,
    memory_report::{HolderTable, MemoryHolder, MemoryReport, MessageKind},
};

use bytes::Bytes;
use lagoonshore_coordination::protection::{memory_reserve::MessageClaim, room_sharing::RoomClaim};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of each message that are not counted.
pub const UNCOUNTED_BYTES: usize = 4 * 1024;
/// Quarters of the memory of which fewer are free while it is short.
const SHORT_QUARTERS: usize = 3;
/// The same while it is nearly used up.
const NEARLY_USED_UP_QUARTERS: usize = 1;

/// `MemoryBudget` is the memory that the messages of a process share, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    free: AtomicUsize,
    total: usize,
    /// Bytes that responses hold.
    responses: AtomicUsize,
    holders: HolderTable,
    arrivals: ArrivalTable,
}

/// `MemoryShare` is the part of a budget that one message holds; dropping it frees the part.
#[derive(Debug)]
pub struct MemoryShare {
    budget: MemoryBudget,
    kind: MessageKind,
    holder: MemoryHolder,
    /// Bytes that are counted beside the message.
    beside: usize,
    bytes: usize,
}

/// Bytes of a message, with the share that they hold for as long as any of them is in use.
struct HeldBytes<B> {
    bytes: B,
    _share: MemoryShare,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            state: Arc::new(BudgetState {
                free: AtomicUsize::new(bytes),
                total: bytes,
                responses: AtomicUsize::new(0),
                holders: HolderTable::default(),
                arrivals: ArrivalTable::default(),
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

    /// Returns whether messages hold so much of the memory that others have to hold back.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.free() < self.state.total / 4 * SHORT_QUARTERS
    }

    /// Returns whether large requests find no memory, or soon will not.
    #[must_use]
    pub fn is_nearly_used_up(&self) -> bool {
        self.free() < self.state.total / 4 * NEARLY_USED_UP_QUARTERS
    }

    /// Shows who holds the memory.
    #[must_use]
    pub fn report(&self) -> MemoryReport {
        let given_up = self.state.arrivals.given_up();
        self.state.holders.report(self.free(), given_up)
    }

    /// The requests that are arriving.
    pub(crate) fn arrivals(&self) -> &ArrivalTable {
        &self.state.arrivals
    }

    fn share_of(&self, kind: MessageKind) -> MemoryShare {
        MemoryShare {
            budget: self.clone(),
            kind,
            holder: MemoryHolder::default(),
            beside: 0,
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
        self.budget.share_of(self.kind).held_by(self.holder)
    }

    /// Names the side from which the message comes. The share has to be empty.
    #[must_use]
    pub fn held_by(mut self, holder: MemoryHolder) -> Self {
        self.holder = holder;
        self
    }

    /// Counts `bytes` beside the message, such as the fields of a request. The share has to be empty.
    #[must_use]
    pub const fn with_beside(mut self, bytes: usize) -> Self {
        self.beside = bytes;
        self
    }

    /// Bytes that the share holds.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The budget of the share.
    pub(crate) const fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Extends the share to a message of `length` bytes, for which requests that are arriving may be
    /// given up; `false` if that does not suffice. The first bytes of each message are not counted.
    #[must_use]
    pub fn extend_to(&mut self, length: usize) -> bool {
        if self.try_extend_to(length) {
            return true;
        }
        let claim = self.claim(length);
        self.message(length).may_displace(self.budget.state.total)
            && self.budget.arrivals().make_room(claim, None)
            && self.try_extend_to(length)
    }

    /// Extends the share to a message of `length` bytes; `false` if the budget does not have them now.
    pub(crate) fn try_extend_to(&mut self, length: usize) -> bool {
        let added = self.added_by(length);
        if added == 0 {
            return true;
        }
        let is_taken = self.budget.try_take(added, self.left_to_others(length));
        if is_taken {
            self.bytes += added;
            if self.kind == MessageKind::Response {
                let responses = &self.budget.state.responses;
                responses.fetch_add(added, Ordering::Relaxed);
            }
            let holders = &self.budget.state.holders;
            holders.add(self.holder, self.kind, added);
        }
        is_taken
    }

    /// What the budget lacks for a message of `length` bytes.
    pub(crate) fn claim(&self, length: usize) -> RoomClaim {
        let needed = self.added_by(length) + self.left_to_others(length);
        let caller = match (self.kind, self.holder) {
            (MessageKind::Request, MemoryHolder::Caller(address)) => Some(address),
            _ => None,
        };
        RoomClaim {
            caller,
            missing: needed.saturating_sub(self.budget.free()),
        }
    }

    /// Bytes by which a message of `length` bytes extends the share.
    const fn added_by(&self, length: usize) -> usize {
        self.counted(length).saturating_sub(self.bytes)
    }

    /// Bytes that are counted for a message of `length` bytes.
    const fn counted(&self, length: usize) -> usize {
        let whole = length.saturating_add(self.beside);
        whole.saturating_sub(UNCOUNTED_BYTES)
    }

    /// Reduces the share to that of a message of `length` bytes.
    pub fn reduce_to(&mut self, length: usize) {
        let freed = self.bytes.saturating_sub(self.counted(length));
        self.release(freed);
    }

    fn release(&mut self, freed: usize) {
        if freed == 0 {
            return;
        }
        self.bytes -= freed;
        let state = &self.budget.state;
        if self.kind == MessageKind::Response {
            state.responses.fetch_sub(freed, Ordering::Relaxed);
        }
        state.holders.remove(self.holder, self.kind, freed);
        state.free.fetch_add(freed, Ordering::Relaxed);
    }

    /// Bytes that a message of `length` bytes has to leave free.
    fn left_to_others(&self, length: usize) -> usize {
        self.message(length).left_to_others(self.budget.state.total)
    }

    /// The message of `length` bytes that the share is for.
    fn message(&self, length: usize) -> MessageClaim {
        match self.kind {
            MessageKind::Request => MessageClaim::Request { length },
            MessageKind::Response => {
                let responses = self.budget.state.responses.load(Ordering::Relaxed);
                let others = responses.saturating_sub(self.bytes);
                MessageClaim::Response { length, others }
            }
        }
    }

    /// Turns the bytes of the message into shared ones, which hold the share for as long as they are in
    /// use.
    #[must_use]
    pub fn hold<B>(self, bytes: B) -> Bytes
    where
        B: AsRef<[u8]> + Into<Bytes> + Send + 'static,
    {
        if self.bytes == 0 {
            return bytes.into();
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _share: self,
        })
    }
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
