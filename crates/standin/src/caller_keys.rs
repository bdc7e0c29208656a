//! Keys of the callers: those that nodes offered, and for a share of requests their own.

use awc::Client;
use lagoonshore_protocol::headers;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// One request in this many first tries a key of the caller's own making.
const CALLER_MADE_EVERY: u64 = 16;
/// Time for which an offered key is kept for use; well below the time in which it may start.
const KEEP_TIME: Duration = Duration::from_secs(30);
/// Keys kept at most.
const KEYS_MAX: usize = 256;
/// Time that a caller waits for an offer.
const OFFER_TIME: Duration = Duration::from_secs(1);

/// `CallerKeys` holds offered keys that were not used yet.
#[derive(Default)]
pub struct CallerKeys {
    offered: RefCell<Vec<(Instant, String)>>,
    drawn: Cell<u64>,
}

impl CallerKeys {
    /// Keeps a key that came with an answer; an empty one is no key.
    pub fn keep(&self, key: String) {
        let mut offered = self.offered.borrow_mut();
        if !key.is_empty() && offered.len() < KEYS_MAX {
            offered.push((Instant::now(), key));
        }
    }

    /// A key for a new request: kept, asked for at `entry`, or made from `tag`. `None` if there is
    /// none; the refusal of a request without a key brings one.
    pub async fn next(&self, client: &Client, entry: SocketAddr, tag: &str) -> Option<String> {
        self.drawn.set(self.drawn.get() + 1);
        if self.drawn.get().is_multiple_of(CALLER_MADE_EVERY) {
            return Some(format!("{tag}-{:x}", self.drawn.get()));
        }
        if let Some(key) = self.take() {
            return Some(key);
        }
        let asked = client
            .post(format!("http://{entry}{}", headers::KEYS_PATH))
            .timeout(OFFER_TIME)
            .send();
        let answer = asked.await.ok()?;
        let key = answer.headers().get(headers::KEY_OFFER)?.to_str().ok()?;
        Some(key.to_owned())
    }

    fn take(&self) -> Option<String> {
        let mut offered = self.offered.borrow_mut();
        let now = Instant::now();
        offered.retain(|(kept, _)| now < *kept + KEEP_TIME);
        offered.pop().map(|(_, key)| key)
    }
}
