//! An upstream whose behaviour is chosen by the path of each request.

use super::SCHEME;

use actix_rt::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use bytes::BytesMut;
use lagoonshore_relay::http1::{body::BodyReader, credentials::CredentialsUse, head};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A request as an upstream read it.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    pub id: String,
    pub method: String,
    pub target: String,
    pub body: String,
    pub fields: String,
}

type SharedSeen = Rc<RefCell<Vec<SeenRequest>>>;
type SharedBehaviour = Rc<Cell<Option<&'static str>>>;

/// An upstream on loopback. The last segment of the path selects its behaviour: `ok` answers 200,
/// `slow` answers 200 after 300 ms, `slow-fail` answers 500 after 300 ms, `never` does not respond,
/// `cut` closes the connection within the body, `late` first sends a response to another request,
/// `surplus` sends a second response after its own, `unframed` sends no length, `fail` answers 500,
/// `shed` answers 503 and reports that it did not run the request, `unsigned` leaves out the
/// signature, `drop` closes the connection without a response, `crash` crashes the upstream.
pub(crate) struct StandInUpstream {
    pub address: SocketAddr,
    pub slots: u32,
    pub seen: SharedSeen,
    pub name: Rc<RefCell<String>>,
    pub dropped: Rc<Cell<u32>>,
    /// Behaviour for all requests; `None` selects it by the path.
    pub behaviour: SharedBehaviour,
    /// Number of the next requests that are shed, whatever else is set.
    pub sheds: Rc<Cell<u32>>,
    /// Whether a refusal is sent once more before the next response on its connection.
    pub repeats_refusals: Rc<Cell<bool>>,
    /// Whether all responses announce the departure of the upstream.
    pub is_leaving: Rc<Cell<bool>>,
    /// Limit on the rate of requests that all responses name.
    pub limit: Rc<Cell<Option<&'static str>>>,
    tasks: SharedTasks,
    shared: UpstreamState,
}

/// Tasks of one run of an upstream; its crash ends them.
#[derive(Default)]
struct UpstreamTasks {
    accepting: Option<JoinHandle<()>>,
    connections: Vec<JoinHandle<()>>,
}

type SharedTasks = Rc<RefCell<UpstreamTasks>>;

impl StandInUpstream {
    pub(crate) async fn start(ip: &str) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0"))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen = SharedSeen::default();
        let name = Rc::new(RefCell::new(String::new()));
        let dropped = Rc::new(Cell::new(0));
        let behaviour = SharedBehaviour::default();
        let sheds = Rc::new(Cell::new(0));
        let repeats_refusals = Rc::new(Cell::new(false));
        let is_leaving = Rc::new(Cell::new(false));
        let limit = Rc::new(Cell::new(None));
        let shared = UpstreamState {
            seen: Rc::clone(&seen),
            name: Rc::clone(&name),
            dropped: Rc::clone(&dropped),
            behaviour: Rc::clone(&behaviour),
            sheds: Rc::clone(&sheds),
            repeats_refusals: Rc::clone(&repeats_refusals),
            is_leaving: Rc::clone(&is_leaving),
            limit: Rc::clone(&limit),
            tasks: SharedTasks::default(),
        };
        let tasks = Rc::clone(&shared.tasks);
        accept(listener, &shared);
        Self {
            address,
            slots: 10,
            seen,
            name,
            dropped,
            behaviour,
            sheds,
            repeats_refusals,
            is_leaving,
            limit,
            tasks,
            shared,
        }
    }

    /// Crashes the upstream: it refuses connections, and those that are open break.
    pub(crate) async fn crash(&self) {
        crash(&self.tasks).await;
    }

    /// Starts the upstream again at its address after a crash.
    pub(crate) async fn restart(&self) {
        let listener = TcpListener::bind(self.address).await.expect("a free port");
        accept(listener, &self.shared);
    }

    /// Returns whether the upstream accepts connections.
    pub(crate) fn is_up(&self) -> bool {
        self.tasks.borrow().accepting.is_some()
    }

    /// Ids of the requests read so far, in order.
    pub(crate) fn ids(&self) -> Vec<String> {
        self.seen
            .borrow()
            .iter()
            .map(|seen| seen.id.clone())
            .collect()
    }

    /// Stops accepting connections.
    pub(crate) fn stop(&self) {
        if let Some(accepting) = &self.tasks.borrow().accepting {
            accepting.abort();
        }
    }
}

fn accept(listener: TcpListener, shared: &UpstreamState) {
    let (accepted, tasks) = (shared.clone(), Rc::clone(&shared.tasks));
    let accepting = actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = actix_rt::spawn(serve(stream, accepted.clone()));
            tasks.borrow_mut().connections.push(connection);
        }
    });
    shared.tasks.borrow_mut().accepting = Some(accepting);
}

async fn crash(tasks: &SharedTasks) {
    let ended = std::mem::take(&mut *tasks.borrow_mut());
    let Some(accepting) = ended.accepting else {
        return;
    };
    // The port refuses connections before the open ones end.
    accepting.abort();
    let _ = accepting.await;
    for connection in ended.connections {
        connection.abort();
    }
}

