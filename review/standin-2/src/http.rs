//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A head: its first line and its fields, with names in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path with query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Value of a field in milliseconds; zero if it is missing.
    pub fn millis(&self, name: &str) -> Duration {
        let millis = self.field(name).and_then(|text| text.parse().ok());
        Duration::from_millis(millis.unwrap_or(0))
    }

    pub fn length(&self) -> usize {
        let length = self.field("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct MessageReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body of `length` bytes.
    pub fn read_body(&mut self, length: usize) -> Result<Vec<u8>> {
        let taken = self.buffer.len().min(length);
        let mut body: Vec<u8> = self.buffer.drain(..taken).collect();
        body.resize(length, 0);
        self.stream.read_exact(&mut body[taken..])?;
        Ok(body)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Head {
        first,
        fields: fields.collect(),
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Sends a request on a connection of its own and reads the answer.
pub fn send(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Result<Head> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = MessageReader::new(stream);
    let answer = reader.read_head()?;
    let answer = answer.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
    reader.read_body(answer.length())?;
    Ok(answer)
}
