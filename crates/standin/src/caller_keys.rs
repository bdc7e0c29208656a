//! Idempotency keys of the callers: keys that nodes offered, and caller-made keys for a share of the
//! requests.

use awc::Client;
use lagoonshore_protocol::headers;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// One issued key in this many is caller-made. A request refused with such a key takes a new key for
/// its next attempt.
const CALLER_MADE_INTERVAL: u64 = 16;
/// Age up to which a stored offer is used; well below the time within which a request under an
/// offered key has to start.
const STORED_KEY_LIFETIME: Duration = Duration::from_secs(30);
/// Largest number of stored offers; further ones are dropped.
const STORED_KEYS_MAX: usize = 256;
/// Timeout of a request for an offer.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// `CallerKeys` issues the keys of new requests and stores offered keys until they are used.
#[derive(Default)]
pub struct CallerKeys {
    offered: RefCell<Vec<(Instant, String)>>,
    issued_count: Cell<u64>,
}

impl CallerKeys {
    /// Stores a key offered with a response; an empty text is ignored.
    pub fn store_offer(&self, key: String) {
        let mut offered = self.offered.borrow_mut();
        if !key.is_empty() && offered.len() < STORED_KEYS_MAX {
            offered.push((Instant::now(), key));
        }
    }

    /// Returns a key for a new request: a stored one, one requested from `entry`, or one made from
    /// `tag`. `None` if `entry` offers none; the refusal of a request without a key carries an offer.
    pub async fn next_key(&self, client: &Client, entry: SocketAddr, tag: &str) -> Option<String> {
        self.issued_count.set(self.issued_count.get() + 1);
        if self.issued_count.get().is_multiple_of(CALLER_MADE_INTERVAL) {
            return Some(format!("{tag}-{:x}", self.issued_count.get()));
        }
        if let Some(key) = self.take_stored() {
            return Some(key);
        }
        let sent = client
            .post(format!("http://{entry}{}", headers::KEYS_PATH))
            .timeout(OFFER_TIMEOUT)
            .send();
        let response = sent.await.ok()?;
        let key = response.headers().get(headers::KEY_OFFER)?.to_str().ok()?;
        Some(key.to_owned())
    }

    fn take_stored(&self) -> Option<String> {
        let mut offered = self.offered.borrow_mut();
        let now = Instant::now();
        offered.retain(|(stored_at, _)| now < *stored_at + STORED_KEY_LIFETIME);
        offered.pop().map(|(_, key)| key)
    }
}
