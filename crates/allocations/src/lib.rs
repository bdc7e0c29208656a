//! `lagoonshore-allocations` counts the memory that a test allocates. A test sets [`CountingAllocator`]
//! as its global allocator.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

thread_local! {
    static COUNTS: Cell<AllocationCounts> = const {
        Cell::new(AllocationCounts {
            allocations: 0,
            live_bytes: 0,
        })
    };
}

/// `AllocationCounts` are those of one thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocationCounts {
    /// Allocations so far, those that resize one included.
    pub allocations: u64,
    /// Bytes asked for and not freed; negative if the thread freed memory of others.
    pub live_bytes: i64,
}

impl AllocationCounts {
    /// Counts of the current thread since its start.
    #[must_use]
    pub fn current() -> Self {
        COUNTS.get()
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            allocations: self.allocations - earlier.allocations,
            live_bytes: self.live_bytes - earlier.live_bytes,
        }
    }
}

/// `CountingAllocator` is the allocator of the system, with counts for each thread.
#[derive(Clone, Copy, Debug)]
pub struct CountingAllocator;

// Memory comes from the allocator of the system and goes back to it, unchanged.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record(1, signed(layout.size()));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        record(0, -signed(layout.size()));
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        record(1, signed(new_size) - signed(layout.size()));
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Adds to the counts of the current thread.
fn record(allocations: u64, bytes: i64) {
    // A thread that ends may still free memory.
    let _ = COUNTS.try_with(|counts| {
        let before = counts.get();
        counts.set(AllocationCounts {
            allocations: before.allocations + allocations,
            live_bytes: before.live_bytes + bytes,
        });
    });
}

/// Sizes of allocations fit `isize`, see [`Layout`].
fn signed(size: usize) -> i64 {
    i64::try_from(size).unwrap_or(i64::MAX)
}
