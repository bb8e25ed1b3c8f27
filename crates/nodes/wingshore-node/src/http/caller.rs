//! A caller's request at the HTTP edge, from its head to its answer.

use crate::http::body::{BodyError, drain_chunks, read_body};
use crate::http::body_memory::{BodyCharge, BodyMemory};
use crate::http::connections::Connections;
use crate::http::event_stream::EventStream;
use crate::http::framing::{BodyLength, FramingError, body_length};
use crate::http::headers::HeaderList;
use crate::http::respond::EdgeAnswer;
use crate::http::route::{Route, RouteError, parse_route};
use std::io::{self, Cursor, Write};
use std::sync::Arc;
use tiny_http::{HTTPVersion, Header, Request, Response, StatusCode};

/// Largest unread declared body in bytes that the HTTP library may drain. The library allocates the
/// whole remainder at once when a request is dropped, so an absurd length would abort the process.
const MAX_DRAINED_BODY: u64 = 1 << 30;

/// Largest body in bytes that the HTTP library reads together with the request head.
const MAX_PREREAD_BODY: u64 = 1024;

/// A request whose head was read and parsed.
pub struct Caller {
    request: Request,
    headers: HeaderList,
    route: Result<Route, RouteError>,
    length: Result<BodyLength, FramingError>,
    is_body_read: bool,
    read_ahead: Option<Result<Vec<u8>, BodyError>>,
    body_memory: Arc<BodyMemory>,
    /// What the body holds of the memory for bodies, until the request is answered.
    body_charge: Option<BodyCharge>,
    connections: Arc<Connections>,
}

impl Caller {
    /// Parses the head of `request`.
    pub fn new(
        request: Request,
        connections: &Arc<Connections>,
        body_memory: &Arc<BodyMemory>,
    ) -> Self {
        let headers = HeaderList::new(request.headers().iter().map(|header| {
            let name = header.field.as_str().as_str().to_owned();
            (name, header.value.as_str().trim().to_owned())
        }));
        let route = parse_route(request.method().as_str(), request.url());
        let mut length = body_length(&headers);
        if let Some(peer) = request.remote_addr() {
            if !connections.is_trusted(*peer) {
                length = Err(FramingError::Distrusted);
            } else if length.is_err() {
                connections.distrust(*peer);
            }
        }
        Self {
            request,
            headers,
            route,
            length,
            is_body_read: false,
            read_ahead: None,
            body_memory: Arc::clone(body_memory),
            body_charge: None,
            connections: Arc::clone(connections),
        }
    }

    /// Returns the HTTP method.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Returns the request headers.
    pub fn headers(&self) -> &HeaderList {
        &self.headers
    }

    /// Returns the requested route, or the reason why there is none.
    pub fn route(&self) -> &Result<Route, RouteError> {
        &self.route
    }

    /// Returns the declared length of the body.
    pub fn length(&self) -> &Result<BodyLength, FramingError> {
        &self.length
    }

    /// Returns whether the caller supports chunked encoding, which event streams need.
    pub fn supports_chunks(&self) -> bool {
        *self.request.http_version() >= HTTPVersion(1, 1)
    }

    /// Returns whether reading the body or dropping the request may block on the caller. Small
    /// bodies never block: the HTTP library has read them together with the request head.
    pub fn may_block(&self) -> bool {
        let is_expected = self.headers.first("expect").is_some();
        match self.length {
            _ if self.is_body_read => false,
            Ok(BodyLength::Empty) => false,
            Ok(BodyLength::Exact(length)) => length > MAX_PREREAD_BODY || is_expected,
            Ok(BodyLength::Chunked) | Err(_) => true,
        }
    }

    /// Reads the body in advance, so that a later [`Caller::read_body`] does not block.
    pub fn read_ahead(&mut self, limit: u64) {
        if let Ok(length) = self.length {
            self.read_ahead = Some(self.read_body(length, limit));
        }
    }

    /// Reads the complete body. Must be called only once.
    ///
    /// # Errors
    /// Returns the errors of [`read_body`].
    pub fn read_body(&mut self, length: BodyLength, limit: u64) -> Result<Vec<u8>, BodyError> {
        if let Some(read) = self.read_ahead.take() {
            return read;
        }
        if length == BodyLength::Chunked {
            self.drain_chunks(limit);
        }
        let reader = self.request.as_reader();
        let read = read_body(reader, length, limit, &self.body_memory);
        self.is_body_read = matches!(read, Ok(_) | Err(BodyError::NoRoom));
        let (body, charge) = read?;
        self.body_charge = charge;
        Ok(body)
    }

