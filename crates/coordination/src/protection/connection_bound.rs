//! How many connections a node may have open, by its descriptors and its memory.

/// Descriptors that are left to files and listeners.
const FILE_DESCRIPTORS: u32 = 200;
/// Part of the other descriptors that connections of callers may use: numerator and denominator. The rest is for
/// other nodes and the upstream.
const CALLER_PART: (u32, u32) = (13, 20);
/// The same for connections to the upstream.
const UPSTREAM_PART: (u32, u32) = (1, 6);
/// Memory of a connection beside its messages, in bytes.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// Part of the memory of the process that these may take.
const CONNECTION_MEMORY_DIVISOR: u64 = 4;

/// `ProcessLimits` is what a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Descriptors.
    pub descriptors: u32,
    /// Memory, in bytes.
    pub memory_bytes: u64,
}

impl ProcessLimits {
    /// Returns how many connections of callers may be open, of `wanted`; at least one.
    #[must_use]
    pub fn caller_connections(&self, wanted: u32) -> u32 {
        let by_memory = self.memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
        let by_descriptors = self.part_of_sockets(CALLER_PART);
        wanted.min(by_memory).min(by_descriptors).max(1)
    }

    /// Returns how many connections to the upstream may be open; at least one.
    #[must_use]
    pub fn upstream_connections(&self) -> u32 {
        self.part_of_sockets(UPSTREAM_PART).max(1)
    }

    fn part_of_sockets(&self, (numerator, denominator): (u32, u32)) -> u32 {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        sockets / denominator * numerator
    }
}
