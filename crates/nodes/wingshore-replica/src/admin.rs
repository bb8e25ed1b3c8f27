//! The admin listener: health, readiness and metrics over HTTP.
//!
//! The HTTP library limits neither the time to receive a request's head nor the head's size, so
//! the admin address must be on a network that only operators can reach.

use crate::error::{AdminSnafu, ReplicaError, ThreadSnafu};
use crate::metrics::{GroupMetrics, ReplicaMetrics};
use snafu::ResultExt;
use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use tiny_http::{Header, Method, Request, Response, Server};
use wingshore_http::{Nudger, Responder};
use wingshore_types::GroupId;

/// Content type of `/metrics`: OpenMetrics text.
const METRICS_TYPE: &[u8] = b"application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Content type of all other responses.
const TEXT_TYPE: &[u8] = b"text/plain; charset=utf-8";

/// Data that the admin listener reports.
pub(crate) struct AdminState {
    pub(crate) metrics: ReplicaMetrics,
    pub(crate) groups: Vec<(GroupId, Arc<GroupMetrics>)>,
}

/// A running admin listener.
pub(crate) struct Admin {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

struct Answer {
    status: u16,
    content_type: &'static [u8],
    body: String,
}

impl Admin {
    /// Binds `address` and serves requests on a thread of its own.
    pub(crate) fn start(address: SocketAddr, state: AdminState) -> Result<Self, ReplicaError> {
        let server = Server::http(address).map_err(|error| {
            let message = error.to_string();
            AdminSnafu { address, message }.build()
        })?;
        let local_address = server.server_addr().to_ip().unwrap_or(address);
        let (nudger, _) = Nudger::start(local_address).context(ThreadSnafu { name: "nudge" })?;
        let server = Arc::new(server);
        let serving = Arc::clone(&server);
        let name = "admin".to_owned();
        let thread = thread::Builder::new()
            .name(name.clone())
            .spawn(move || serve(&serving, &state, &nudger))
            .context(ThreadSnafu { name })?;
        Ok(Self {
            server,
            thread: Some(thread),
        })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // The result of a panicked listener is not needed.
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, state: &AdminState, nudger: &Nudger) {
    let responder = Responder::default();
    for request in server.incoming_requests() {
        nudger.on_request(request.remote_addr());
        let answer = state.answer(request.method(), request.url());
        respond(&responder, request, answer);
    }
}

fn respond(responder: &Responder, request: Request, answer: Answer) {
    let header = Header::from_bytes(&b"Content-Type"[..], answer.content_type);
    let body = answer.body.into_bytes();
    let length = body.len();
    let response = Response::new(
        answer.status.into(),
        header.into_iter().collect(),
        Cursor::new(body),
        Some(length),
        None,
    );
    responder.respond(request, response);
}

impl AdminState {
    fn answer(&self, method: &Method, path: &str) -> Answer {
        match (method, path) {
            (Method::Get, "/healthz") => text(200, "ok\n".to_owned()),
            (Method::Get, "/readyz") => self.readiness(),
            (Method::Get, "/metrics") => self.metrics(),
            _ => text(
                404,
                "allowed: GET /healthz, /readyz and /metrics\n".to_owned(),
            ),
        }
    }

    fn readiness(&self) -> Answer {
        let waiting: Vec<String> = self
            .groups
            .iter()
            .filter(|(_, metrics)| !metrics.is_ready())
            .map(|(group, _)| group.to_string())
            .collect();
        if waiting.is_empty() {
            return text(200, "ready\n".to_owned());
        }
        text(503, format!("no known leader: {}\n", waiting.join(", ")))
    }

    fn metrics(&self) -> Answer {
        match self.metrics.text() {
            Ok(body) => Answer {
                status: 200,
                content_type: METRICS_TYPE,
                body,
            },
            Err(error) => text(500, format!("{error}\n")),
        }
    }
}

fn text(status: u16, body: String) -> Answer {
    Answer {
        status,
        content_type: TEXT_TYPE,
        body,
    }
}
