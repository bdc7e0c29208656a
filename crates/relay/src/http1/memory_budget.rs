//! Bound on the memory that unfinished responses hold together.

use std::{cell::Cell, rc::Rc};

/// Bytes that each response may hold whatever the others hold.
const RESERVED_BYTES: usize = 64 * 1024;

/// `MemoryBudget` is the memory that the responses of several exchanges share, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    free: Rc<Cell<usize>>,
}

/// `MemoryShare` is the part of a budget that one response holds; dropping it frees the part.
#[derive(Debug)]
pub struct MemoryShare {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Rc::new(Cell::new(bytes)),
        }
    }

    /// Creates the empty share of one response.
    #[must_use]
    pub fn share(&self) -> MemoryShare {
        MemoryShare {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes that no response holds.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.get()
    }
}

impl MemoryShare {
    /// Extends the share to a response of `length` bytes; `false` if the budget is used up. The first
    /// bytes of each response are not counted.
    #[must_use]
    pub fn extend_to(&mut self, length: usize) -> bool {
        let wanted = length.saturating_sub(RESERVED_BYTES);
        let added = wanted.saturating_sub(self.bytes);
        let Some(free) = self.budget.free.get().checked_sub(added) else {
            return false;
        };
        self.budget.free.set(free);
        self.bytes += added;
        true
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let free = self.budget.free.get();
        self.budget.free.set(free + self.bytes);
    }
}
