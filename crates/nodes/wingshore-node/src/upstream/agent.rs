//! The HTTP clients: with pooled connections for payload and for small questions, and with a
//! connection for each request.

use crate::http::HeaderList;
use crate::upstream::connector::MarkingConnector;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::{Agent, Body, Error, http};
use wingshore_http::{AgentPool, IpResolver};

/// Most idle connections kept to one server.
const IDLE_PER_SERVER: usize = 16;
/// Most idle connections kept to the servers that share an agent.
const IDLE_PER_AGENT: usize = 16;
/// Buffers of a connection for payload, each way, in bytes; an answer's head fits into one.
const PAYLOAD_BUFFER: usize = 64 << 10;
/// Buffers of a connection for small questions, each way, in bytes. A node probes many servers, each
/// with a connection of its own.
const SMALL_BUFFER: usize = 8 << 10;
/// Idle connections are closed after this time.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a request may use a connection that was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// It may: should the server close at that very moment, it is sent again or fails.
    Pooled,
    /// It may, and question and answer are small: its buffers are, since a node asks many servers.
    Small,
    /// It may not.
    Fresh,
}

/// One request to a back end.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// The server.
    pub address: SocketAddr,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers, without those of one connection.
    pub headers: &'a HeaderList,
    /// Body.
    pub body: &'a [u8],
    /// Everything must be over by then, the answer's body included.
    pub timeout: Duration,
    /// Which connections may be used.
    pub connections: Connections,
}

/// Sends requests to back ends. Clones share connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: AgentPool,
    small: AgentPool,
    fresh: Agent,
}

/// A client for one exchange, which another thread can end at any time.
#[derive(Clone, Debug)]
pub struct InterruptibleClient {
    agent: Agent,
}

impl Default for InterruptibleClient {
    fn default() -> Self {
        Self {
            agent: agent(0, PAYLOAD_BUFFER),
        }
    }
}

impl InterruptibleClient {
    /// Sends a request; answers once the answer's head has come.
    ///
    /// # Errors
    /// As the HTTP client reports them, also after an interruption.
    pub fn send(&self, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
        send_by(&self.agent, request)
    }

    /// Closes the exchange's connection: its thread gets an error at once.
    pub fn interrupt(self) {
        self.agent.shutdown();
    }
}

impl Default for UpstreamClient {
    /// A client without connections yet.
    fn default() -> Self {
        Self {
            pooled: AgentPool::new(|| agent(IDLE_PER_AGENT, PAYLOAD_BUFFER)),
            small: AgentPool::new(|| agent(IDLE_PER_AGENT, SMALL_BUFFER)),
            fresh: agent(0, PAYLOAD_BUFFER),
        }
    }
}

impl UpstreamClient {
    /// Sends a request; answers once the answer's head has come.
    ///
    /// # Errors
    /// As the HTTP client reports them; see [`crate::upstream::failure_of`].
    pub fn send(&self, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
        let agent = match request.connections {
            Connections::Pooled => self.pooled.agent(request.address),
            Connections::Small => self.small.agent(request.address),
            Connections::Fresh => &self.fresh,
        };
        send_by(agent, request)
    }
}

fn send_by(agent: &Agent, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
    let mut builder = http::Request::builder()
        .method(request.method)
        .uri(format!("http://{}{}", request.address, request.target));
    for (name, value) in request.headers.iter() {
        builder = builder.header(name, value);
    }
    let takes_body = matches!(request.method, "POST" | "PUT" | "PATCH");
    if request.body.is_empty() && !takes_body {
        let built = builder.body(())?;
        let built = agent
            .configure_request(built)
            .timeout_global(Some(request.timeout))
            .build();
        return agent.run(built);
    }
    let built = builder.body(request.body)?;
    let built = agent
        .configure_request(built)
        .timeout_global(Some(request.timeout))
        .build();
    agent.run(built)
}

fn agent(idle: usize, buffer: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle.min(IDLE_PER_SERVER))
        .max_idle_age(MAX_IDLE)
        .input_buffer_size(buffer)
        .output_buffer_size(buffer)
        .build();
    Agent::with_parts(config, MarkingConnector::default(), IpResolver)
}
