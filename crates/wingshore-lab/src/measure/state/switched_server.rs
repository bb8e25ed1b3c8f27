//! A live server of the measurement itself, that counts what it was asked.

use super::error::{IoSnafu, StateError};
use snafu::ResultExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use tiny_http::{Request, Response, Server};

/// Path that is counted.
pub const COUNTED_PATH: &str = "/counted";
/// What the server says of its load.
const LOAD: &str = r#"{"in_flight":0,"queue":0,"age_ms":0}"#;

/// A live server; ends when it is dropped.
pub struct SwitchedServer {
    server: Arc<Server>,
    address: SocketAddr,
    asked: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl SwitchedServer {
    /// Starts it on a free port.
    ///
    /// # Errors
    /// When it cannot listen.
    pub fn start() -> Result<Self, StateError> {
        let path = "live server";
        let listener = TcpListener::bind("127.0.0.1:0").context(IoSnafu { path })?;
        let address = listener.local_addr().context(IoSnafu { path })?;
        let server = Server::from_listener(listener, None)
            .map_err(std::io::Error::other)
            .context(IoSnafu { path })?;
        let server = Arc::new(server);
        let asked = Arc::new(AtomicU64::new(0));
        let (serving, counting) = (Arc::clone(&server), Arc::clone(&asked));
        let thread = thread::spawn(move || {
            for request in serving.incoming_requests() {
                answer(request, &counting);
            }
        });
        Ok(Self {
            server,
            address,
            asked,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often [`COUNTED_PATH`] was asked for.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::SeqCst)
    }
}

impl Drop for SwitchedServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panicked server has nothing to hand on.
            let _ = thread.join();
        }
    }
}

fn answer(request: Request, asked: &AtomicU64) {
    let body = match request.url() {
        COUNTED_PATH => {
            asked.fetch_add(1, Ordering::SeqCst);
            "here"
        }
        _ => LOAD,
    };
    // A node that is gone needs no answer.
    let _ = request.respond(Response::from_string(body));
}
