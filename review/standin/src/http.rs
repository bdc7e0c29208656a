//! Plain HTTP/1.1 over TCP, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Largest head that is read, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// `Message` is a request or a response that was read completely.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first field called `name`, in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path with query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    /// Value of a query parameter of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}

/// Reads one message with a `Content-Length`, or none, from `stream`. `rest` holds bytes that were
/// read before and those that follow the message. `Ok(None)` if the peer closed between messages.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(rest, b"\r\n\r\n") {
            break end;
        }
        if rest.len() > HEAD_BYTES_MAX {
            return Err(io::Error::other("head too large"));
        }
        let mut chunk = [0; 16 * 1024];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        rest.extend_from_slice(&chunk[..read]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    let length = message.field("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(io::Error::other)?;
    let buffered = rest.len().min(length);
    message.body = rest.drain(..buffered).collect();
    if message.body.len() < length {
        let missing = length - message.body.len();
        let mut body = vec![0; missing];
        stream.read_exact(&mut body)?;
        message.body.append(&mut body);
    }
    Ok(Some(message))
}

/// Writes a message: `start` is the request line or the status line.
pub fn write_message(
    stream: &mut TcpStream,
    start: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// `Reply` is what a client got for one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A complete response.
    Response(Message),
    /// No connection could be opened.
    NoConnection(String),
    /// The connection ended, or nothing came in time, before a complete response.
    Cut(String),
}

impl Reply {
    /// Status of the response; 0 if there is none.
    pub fn status(&self) -> u16 {
        match self {
            Self::Response(message) => message.status(),
            _ => 0,
        }
    }

    /// Short text for the record.
    pub fn text(&self) -> String {
        match self {
            Self::Response(message) => {
                let reason = message.field("lagoonshore-reason").unwrap_or("-");
                let seal = message.field("x-response-seal").unwrap_or("-");
                format!("{} reason={reason} seal={seal}", message.status())
            }
            Self::NoConnection(error) => format!("no connection: {error}"),
            Self::Cut(error) => format!("cut: {error}"),
        }
    }
}

/// `ClientRequest` is a request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub method: String,
    pub path: String,
    pub host: String,
    pub id: String,
    pub time_limit: Duration,
    pub body: Vec<u8>,
}

/// `Client` is a client with one connection, which it keeps open between requests.
pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Opens the connection unless it is open.
    pub fn connect(&mut self) -> io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some((stream, Vec::new()));
        }
        Ok(())
    }

    /// Sends a request and waits for its response, for the time limit of the request and a second.
    pub fn send(&mut self, request: &ClientRequest) -> Reply {
        if let Err(error) = self.connect() {
            return Reply::NoConnection(error.to_string());
        }
        let result = self.exchange(request);
        match result {
            Ok(message) => {
                let closes = message
                    .field("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if closes {
                    self.connection = None;
                }
                Reply::Response(message)
            }
            Err(error) => {
                self.connection = None;
                Reply::Cut(error.to_string())
            }
        }
    }

    fn exchange(&mut self, request: &ClientRequest) -> io::Result<Message> {
        let Some((stream, rest)) = &mut self.connection else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let wait = request.time_limit + Duration::from_secs(1);
        stream.set_read_timeout(Some(wait))?;
        stream.set_write_timeout(Some(wait))?;
        let limit = request.time_limit.as_millis().to_string();
        write_message(
            stream,
            &format!("{} {} HTTP/1.1", request.method, request.path),
            &[
                ("Host", &request.host),
                ("X-Attempt-Id", &request.id),
                ("X-Deadline-Ms", &limit),
            ],
            &request.body,
        )?;
        read_message(stream, rest)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
