//! Stand-in for an application backend: it runs requests, refuses those for another instance, and
//! may crash and start again.

use crate::{
    http::{self, Client, ClientRequest},
    record::Record,
};

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which a running request looks for a closed connection.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// `Run` is one run of a request on a backend.
#[derive(Clone, Debug)]
pub struct Run {
    /// Seconds since the start of the record at which the request arrived.
    pub at: f64,
    pub id: String,
    pub body: String,
    /// How the run ended.
    pub end: String,
}

/// `Work` is what a request does to a backend.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// It runs for this time and is answered with 200.
    Answer(Duration),
    /// It crashes the backend.
    Crash,
    /// It makes one call through the node of its machine, and is answered with 200 if the call is
    /// served, else with 500.
    Call {
        host: &'static str,
        path: &'static str,
    },
}

/// Decides what a request does, by its path and body.
pub type WorkRule = Arc<dyn Fn(&str, &[u8]) -> Work + Send + Sync>;

/// `Backend` is one backend; clones share its state.
#[derive(Clone)]
pub struct Backend {
    /// Address at which the node of the machine takes calls.
    outbound: SocketAddr,
    pub id: String,
    pub address: SocketAddr,
    rule: WorkRule,
    record: Record,
    shared: Arc<Shared>,
}

struct Shared {
    /// Number of the lifetime; runs of an earlier one are void.
    lifetime: AtomicU64,
    is_up: AtomicBool,
    is_listening: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
}

impl Backend {
    /// Creates a backend at `address` and starts it.
    pub fn start(
        id: &str,
        address: SocketAddr,
        outbound: SocketAddr,
        rule: WorkRule,
        record: &Record,
    ) -> std::io::Result<Self> {
        let backend = Self {
            outbound,
            id: id.to_owned(),
            address,
            rule,
            record: record.clone(),
            shared: Arc::new(Shared {
                lifetime: AtomicU64::new(0),
                is_up: AtomicBool::new(false),
                is_listening: AtomicBool::new(false),
                streams: Mutex::default(),
                runs: Mutex::default(),
            }),
        };
        backend.begin_lifetime()?;
        Ok(backend)
    }

    /// Starts a new lifetime.
    pub fn begin_lifetime(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let lifetime = self.shared.lifetime.fetch_add(1, Ordering::SeqCst) + 1;
        self.shared.is_up.store(true, Ordering::SeqCst);
        self.shared.is_listening.store(true, Ordering::SeqCst);
        self.record
            .line(&format!("backend {}: lifetime {lifetime} begins", self.id));
        let backend = self.clone();
        thread::spawn(move || {
            while backend.is_lifetime(lifetime) {
                match listener.accept() {
                    Ok((stream, _)) => backend.accept(stream, lifetime),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => break,
                }
            }
            drop(listener);
            backend.shared.is_listening.store(false, Ordering::SeqCst);
        });
        Ok(())
    }

    /// Ends the lifetime at once, as a crash or an exit does.
    pub fn end_lifetime(&self, cause: &str) {
        if !self.shared.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        // The port refuses connections before the open ones end.
        while self.shared.is_listening.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        self.record
            .line(&format!("backend {}: ends ({cause})", self.id));
        let streams = std::mem::take(&mut *self.shared.streams.lock().expect("stream lock"));
        for stream in streams {
            // The connection may be closed already.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn is_up(&self) -> bool {
        self.shared.is_up.load(Ordering::SeqCst)
    }

    /// Runs so far, in the order of their arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("run lock").clone()
    }

    fn is_lifetime(&self, lifetime: u64) -> bool {
        self.is_up() && self.shared.lifetime.load(Ordering::SeqCst) == lifetime
    }

    fn accept(&self, stream: TcpStream, lifetime: u64) {
        let is_ready = stream.set_nonblocking(false).is_ok() && stream.set_nodelay(true).is_ok();
        let (true, Ok(copy)) = (is_ready, stream.try_clone()) else {
            return;
        };
        self.shared.streams.lock().expect("stream lock").push(copy);
        let backend = self.clone();
        thread::spawn(move || backend.serve(stream, lifetime));
    }

