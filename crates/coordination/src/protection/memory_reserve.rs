//! Part of the memory of messages that a message has to leave free for others.
//!
//! Requests leave room for responses, for which work was done, and large messages for small ones. Beside
//! callers that ask for large responses and do not read them, the memory that one of their responses frees
//! would go to the next one, and requests of others would find none. So while responses hold half of the
//! memory, a further large one leaves room for requests, and no request that is arriving is given up for it.

/// Size up to which a message is small, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the memory that is left to others by large responses, and by small requests.
const RESERVE_DIVISOR: usize = 16;
/// Number of these parts that a large request leaves.
const REQUEST_RESERVES: usize = 2;
/// Number of them that a large response leaves while others hold too much. It is below the quarter from which
/// callers have to keep their pace of reading, so that responses that are not read are given up for it.
const CROWDED_RESERVES: usize = 3;
/// Part of the memory from which other responses hold too much.
const CROWDED_DIVISOR: usize = 2;

/// `MessageClaim` is a message that asks for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageClaim {
    /// A request, which has not run.
    Request {
        /// Length of the message, in bytes.
        length: usize,
    },
    /// A response, for which work was done.
    Response {
        /// Length of the message, in bytes.
        length: usize,
        /// Bytes that all other responses hold.
        others: usize,
    },
}

impl MessageClaim {
    /// Bytes of a memory of `total` bytes that the message has to leave free.
    #[must_use]
    pub const fn left_to_others(self, total: usize) -> usize {
        let reserve = total / RESERVE_DIVISOR;
        match self {
            _ if self.is_crowded(total) => CROWDED_RESERVES * reserve,
            Self::Response { length, .. } if length <= SMALL_BYTES => 0,
            Self::Response { .. } => reserve,
            Self::Request { length } if length <= SMALL_BYTES => reserve,
            Self::Request { .. } => REQUEST_RESERVES * reserve,
        }
    }

    /// Returns whether requests that are arriving may be given up for the message.
    #[must_use]
    pub const fn may_displace(self, total: usize) -> bool {
        !self.is_crowded(total)
    }

    /// Returns whether the message is a large response beside others that hold too much.
    const fn is_crowded(self, total: usize) -> bool {
        match self {
            Self::Response { length, others } => {
                length > SMALL_BYTES && others >= total / CROWDED_DIVISOR
            }
            Self::Request { .. } => false,
        }
    }
}
