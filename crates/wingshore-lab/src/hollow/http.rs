//! Requests of HTTP/1.1 on sockets that never block: as much of it as the probes of nodes and the
//! orders of replicas need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Bytes taken from a socket at once.
const READ_BYTES: usize = 4 << 10;
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The user agent of a replica's calls begins so; nodes send none.
const REPLICA_AGENT: &str = "ureq";

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// The leader of the control group.
    Replica,
    /// A node.
    Node,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Path with query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Who asks.
    pub asker: Asker,
    /// Its length with its head, in bytes.
    pub length: usize,
}

/// A connection that a request may come on.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    inbound: Vec<u8>,
}

impl HttpConnection {
    /// Takes a connection.
    ///
    /// # Errors
    /// When it is lost already.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            inbound: Vec::new(),
        })
    }

    /// The next whole request, if it has come.
    ///
    /// # Errors
    /// When the connection is closed.
    pub fn receive(&mut self) -> io::Result<Option<HttpRequest>> {
        let mut buffer = [0; READ_BYTES];
        match self.stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::ConnectionAborted.into()),
            Ok(count) => self.inbound.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(error) => return Err(error),
        }
        let request = parse(&self.inbound);
        if let Some(request) = &request {
            self.inbound.drain(..request.length);
        }
        Ok(request)
    }

    /// Answers JSON; says how many bytes that took.
    ///
    /// # Errors
    /// When the connection is lost.
    pub fn answer(&mut self, status: &str, body: &[u8]) -> io::Result<usize> {
        let length = body.len();
        let mut bytes = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        // The answers are far smaller than a socket's buffer.
        self.stream.write_all(&bytes)?;
        Ok(bytes.len())
    }
}

/// Reads a request from the start of `bytes`; none while it is not whole.
pub fn parse(bytes: &[u8]) -> Option<HttpRequest> {
    let head_end = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&bytes[..head_end]);
    let mut lines = head.split("\r\n");
    let target = lines.next()?.split(' ').nth(1)?.to_owned();
    let mut body_length = 0;
    let mut asker = Asker::Node;
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            body_length = value.parse().ok()?;
        }
        if name.eq_ignore_ascii_case("user-agent") && value.starts_with(REPLICA_AGENT) {
            asker = Asker::Replica;
        }
    }
    let start = head_end + HEAD_END.len();
    let length = start + body_length;
    let body = bytes.get(start..length)?.to_vec();
    Some(HttpRequest {
        target,
        body,
        asker,
        length,
    })
}