    fn serve(&self, mut stream: TcpStream, lifetime: u64) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut rest) {
            if !self.is_lifetime(lifetime) {
                return;
            }
            let id = request.field("x-attempt-id").unwrap_or_default().to_owned();
            let expected = request.field("x-target-instance").unwrap_or(&self.id);
            let written = if expected != self.id {
                let fields = [("X-Attempt-Id", id.as_str()), ("X-Instance-Id", &self.id)];
                http::write_message(&mut stream, "HTTP/1.1 421 Misdirected", &fields, b"")
            } else if id.is_empty() {
                let fields = [("X-Instance-Id", self.id.as_str())];
                http::write_message(&mut stream, "HTTP/1.1 200 OK", &fields, b"")
            } else {
                let Some((status, body)) = self.run(&request, &id, &stream, lifetime) else {
                    return;
                };
                let seal = format!("seal-{}-{id}", self.id);
                let fields = [
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Response-Seal", &seal),
                    ("Keep-Alive", "timeout=10"),
                ];
                let start = format!("HTTP/1.1 {status} Answer");
                http::write_message(&mut stream, &start, &fields, &body)
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// Runs a request; returns status and body of the answer, or `None` if the connection ended.
    fn run(
        &self,
        request: &http::Message,
        id: &str,
        stream: &TcpStream,
        lifetime: u64,
    ) -> Option<(u16, Vec<u8>)> {
        let index = self.begin_run(request, id);
        let duration = match (self.rule)(request.target(), &request.body) {
            Work::Answer(duration) => duration,
            Work::Crash => {
                self.end_run(index, "crashed the backend");
                self.end_lifetime(&format!("request {id} crashes it"));
                return None;
            }
            Work::Call { host, path } => {
                let reply = self.call(request, id, host, path);
                let status = if reply.status() == 200 { 200 } else { 500 };
                let text = format!("answered {status}, its call got {}", reply.text());
                self.end_run(index, &text);
                return Some((status, text.into_bytes()));
            }
        };
        let done = Instant::now() + duration;
        while Instant::now() < done {
            thread::sleep(LOOK_INTERVAL);
            if !self.is_lifetime(lifetime) {
                self.end_run(index, "lost, the backend ended");
                return None;
            }
            if is_closed(stream) {
                self.end_run(index, "dropped, its connection closed");
                return None;
            }
        }
        self.end_run(index, "answered 200");
        Some((200, format!("answer of {} to {id}", self.id).into_bytes()))
    }

    /// Makes the call of a run, with what is left of its time limit.
    fn call(
        &self,
        request: &http::Message,
        id: &str,
        host: &'static str,
        path: &'static str,
    ) -> http::Reply {
        let limit = request.field("x-deadline-ms").unwrap_or("1000");
        let limit = Duration::from_millis(limit.parse().unwrap_or(1000));
        Client::new(self.outbound).send(&ClientRequest {
            method: "GET".into(),
            path: path.into(),
            host: host.into(),
            id: format!("{id}.call"),
            time_limit: limit,
            body: Vec::new(),
        })
    }

    fn begin_run(&self, request: &http::Message, id: &str) -> usize {
        let text = String::from_utf8_lossy(&request.body[..request.body.len().min(40)]);
        let caller = request.field("x-caller-service").unwrap_or("-");
        let limit = request.field("x-deadline-ms").unwrap_or("-");
        self.record.line(&format!(
            "backend {}: runs {id} {} {} caller={caller} limit_ms={limit} body={} bytes",
            self.id,
            request.method(),
            request.target(),
            request.body.len(),
        ));
        let mut runs = self.shared.runs.lock().expect("run lock");
        runs.push(Run {
            at: self.record.now(),
            id: id.to_owned(),
            body: text.into_owned(),
            end: "running".to_owned(),
        });
        runs.len() - 1
    }

    fn end_run(&self, index: usize, end: &str) {
        let mut runs = self.shared.runs.lock().expect("run lock");
        runs[index].end = end.to_owned();
        let id = runs[index].id.clone();
        drop(runs);
        self.record
            .line(&format!("backend {}: run of {id} {end}", self.id));
    }
}

/// Returns whether the peer closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let restored = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock || restored.is_err(),
    }
}
