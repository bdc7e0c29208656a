//! Stand-in for the platform's store: items, pages and watches, as PROTOCOL.md describes them.

use crate::{
    http::{self, Message},
    record::Record,
};

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Most items of one page.
const PAGE_ITEMS: usize = 50;

/// `Store` is the stand-in; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    record: Record,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    connections: u64,
    /// Connections with a lower number never answer again, and stay open.
    silent_below: u64,
    /// Watches that began before this count of cuts end without an answer.
    cuts: u64,
}

impl Store {
    /// Starts the store on a free port of `ip`.
    pub fn start(ip: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                state: Mutex::new(State {
                    revision: 100,
                    ..State::default()
                }),
                changed: Condvar::new(),
            }),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                let number = {
                    let mut state = store.shared.state.lock().expect("store lock");
                    state.connections += 1;
                    state.connections
                };
                thread::spawn(move || store.serve(stream, number));
            }
        });
        Ok(store)
    }

    /// Writes an item; the return of this call is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.shared.state.lock().expect("store lock");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let encoded = base64(value.as_bytes());
        state
            .items
            .insert(key.to_owned(), (encoded.clone(), revision, created));
        state
            .history
            .push((revision, key.to_owned(), Some(encoded)));
        drop(state);
        self.shared.changed.notify_all();
        self.record.line(&format!(
            "store: confirmed {key} at revision {revision}: {value}"
        ));
        revision
    }

    /// Removes an item; the return of this call is the store's confirmation.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.shared.state.lock().expect("store lock");
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        drop(state);
        self.shared.changed.notify_all();
        self.record
            .line(&format!("store: removed {key} at revision {revision}"));
        revision
    }

    /// All connections that are open now go silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        let mut state = self.shared.state.lock().expect("store lock");
        state.silent_below = state.connections + 1;
        drop(state);
        self.shared.changed.notify_all();
        self.record
            .line("store: the connections that are open now go silent, new ones work");
    }

    /// Cuts the watches that are waiting.
    pub fn cut_watches(&self) {
        let mut state = self.shared.state.lock().expect("store lock");
        state.cuts += 1;
        drop(state);
        self.shared.changed.notify_all();
        self.record.line("store: the waiting watches are cut");
    }

    fn is_silent(&self, number: u64) -> bool {
        let state = self.shared.state.lock().expect("store lock");
        number < state.silent_below
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut rest) {
            if self.is_silent(number) {
                continue;
            }
            let Some((status, body)) = self.answer(&request, number) else {
                if self.is_silent(number) {
                    continue;
                }
                return;
            };
            let start = format!("HTTP/1.1 {status} Answer");
            let fields = [("Content-Type", "application/json")];
            if http::write_message(&mut stream, &start, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answer to a request; `None` if it gets none.
    fn answer(&self, request: &Message, number: u64) -> Option<(u16, String)> {
        let path = request.target().split('?').next().unwrap_or_default();
        let prefix = request.query("prefix").unwrap_or_default();
        match path {
            "/-/kv-range" => Some((200, self.page(prefix, request.query("after")))),
            "/-/kv-watch" => {
                let after = request.query("after").unwrap_or("0").parse().unwrap_or(0);
                let wait = request.query("wait_ms").unwrap_or("0");
                let wait = Duration::from_millis(wait.parse().unwrap_or(0));
                self.watch(prefix, after, wait, number)
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn page(&self, prefix: &str, after: Option<&str>) -> String {
        let state = self.shared.state.lock().expect("store lock");
        let is_listed =
            |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let mut listed = state.items.iter().filter(|(key, _)| is_listed(key));
        let mut items = Vec::new();
        for (key, (value, revision, created)) in listed.by_ref().take(PAGE_ITEMS) {
            items.push(item_text(key, value, *revision, *created));
        }
        let truncated = listed.next().is_some();
        format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"at_rev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        number: u64,
    ) -> Option<(u16, String)> {
        let latest = Instant::now() + wait;
        let mut state = self.shared.state.lock().expect("store lock");
        let cuts = state.cuts;
        loop {
            if number < state.silent_below || state.cuts != cuts {
                return None;
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_text(key, value, *revision, *revision),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = latest.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let at_rev = state.revision;
                return Some((
                    200,
                    format!("{{\"events\":[{events}],\"at_rev\":{at_rev}}}"),
                ));
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.expect("store lock").0;
        }
    }
}

fn item_text(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0;
        for index in 0..3 {
            number = (number << 8) | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index)) as usize & 63];
            let is_padding = index > group.len();
            text.push(char::from(if is_padding { b'=' } else { digit }));
        }
    }
    text
}
