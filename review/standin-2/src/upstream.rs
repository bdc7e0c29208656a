//! A stand-in of an upstream: runs requests, echoes their ids, and drops a request whose connection closes.

use crate::{
    http::{Head, MessageReader},
    record,
};

use std::{
    collections::HashMap,
    io::{ErrorKind, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Interval at which a run looks whether its connection was closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the upstream.
    pub upstream: String,
    pub started: Instant,
    /// Time for which the upstream may work, by `X-Deadline-Ms`.
    pub time_left: Duration,
    /// End of the work; `None` while it goes on.
    pub ended: Option<Instant>,
}

/// The runs of all upstreams, by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    /// Time of the work of a request, by the prefix of its path.
    pub work: Vec<(&'static str, Duration)>,
    pub runs: Runs,
}

impl Upstream {
    pub fn start(self, address: SocketAddr) -> Result<()> {
        let listener = TcpListener::bind(address)?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = self.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        Ok(())
    }

    fn serve(&self, stream: TcpStream) {
        // Without the option, answers are only delayed.
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::new(stream);
        while let Ok(Some(head)) = reader.read_head() {
            let received = Instant::now();
            let Ok(body) = reader.read_body(head.length()) else {
                return;
            };
            let Some(text) = self.respond(&reader.stream, &head, received, body.len()) else {
                return;
            };
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request and returns the answer; `None` if its connection was closed meanwhile.
    fn respond(
        &self,
        stream: &TcpStream,
        head: &Head,
        received: Instant,
        body: usize,
    ) -> Option<String> {
        let own = &self.id;
        if head.target() == "/health" {
            return Some(format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        let id = head.field("x-attempt-id").unwrap_or_default();
        if head
            .field("x-target-instance")
            .is_some_and(|wanted| wanted != own)
        {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {own}\r\n\
                 Content-Length: 0\r\n\r\n"
            ));
        }
        let started = received;
        record::line(&format!("run   {id} at {own}: {} body {body}", head.first));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            let known = runs.entry(id.to_owned()).or_default();
            known.push(Run {
                upstream: own.clone(),
                started,
                time_left: head.millis("x-deadline-ms"),
                ended: None,
            });
            known.len() - 1
        };
        let is_open = self.work(stream, head.target(), started);
        let ended = Instant::now();
        if let Some(run) = self
            .runs
            .lock()
            .unwrap()
            .get_mut(id)
            .unwrap()
            .get_mut(index)
        {
            run.ended = Some(ended);
        }
        let millis = (ended - started).as_millis();
        if !is_open {
            record::line(&format!(
                "drop  {id} after {millis} ms of work, its connection closed"
            ));
            return None;
        }
        record::line(&format!("ran   {id} {millis} ms"));
        let text = format!("{id} was run");
        Some(format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\n\
             Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        ))
    }

    /// Works for as long as the path wants; returns whether the connection is still open.
    fn work(&self, stream: &TcpStream, target: &str, started: Instant) -> bool {
        let known = self
            .work
            .iter()
            .find(|(prefix, _)| target.starts_with(prefix));
        let time = known.map_or(Duration::from_millis(5), |(_, time)| *time);
        while started.elapsed() < time {
            let left = time.saturating_sub(started.elapsed());
            let wait = left.min(CHECK_INTERVAL).max(Duration::from_millis(1));
            if stream.set_read_timeout(Some(wait)).is_err() {
                return false;
            }
            match stream.peek(&mut [0]) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(wait),
                Err(error) if is_timeout(error.kind()) => {}
                Err(_) => return false,
            }
        }
        stream.set_read_timeout(None).is_ok()
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