    fn drain_chunks(&mut self, limit: u64) {
        let is_drained = drain_chunks(self.request.as_reader(), limit);
        if let (false, Some(peer)) = (is_drained, self.request.remote_addr()) {
            self.connections.distrust(*peer);
        }
    }

    /// Sends a complete answer. A caller that has disconnected is not an error.
    pub fn respond(self, answer: EdgeAnswer) {
        let method_is_head = self.request.method().as_str() == "HEAD";
        if self.may_be_drained() && self.connections.are_closing() {
            // A failed write is ignored: the caller has disconnected.
            let _ = write_last_answer(self.request.into_writer(), &answer, method_is_head);
            return;
        }
        let response = response_of(answer, method_is_head);
        if self.may_be_drained() {
            // A failed write is ignored: the caller has disconnected.
            let _ = self.request.respond(response);
            return;
        }
        // Dropping the request would allocate the declared remainder of its body. The connection is
        // answered and then leaked, so that the library never drains it.
        let stream = self.request.upgrade("close", response);
        std::mem::forget(stream);
    }

    /// Starts an event stream. The body must have been read before.
    ///
    /// # Errors
    /// Fails when the caller has disconnected.
    pub fn into_event_stream(self, headers: &[(&str, &str)]) -> io::Result<EventStream> {
        EventStream::start(self.request.into_writer(), headers)
    }

    fn may_be_drained(&self) -> bool {
        match self.length {
            _ if self.is_body_read => true,
            Ok(BodyLength::Exact(length)) => length <= MAX_DRAINED_BODY,
            Ok(_) => true,
            // The library uses the first length that it can parse.
            Err(_) => self
                .headers
                .all("content-length")
                .filter_map(|value| value.parse::<u64>().ok())
                .all(|length| length <= MAX_DRAINED_BODY),
        }
    }
}

/// Returns the `Content-Length` of an answer. For HEAD it is the length that the body would have.
fn declared_length(answer: &EdgeAnswer, method_is_head: bool) -> usize {
    let declared = answer
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse().ok());
    match declared {
        Some(declared) if method_is_head => declared,
        _ => answer.body.len(),
    }
}

/// Writes an answer with `Connection: close`, after which the caller sends no further request on
/// its connection. The HTTP library cannot set this header.
fn write_last_answer(
    mut writer: Box<dyn Write + Send>,
    answer: &EdgeAnswer,
    method_is_head: bool,
) -> io::Result<()> {
    let status = StatusCode(answer.status);
    let mut bytes = Vec::new();
    let (code, reason) = (answer.status, status.default_reason_phrase());
    write!(bytes, "HTTP/1.1 {code} {reason}\r\nConnection: close\r\n")?;
    let length = declared_length(answer, method_is_head);
    write!(bytes, "Content-Length: {length}\r\n")?;
    for (name, value) in &answer.headers {
        let is_own = ["connection", "content-length", "transfer-encoding"];
        let is_own = is_own.iter().any(|own| name.eq_ignore_ascii_case(own));
        if !is_own && Header::from_bytes(name.as_bytes(), value.as_bytes()).is_ok() {
            write!(bytes, "{name}: {value}\r\n")?;
        }
    }
    bytes.extend_from_slice(b"\r\n");
    if !method_is_head {
        bytes.extend_from_slice(&answer.body);
    }
    writer.write_all(&bytes)?;
    writer.flush()
}

fn response_of(answer: EdgeAnswer, method_is_head: bool) -> Response<Cursor<Vec<u8>>> {
    let length = declared_length(&answer, method_is_head);
    let headers = answer
        .headers
        .iter()
        .filter(|(name, _)| !name.eq_ignore_ascii_case("content-length"))
        .filter_map(|(name, value)| Header::from_bytes(name.as_bytes(), value.as_bytes()).ok())
        .collect();
    Response::new(
        StatusCode(answer.status),
        headers,
        Cursor::new(answer.body),
        Some(length),
        None,
    )
    .with_chunked_threshold(usize::MAX)
}
