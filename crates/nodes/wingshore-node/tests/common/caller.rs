//! A caller on a raw socket, which can also send requests that no client library would send.

use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use super::WAIT_TIMEOUT;

/// An answer, read to its declared end.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the code and the verdict of an error answer.
    pub fn error(&self) -> (String, String) {
        let error = &self.json()["error"];
        let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (field("code"), field("verdict"))
    }
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the node listens");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a timeout can be set");
    stream
}

/// Sends raw bytes and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("the node takes the request");
    read_answer(&mut BufReader::new(&stream))
}

/// Sends raw bytes, shuts down the sending side, and reads one answer if there is any.
pub fn exchange_and_close(address: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("the node takes the request");
    stream
        .shutdown(Shutdown::Write)
        .expect("an open socket can be shut down");
    let mut reader = BufReader::new(&stream);
    if reader.fill_buf().ok()?.is_empty() {
        return None;
    }
    Some(read_answer(&mut reader))
}

pub fn get(address: SocketAddr, target: &str) -> Answer {
    exchange(
        address,
        format!("GET {target} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes(),
    )
}

/// Sends a `POST` request and reads its answer; `headers` is raw text, each line with its
/// terminator.
pub fn post(address: SocketAddr, target: &str, headers: &str, body: &str) -> Answer {
    exchange(address, &post_bytes(target, headers, body))
}

pub fn post_bytes(target: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {target} HTTP/1.1\r\nHost: node\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

/// Reads an answer with a content length or with chunks; a chunked answer without its final chunk
/// counts as truncated.
pub fn read_answer(reader: &mut impl BufRead) -> Answer {
    let (status, headers) = read_head(reader);
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
    };
    if answer.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader) {
            answer.body.extend(chunk);
        }
    } else if let Some(length) = answer.header("content-length") {
        let length = length.parse().expect("a length is a number");
        answer.body.resize(length, 0);
        reader
            .read_exact(&mut answer.body)
            .expect("the whole body comes");
    }
    answer
}

pub fn read_head(reader: &mut impl BufRead) -> (u16, Vec<(String, String)>) {
    let mut line = String::new();
    reader.read_line(&mut line).expect("the node answers");
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or_else(|| panic!("not a status line: {line:?}"));
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("the node answers");
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return (status, headers);
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a body; `None` at its declared end or where it is truncated.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    (length > 0).then_some(chunk)
}
