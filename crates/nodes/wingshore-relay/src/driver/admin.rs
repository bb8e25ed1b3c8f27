//! The admin listener of a relay: `/healthz`, `/readyz` and `/metrics` over HTTP.

use super::metrics::Metrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use tiny_http::{Header, Request, Response, Server};
use wingshore_http::{Nudger, Responder};

/// Content type of `/metrics`: OpenMetrics text.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Content type of all other responses.
const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// A running admin listener. Dropping it stops it.
pub(super) struct AdminServer {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl AdminServer {
    /// Binds `address` and serves requests on a thread of its own.
    pub(super) fn start(address: SocketAddr, metrics: Arc<Metrics>) -> io::Result<Self> {
        let server = Server::http(address).map_err(io::Error::other)?;
        let bound_address = server.server_addr().to_ip().unwrap_or(address);
        let (nudger, _) = Nudger::start(bound_address)?;
        let server = Arc::new(server);
        let serving = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name("relay-admin".to_owned())
            .spawn(move || {
                let responder = Responder::default();
                for request in serving.incoming_requests() {
                    nudger.on_request(request.remote_addr());
                    respond(&responder, request, &metrics);
                }
            })?;
        Ok(Self {
            server,
            thread: Some(thread),
        })
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panicked thread has already ended.
            let _ = thread.join();
        }
    }
}

fn respond(responder: &Responder, request: Request, metrics: &Metrics) {
    let (status, media_type, body) = match request.url() {
        "/healthz" => (200, TEXT_TYPE, "ok\n".to_owned()),
        "/readyz" if metrics.is_ready() => (200, TEXT_TYPE, "ready\n".to_owned()),
        "/readyz" => (503, TEXT_TYPE, "no answer from upstream\n".to_owned()),
        "/metrics" => (200, METRICS_TYPE, metrics.text()),
        _ => (404, TEXT_TYPE, "/healthz, /readyz or /metrics\n".to_owned()),
    };
    let mut response = Response::from_string(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", media_type) {
        response.add_header(header);
    }
    responder.respond(request, response);
}
