//! A back end that answers the control group's requests for state and load, and accepts orders
//! immediately.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tiny_http::{Request, Response, Server};

/// Duration of a swap.
const SWAP_TIME: Duration = Duration::from_millis(30);

/// An idle engine that loads each version that it is ordered to load.
pub struct BackEnd {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl BackEnd {
    pub fn start(address: SocketAddr) -> Self {
        let server = Arc::new(Server::http(address).expect("the port is free"));
        let serving = Arc::clone(&server);
        let thread = thread::spawn(move || {
            let mut engine = Engine::default();
            for request in serving.incoming_requests() {
                engine.respond(request);
            }
        });
        Self {
            server,
            thread: Some(thread),
        }
    }
}

impl Drop for BackEnd {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[derive(Default)]
struct Engine {
    version: u64,
    last_order: serde_json::Value,
    /// Version that is being loaded, and the start time of the load.
    loading: Option<(u64, Instant)>,
}

impl Engine {
    fn respond(&mut self, mut request: Request) {
        let mut sent = Vec::new();
        let _ = request.as_reader().read_to_end(&mut sent);
        let body = match request.url() {
            "/load" => serde_json::json!({ "in_flight": 0, "queue": 0, "age_ms": 0 }),
            "/state" => self.state(),
            "/orders" => self.accept_order(&sent),
            _ => serde_json::json!({ "answered": true }),
        };
        let status = if request.url() == "/orders" { 202 } else { 200 };
        let response = Response::from_string(body.to_string()).with_status_code(status);
        let _ = request.respond(response);
    }

    fn state(&mut self) -> serde_json::Value {
        if let Some((version, began)) = self.loading
            && began.elapsed() >= SWAP_TIME
        {
            self.version = version;
            self.loading = None;
        }
        let loading = self.loading.map(|(version, _)| version);
        serde_json::json!({
            "boot_id": 1, "role": "rollout", "models": ["drafts"], "weight_version": self.version,
            "loading": loading, "last_order": self.last_order, "draining": false, "in_flight": 0,
            "queue": 0, "kv_free": 1000,
        })
    }

    fn accept_order(&mut self, sent: &[u8]) -> serde_json::Value {
        let order: serde_json::Value = serde_json::from_slice(sent).unwrap_or_default();
        if let Some(version) = order["order"]["load_weights"]["version"].as_u64() {
            self.loading = Some((version, Instant::now()));
        }
        self.last_order =
            serde_json::json!({ "epoch": order["epoch"], "sequence": order["sequence"] });
        serde_json::json!({})
    }
}
