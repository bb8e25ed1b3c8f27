//! HTTP clients for back ends: with pooled connections for payload and for small requests, and
//! with a fresh connection per request.

use crate::http::HeaderList;
use crate::upstream::connector::MarkingConnector;
use snafu::Snafu;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use ureq::{Agent, Body, Error, http};
use wingshore_http::{AgentPool, IpResolver};

/// Maximum number of idle connections kept to one server.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Maximum number of idle connections kept to the servers that share an agent.
const MAX_IDLE_PER_AGENT: usize = 16;
/// Size of each of the two buffers of a payload connection, in bytes. The head of an answer must
/// fit into one buffer.
const PAYLOAD_BUFFER_BYTES: usize = 64 << 10;
/// Size of each of the two buffers of a connection for small requests, in bytes. Small because a
/// node probes many servers, each over a connection of its own.
const SMALL_BUFFER_BYTES: usize = 8 << 10;
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Status codes of final answers (RFC 9110, section 15). The HTTP client skips interim answers but
/// for 101, and passes on every number from 100 to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The status of an answer is none that HTTP knows, or one that nobody asked for: the bytes are no
/// answer.
#[derive(Debug, Snafu)]
#[snafu(display("{code} is no status of an answer"))]
pub struct UnknownStatus {
    code: u16,
}

/// Kind of connection that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// A reused connection. If the server closes it at the same moment, the request is sent again
    /// or fails.
    Pooled,
    /// A reused connection with small buffers, for small requests and answers. A node sends these
    /// to many servers.
    Small,
    /// A new connection for this request only.
    Fresh,
}

/// One request to a back end.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Headers, without the hop-by-hop headers.
    pub headers: &'a HeaderList,
    /// Body of the request.
    pub body: &'a [u8],
    /// Timeout of the whole exchange, including the answer's body.
    pub timeout: Duration,
    /// Kind of connection to use.
    pub connections: Connections,
}

/// Sends requests to back ends. Clones share connections.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    pooled: AgentPool,
    small: AgentPool,
    fresh: Agent,
}

/// Client for one exchange that another thread can interrupt at any time.
#[derive(Clone, Debug)]
pub struct InterruptibleClient {
    agent: Agent,
}

impl Default for InterruptibleClient {
    fn default() -> Self {
        Self {
            agent: agent(0, PAYLOAD_BUFFER_BYTES),
        }
    }
}

impl InterruptibleClient {
    /// Sends a request; returns once the head of the answer has arrived.
    ///
    /// # Errors
    /// Returns the error of the HTTP client, also after an interruption.
    pub fn send(&self, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
        send_by(&self.agent, request)
    }

    /// Closes the connection of the exchange; the thread that uses it gets an error at once.
    pub fn interrupt(self) {
        self.agent.shutdown();
    }
}

impl Default for UpstreamClient {
    /// Creates a client without open connections.
    fn default() -> Self {
        Self {
            pooled: AgentPool::new(|| agent(MAX_IDLE_PER_AGENT, PAYLOAD_BUFFER_BYTES)),
            small: AgentPool::new(|| agent(MAX_IDLE_PER_AGENT, SMALL_BUFFER_BYTES)),
            fresh: agent(0, PAYLOAD_BUFFER_BYTES),
        }
    }
}

impl UpstreamClient {
    /// Sends a request; returns once the head of the answer has arrived.
    ///
    /// # Errors
    /// Returns the error of the HTTP client; see [`crate::upstream::failure_of`].
    pub fn send(&self, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
        let agent = match request.connections {
            Connections::Pooled => self.pooled.agent(request.address),
            Connections::Small => self.small.agent(request.address),
            Connections::Fresh => &self.fresh,
        };
        send_by(agent, request)
    }
}

/// Sends a request and checks the status of its answer, for all kinds of connections.
fn send_by(agent: &Agent, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
    let answer = exchange(agent, request)?;
    let code = answer.status().as_u16();
    if !FINAL_STATUSES.contains(&code) {
        return Err(Error::Other(Box::new(UnknownStatus { code })));
    }
    Ok(answer)
}

fn exchange(agent: &Agent, request: &UpstreamRequest<'_>) -> Result<http::Response<Body>, Error> {
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
        .max_idle_connections_per_host(idle.min(MAX_IDLE_PER_SERVER))
        .max_idle_age(IDLE_TIMEOUT)
        .input_buffer_size(buffer)
        .output_buffer_size(buffer)
        .build();
    Agent::with_parts(config, MarkingConnector::default(), IpResolver)
}
