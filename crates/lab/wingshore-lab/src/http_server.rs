//! HTTP server of the stand-ins: a thread for each request, whole bodies, flushed event streams.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response, Server};
use wingshore_http::Nudger;

/// Largest body that is read.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// The port cannot be served.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {message}"))]
pub struct ListenError {
    address: SocketAddr,
    message: String,
}

/// A request with its whole body.
pub struct Incoming {
    /// Method, in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query, without the question mark; empty when there is none.
    pub query: String,
    pub body: Vec<u8>,
    request: Request,
}

impl Incoming {
    fn read(mut request: Request) -> Option<Self> {
        let mut body = Vec::new();
        let declared = request.body_length();
        let mut reader = request.as_reader().take(MAX_BODY_BYTES);
        reader.read_to_end(&mut body).ok()?;
        if declared.is_some_and(|length| length != body.len()) {
            return None;
        }
        let (path, query) = match request.url().split_once('?') {
            Some((path, query)) => (path.to_owned(), query.to_owned()),
            None => (request.url().to_owned(), String::new()),
        };
        Some(Self {
            method: request.method().to_string(),
            path,
            query,
            body,
            request,
        })
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        self.request
            .headers()
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str().to_owned())
    }

    /// Value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Answers JSON. A client that is gone is not an error of the stand-in.
    pub fn respond_json<T: Serialize>(self, status: u16, body: &T) {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        self.respond(status, &[("content-type", "application/json")], bytes);
    }

    /// Answers bytes.
    pub fn respond(self, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
        let mut response = Response::from_data(body).with_status_code(status);
        for (name, value) in headers {
            if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                response.add_header(header);
            }
        }
        let _gone = self.request.respond(response);
    }

    /// Answers with an error code.
    pub fn respond_error(self, status: u16, code: &str) {
        self.respond_json(status, &serde_json::json!({ "error": { "code": code } }));
    }

    /// Answers 400 to a body that cannot be read.
    pub fn respond_bad_request(self, error: &serde_json::Error) {
        let body = serde_json::json!({
            "error": { "code": "bad_request", "message": error.to_string() }
        });
        self.respond_json(400, &body);
    }

    /// Begins a stream of server-sent events.
    pub fn into_event_stream(self) -> std::io::Result<EventStream> {
        let mut writer = self.request.into_writer();
        writer.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
              Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        writer.flush()?;
        Ok(EventStream { writer })
    }
}

/// A stream of server-sent events, each flushed by itself.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Sends one event.
    pub fn send<T: Serialize>(&mut self, event: &T) -> std::io::Result<()> {
        let text = serde_json::to_string(event).map_err(std::io::Error::other)?;
        let line = format!("data: {text}\n\n");
        write!(self.writer, "{:x}\r\n{line}\r\n", line.len())?;
        self.writer.flush()
    }

    /// Ends the stream.
    pub fn finish(mut self) -> std::io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// Serves `address` for ever; `round_trip` stands for the network between the machines.
pub fn serve(
    address: SocketAddr,
    round_trip: Duration,
    handler: Arc<dyn Fn(Incoming) + Send + Sync>,
) -> Result<(), ListenError> {
    let server = Server::http(address).map_err(|error| ListenError {
        address,
        message: error.to_string(),
    })?;
    let listen_error = |error: std::io::Error| ListenError {
        address,
        message: error.to_string(),
    };
    let (nudger, _nudging) = Nudger::start(address).map_err(listen_error)?;
    for request in server.incoming_requests() {
        nudger.on_request(request.remote_addr());
        let handler = Arc::clone(&handler);
        thread::spawn(move || {
            if let Some(incoming) = Incoming::read(request) {
                thread::sleep(round_trip);
                handler(incoming);
            }
        });
    }
    Ok(())
}
