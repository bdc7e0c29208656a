//! `lagoonshore-allocator` fixes limits of the C library's memory allocator.
//!
//! glibc raises the size from which an allocation gets pages of its own to that of the largest one freed
//! so far. Later messages are then held in the heap, which keeps the pages of those that were freed,
//! beside the pages of its own that a still larger message gets. With fixed limits, the pages of large
//! messages return to the system as soon as they are freed.

use snafu::Snafu;

/// Size from which an allocation gets pages of its own, in bytes.
pub const MAPPED_BYTES: i32 = 64 * 1024;
/// Free bytes at the end of the heap above which they return to the system. Fewer would make the heap
/// shrink and grow with each burst of small messages.
pub const TRIM_BYTES: i32 = 4 * 1024 * 1024;

/// `LimitError` says that the allocator did not accept a limit, and keeps its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the allocator does not accept a limit of {bytes} bytes"))]
pub struct LimitError {
    bytes: i32,
}

/// Fixes the limits for the whole process. Other C libraries have no such limits; nothing changes there.
///
/// # Errors
/// [`LimitError`] if the allocator does not accept one of them.
pub fn fix_limits() -> Result<(), LimitError> {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        set_limit(libc::M_MMAP_THRESHOLD, MAPPED_BYTES)?;
        set_limit(libc::M_TRIM_THRESHOLD, TRIM_BYTES)?;
    }
    Ok(())
}

#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code)]
fn set_limit(limit: libc::c_int, bytes: libc::c_int) -> Result<(), LimitError> {
    // SAFETY: the call takes two numbers and locks the allocator while it changes its limits.
    let is_set = unsafe { libc::mallopt(limit, bytes) };
    if is_set == 1 {
        Ok(())
    } else {
        LimitSnafu { bytes }.fail()
    }
}
