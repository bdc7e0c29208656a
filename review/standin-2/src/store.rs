//! A stand-in of the platform's store, which can only be read: pages of items, and watches.

use crate::http::MessageReader;

use std::{
    collections::BTreeMap,
    io::{Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Items {
    revision: u64,
    /// Value and revision of each key.
    current: BTreeMap<String, (String, u64)>,
    /// Key, value (`None` for a removal) and revision of each change.
    history: Vec<(String, Option<String>, u64)>,
}

pub struct Store {
    pub address: SocketAddr,
    /// Address for machines that the store may turn away.
    pub other_address: SocketAddr,
    turns_away: AtomicBool,
    items: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr, other_address: SocketAddr) -> Result<Arc<Self>> {
        let store = Arc::new(Self {
            address,
            other_address,
            turns_away: AtomicBool::new(false),
            items: Mutex::new(Items {
                revision: 100,
                ..Items::default()
            }),
            changed: Condvar::new(),
        });
        for (at, is_other) in [(address, false), (other_address, true)] {
            let (listener, shared) = (TcpListener::bind(at)?, Arc::clone(&store));
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&shared);
                    thread::spawn(move || store.serve(stream, is_other));
                }
            });
        }
        Ok(store)
    }

    /// Answers 429 to the machines that use the other address, or serves them again.
    pub fn turn_away(&self, is_turning_away: bool) {
        let guard = self.items.lock().unwrap();
        self.turns_away.store(is_turning_away, Ordering::SeqCst);
        self.changed.notify_all();
        drop(guard);
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let value = base64(value.as_bytes());
        items
            .current
            .insert(key.to_owned(), (value.clone(), revision));
        items.history.push((key.to_owned(), Some(value), revision));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, is_other: bool) {
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(head)) = reader.read_head() {
            let body = self.answer(head.target(), is_other);
            let (status, body) = match body {
                _ if self.is_turned_away(is_other) => ("429 Too Many Requests", String::new()),
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", String::new()),
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, is_other: bool) -> Option<String> {
        let prefix = query(target, "prefix").unwrap_or_default();
        if target.starts_with("/-/kv-range") {
            return Some(self.page(&prefix, &query(target, "after").unwrap_or_default()));
        }
        if target.starts_with("/-/kv-watch") {
            let number = |name| query(target, name).and_then(|text| text.parse::<u64>().ok());
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            return Some(self.watch(&prefix, number("after").unwrap_or(0), wait, is_other));
        }
        None
    }

    fn is_turned_away(&self, is_other: bool) -> bool {
        is_other && self.turns_away.load(Ordering::SeqCst)
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let items = self.items.lock().unwrap();
        let found = items
            .current
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found
            .map(|(key, (value, revision))| item(key, Some(value), *revision))
            .collect();
        let shown = &found[..found.len().min(PAGE_ITEMS)];
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"at_rev\":{}}}",
            shown.join(","),
            found.len() > PAGE_ITEMS,
            items.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, is_other: bool) -> String {
        let until = Instant::now() + wait;
        let mut items = self.items.lock().unwrap();
        loop {
            let newer = items
                .history
                .iter()
                .filter(|(key, _, revision)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = newer
                .map(|(key, value, revision)| item(key, value.as_ref(), *revision))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_turned_away(is_other) {
                return format!(
                    "{{\"events\":[{}],\"at_rev\":{}}}",
                    events.join(","),
                    items.revision
                );
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = (bits >> (18 - 6 * index)) & 63;
            let is_padding = index > group.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[digit as usize])
            });
        }
    }
    text
}
