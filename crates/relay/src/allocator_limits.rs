//! Limits of the C library's memory allocator.
//!
//! glibc raises the size from which an allocation gets pages of its own to that of the largest one freed so
//! far. The bodies of later messages then come from the heap, which keeps the pages of those that were
//! freed, beside the pages of its own that a still larger body gets. The process holds the same budget
//! twice. With fixed limits, the pages of large messages return to the system as soon as they are freed.

use std::{env, io::Result, os::unix::process::CommandExt, process::Command};

/// Variable of the size from which an allocation gets pages of its own, in bytes.
const MAPPED_VARIABLE: &str = "MALLOC_MMAP_THRESHOLD_";
/// That size: large messages get pages of their own.
const MAPPED_BYTES: usize = 64 * 1024;
/// Variable of the free bytes at the end of the heap above which they return to the system.
const TRIM_VARIABLE: &str = "MALLOC_TRIM_THRESHOLD_";
/// These bytes; fewer would make the heap shrink and grow with every burst of small messages.
const TRIM_BYTES: usize = 4 * 1024 * 1024;

/// Starts the program of this process again, with the limits in its environment, from which the allocator
/// takes them. Returns if they are there already. The process keeps its id and its open files.
///
/// # Errors
/// Any error of the operating system; the allocator keeps its own limits then.
pub fn apply() -> Result<()> {
    if env::var_os(MAPPED_VARIABLE).is_some() {
        return Ok(());
    }
    let mut arguments = env::args_os();
    let name = arguments.next();
    let mut command = Command::new(env::current_exe()?);
    if let Some(name) = name {
        command.arg0(name);
    }
    command
        .args(arguments)
        .env(MAPPED_VARIABLE, MAPPED_BYTES.to_string())
        .env(TRIM_VARIABLE, TRIM_BYTES.to_string());
    // Returns only if the program could not be started.
    Err(command.exec())
}
