//! Bytes of a message that are sent beside it instead of within it.
//!
//! A body of many megabytes would be copied into the encoded message, from there into the buffer of the
//! link, and once more at the other end. While a link encodes a message it collects such bytes, and sends
//! them after it as they are; while it decodes one, it returns those that it received.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{cell::RefCell, collections::VecDeque, ops::Deref};

/// Size from which bytes are sent beside the message. Copying fewer costs less than handling them apart.
const DETACHED_BYTES_MIN: usize = 1024;

/// What is left of bytes that were dropped.
static NO_BYTES: Bytes = Bytes::new();

thread_local! {
    /// Bytes that are sent beside the message that this thread encodes; `None` outside of that.
    static COLLECTED: RefCell<Option<Vec<Bytes>>> = const { RefCell::new(None) };
    /// Bytes that came with the message that this thread decodes.
    static RECEIVED: RefCell<VecDeque<RelayBytes>> = const { RefCell::new(VecDeque::new()) };
}

/// `RelayBytes` are bytes of a message between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayBytes {
    /// The bytes.
    Held(Bytes),
    /// The receiver had no memory for them.
    Dropped,
}

/// How the bytes stand in the encoded message.
#[derive(Deserialize, Serialize)]
enum EncodedBytes {
    Within(Bytes),
    Beside,
}

impl RelayBytes {
    /// The bytes; none if they were dropped.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        Bytes::clone(self)
    }

    /// Returns whether the receiver had no memory for the bytes.
    #[must_use]
    pub const fn is_dropped(&self) -> bool {
        matches!(self, Self::Dropped)
    }
}

impl Deref for RelayBytes {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        match self {
            Self::Held(bytes) => bytes,
            Self::Dropped => &NO_BYTES,
        }
    }
}

impl Default for RelayBytes {
    fn default() -> Self {
        Self::Held(Bytes::new())
    }
}

impl From<Bytes> for RelayBytes {
    fn from(bytes: Bytes) -> Self {
        Self::Held(bytes)
    }
}

impl Serialize for RelayBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = self.bytes();
        let is_collected = bytes.len() >= DETACHED_BYTES_MIN && collect(&bytes);
        let encoded = if is_collected {
            EncodedBytes::Beside
        } else {
            EncodedBytes::Within(bytes)
        };
        encoded.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RelayBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match EncodedBytes::deserialize(deserializer)? {
            EncodedBytes::Within(bytes) => Ok(Self::Held(bytes)),
            EncodedBytes::Beside => {
                let next = RECEIVED.with_borrow_mut(VecDeque::pop_front);
                next.ok_or_else(|| D::Error::custom("bytes beside the message are missing"))
            }
        }
    }
}

/// Adds bytes to those that are sent beside the message; `false` if none is being encoded by a link.
fn collect(bytes: &Bytes) -> bool {
    COLLECTED.with_borrow_mut(|collected| {
        let Some(collected) = collected else {
            return false;
        };
        collected.push(bytes.clone());
        true
    })
}

/// Runs `encode` and returns its result with the bytes that have to be sent beside the message.
pub fn encode_detached<Output>(encode: impl FnOnce() -> Output) -> (Output, Vec<Bytes>) {
    COLLECTED.set(Some(Vec::new()));
    let output = encode();
    (output, COLLECTED.take().unwrap_or_default())
}

/// Runs `decode`, which may take the `received` bytes in the order in which they were sent.
pub fn decode_detached<Output>(
    received: VecDeque<RelayBytes>,
    decode: impl FnOnce() -> Output,
) -> Output {
    RECEIVED.set(received);
    let output = decode();
    RECEIVED.take();
    output
}
