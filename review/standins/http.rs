//! Just enough HTTP/1.1: one message at a time, bodies with a length or in chunks.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message; `None` if the connection ends before its end, or on anything that is no message.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let first_line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first_line, headers, body: Vec::new() };
    if message.header("Transfer-Encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("Content-Length").map_or(Ok(0), str::parse).ok()?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    line.ends_with('\n').then(|| line.trim_end().to_owned())
}

pub fn answer(status: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    format!("{text}\r\n{body}").into_bytes()
}

/// A kept connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        Some(Connection { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, head: &str, headers: &[(&str, String)], body: &str) -> Option<Message> {
        let mut text = format!("{head} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        self.reader.get_mut().write_all(format!("{text}\r\n{body}").as_bytes()).ok()?;
        read(&mut self.reader)
    }
}