/// State shared by the connections of an upstream.
#[derive(Clone)]
struct UpstreamState {
    seen: SharedSeen,
    name: Rc<RefCell<String>>,
    dropped: Rc<Cell<u32>>,
    behaviour: SharedBehaviour,
    sheds: Rc<Cell<u32>>,
    repeats_refusals: Rc<Cell<bool>>,
    is_leaving: Rc<Cell<bool>>,
    limit: Rc<Cell<Option<&'static str>>>,
    tasks: SharedTasks,
}

async fn serve(mut stream: TcpStream, shared: UpstreamState) {
    let mut buffer = BytesMut::new();
    let mut refusal = String::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut buffer).await else {
            return;
        };
        let (head, body) = request;
        if shared.repeats_refusals.get() {
            let _ = stream.write_all(refusal.as_bytes()).await;
        }
        let fields = String::from_utf8_lossy(&head.fields).into_owned();
        let id = head.id.clone().unwrap_or_default().to_string();
        let own_name = shared.name.borrow().clone();
        let expected = field(&head.raw, SCHEME.expected_instance);
        if !own_name.is_empty() && expected.is_some_and(|expected| expected != own_name) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{}: {own_name}\r\nContent-Length: 0\r\n\r\n",
                SCHEME.own_instance
            );
            let text = text.replace("\r\n\r\n", &format!("\r\nRequest-Id: {id}\r\n\r\n"));
            let _ = stream.write_all(text.as_bytes()).await;
            refusal = text;
            continue;
        }
        shared.seen.borrow_mut().push(SeenRequest {
            id: id.clone(),
            method: head.method.to_string(),
            target: head.target.to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
            fields: fields + &head.raw,
        });
        let path = head.target.split('?').next().unwrap_or_default();
        let segment = path.rsplit('/').next().unwrap_or_default();
        let sheds = shared.sheds.get();
        shared.sheds.set(sheds.saturating_sub(1));
        let behaviour = if sheds > 0 {
            "shed"
        } else {
            shared.behaviour.get().unwrap_or(segment)
        };
        if behaviour == "shed" {
            refusal = shed_response(&id);
        }
        if !respond(&mut stream, behaviour, &id, &shared).await {
            return;
        }
    }
}

/// Sends the response that `behaviour` selects; `false` closes the connection.
async fn respond(
    stream: &mut TcpStream,
    behaviour: &str,
    id: &str,
    shared: &UpstreamState,
) -> bool {
    let departure = if shared.is_leaving.get() {
        "Departure: 1\r\n"
    } else {
        ""
    };
    let limit = shared.limit.get();
    let limit = limit.map_or(String::new(), |limit| format!("Rate-Limit: {limit}\r\n"));
    let own_name = format!("{}: {}\r\n", SCHEME.own_instance, shared.name.borrow());
    let signed = format!("Request-Id: {id}\r\nSignature: s\r\n{departure}{limit}{own_name}");
    let ok = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 4\r\n\r\nbody");
    let (text, is_reusable) = match behaviour {
        "slow" => {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            (ok, true)
        }
        "slow-fail" => {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            (ok.replace("200 OK", "500 Internal Server Error"), true)
        }
        "never" => {
            let mut discarded = [0; 1];
            while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
            shared.dropped.set(shared.dropped.get() + 1);
            return false;
        }
        "cut" => (ok.replace("Content-Length: 4", "Content-Length: 40"), false),
        "late" => (ok.replace(id, "another") + &ok, true),
        "surplus" => (ok.clone() + &ok.replace(id, "another"), true),
        "unframed" => (ok.replace("Content-Length: 4\r\n", ""), false),
        "fail" => (ok.replace("200 OK", "500 Internal Server Error"), true),
        "shed" => (shed_response(id), true),
        "unsigned" => (ok.replace("Signature: s\r\n", ""), true),
        "drop" => return false,
        "crash" => {
            let tasks = Rc::clone(&shared.tasks);
            // A task of its own, since the crash ends the one of this connection.
            actix_rt::spawn(async move { crash(&tasks).await });
            std::future::pending().await
        }
        _ => (ok, true),
    };
    stream.write_all(text.as_bytes()).await.is_ok() && is_reusable
}

fn shed_response(id: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

struct ReadHead {
    inner: head::RequestHead,
    raw: String,
}

impl std::ops::Deref for ReadHead {
    type Target = head::RequestHead;

    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<(ReadHead, bytes::Bytes)> {
    let (head, raw) = loop {
        let before = String::from_utf8_lossy(buffer).into_owned();
        if let Some(head) =
            head::parse_request(buffer, 64 * 1024, &SCHEME, CredentialsUse::Upstream).ok()?
        {
            let end = before.len() - String::from_utf8_lossy(buffer).len();
            break (head, before[..end].to_owned());
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let mut body = BodyReader::new(head.framing, 64 << 20).ok()?;
    while !body.read_from(buffer).ok()? {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some((ReadHead { inner: head, raw }, body.finish()))
}

fn field(raw: &str, name: &str) -> Option<String> {
    let lines = raw.lines().filter_map(|line| line.split_once(": "));
    let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.to_owned())
}
