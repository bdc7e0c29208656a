//! The link of one machine: a proxy before the port on which its node listens for other nodes. It has the
//! bandwidth of the machine's link, and its open connections can go silent for good while new ones work.

use std::{
    io::{ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a connection without traffic looks whether it went silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

pub struct LinkProxy {
    target: SocketAddr,
    bytes_per_second: f64,
    /// Number of times at which all open connections went silent.
    silences: AtomicU64,
    /// Bytes forwarded to the node since the start.
    pub forwarded: AtomicU64,
    /// Time at which the link is free again.
    free_at: Mutex<Instant>,
    /// The ends of silent connections, which stay open.
    silent: Mutex<Vec<TcpStream>>,
}

impl LinkProxy {
    pub fn start(
        listen: SocketAddr,
        target: SocketAddr,
        bytes_per_second: f64,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Arc::new(Self {
            target,
            bytes_per_second,
            silences: AtomicU64::new(0),
            forwarded: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
            silent: Mutex::default(),
        });
        let shared = Arc::clone(&proxy);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.open(stream);
            }
        });
        Ok(proxy)
    }

    /// Makes all open connections go silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of connections that went silent.
    pub fn silent_connections(&self) -> usize {
        self.silent.lock().unwrap().len() / 2
    }

    fn open(self: &Arc<Self>, from: TcpStream) {
        let Ok(to) = TcpStream::connect(self.target) else {
            return;
        };
        let age = self.silences.load(Ordering::SeqCst);
        for stream in [&from, &to] {
            // Without the options, bytes are only delayed.
            let _ = (
                stream.set_nodelay(true),
                stream.set_read_timeout(Some(CHECK_INTERVAL)),
            );
        }
        let (Ok(from_copy), Ok(to_copy)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let (there, back) = (Arc::clone(self), Arc::clone(self));
        thread::spawn(move || there.forward(from, to, age, true));
        thread::spawn(move || back.forward(to_copy, from_copy, age, false));
    }

    /// Forwards one direction until the connection ends or goes silent.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, age: u64, is_to_node: bool) {
        let mut chunk = [0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk);
            if self.silences.load(Ordering::SeqCst) > age {
                // Each direction keeps the end that it reads from; bytes on the way are lost.
                let mut silent = self.silent.lock().unwrap();
                silent.push(from);
                return;
            }
            match read {
                Ok(0) => break,
                Ok(read) => {
                    self.wait_for_link(read);
                    if self.silences.load(Ordering::SeqCst) > age {
                        continue;
                    }
                    if to.write_all(&chunk[..read]).is_err() {
                        break;
                    }
                    if is_to_node {
                        let read = u64::try_from(read).unwrap_or_default();
                        self.forwarded.fetch_add(read, Ordering::SeqCst);
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        // The other direction ends as well.
        let _ = from.shutdown(std::net::Shutdown::Both);
        let _ = to.shutdown(std::net::Shutdown::Both);
    }

    /// Waits until the link has passed `bytes`.
    fn wait_for_link(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let passed = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(passed.saturating_duration_since(Instant::now()));
    }
}
