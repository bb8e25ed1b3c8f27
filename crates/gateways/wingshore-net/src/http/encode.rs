//! Encoding of HTTP messages.

use std::fmt::Display;
use std::io::Write;

/// Encodes the head of a message and, at the end, its body.
pub struct HeadWriter {
    bytes: Vec<u8>,
}

impl HeadWriter {
    /// Starts the head of a request.
    pub fn request(method: &str, target: &str) -> Self {
        let mut bytes = Vec::with_capacity(512);
        bytes.extend_from_slice(method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        Self { bytes }
    }

    /// Starts the head of an answer.
    pub fn answer(status: u16) -> Self {
        let mut bytes = Vec::with_capacity(256);
        // Writing to a vector does not fail.
        let _ = write!(bytes, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        Self { bytes }
    }

    /// Adds a header line from raw bytes.
    #[must_use]
    pub fn line(mut self, name: &[u8], value: &[u8]) -> Self {
        self.bytes.extend_from_slice(name);
        self.bytes.extend_from_slice(b": ");
        self.bytes.extend_from_slice(value);
        self.bytes.extend_from_slice(b"\r\n");
        self
    }

    /// Adds a header line with the printed form of `value`.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Display) -> Self {
        let _ = write!(self.bytes, "{name}: {value}\r\n");
        self
    }

    /// Ends the head, adds the body and returns the whole message.
    pub fn body(self, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.before_body(body.len());
        bytes.extend_from_slice(body);
        bytes
    }

    /// Ends the head of a message whose body has this length in bytes, and returns it.
    pub fn before_body(self, length: usize) -> Vec<u8> {
        self.header("Content-Length", length).end()
    }

    /// Ends the head of a message whose body follows in chunks, and returns it.
    pub fn chunked(self) -> Vec<u8> {
        self.header("Transfer-Encoding", "chunked").end()
    }

    /// Ends the head without framing a body, and returns it.
    pub fn end(mut self) -> Vec<u8> {
        self.bytes.extend_from_slice(b"\r\n");
        self.bytes
    }
}

/// Appends a chunk to `out`. Empty data is left out, since an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

/// Returns the reason phrase of a status code; `-` for codes that are not listed.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "-",
    }
}
