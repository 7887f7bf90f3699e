//! A minimal HTTP/1.1 reader and writer over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line: a request line or a status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> std::io::Result<Connection> {
        TcpStream::connect_timeout(&address, wait).map(Connection::new)
    }

    fn fill(&mut self, deadline: Option<Instant>) -> std::io::Result<bool> {
        let left = match deadline {
            None => None,
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(std::io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
        };
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0u8; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads one message; `None` at the end of the stream before its first byte.
    pub fn read(&mut self, deadline: Option<Instant>) -> std::io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if !self.fill(deadline)? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill(deadline)? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        self.stream.write_all(bytes)
    }
}

/// The bytes of a message with a length.
pub fn encode(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own; `None` without a whole answer in time.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Message> {
    let deadline = Instant::now() + wait;
    let mut connection = Connection::open(address, wait.min(Duration::from_secs(1))).ok()?;
    connection.write(&encode(first, headers, body)).ok()?;
    connection.read(Some(deadline)).ok().flatten()
}
