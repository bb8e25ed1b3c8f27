//! HTTP calls to engines and live servers.

use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;
use ureq::http::{Response, StatusCode};
use ureq::unversioned::transport::DefaultConnector;
use wingshore_control::OrderAnswer;
use wingshore_http::{AgentPool, IpResolver};
use wingshore_types::Verdict;
use wingshore_types::platform::{EngineOrder, EngineState, LoadReport, NOT_RUN_HEADER};

/// Idle connections kept open to one server.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 1;
/// Idle connections kept open to all servers that share an agent; engines that swap versions are
/// polled often.
const MAX_IDLE_CONNECTIONS_PER_AGENT: usize = 8;
/// Longest time that an idle connection is kept open.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);
/// Size of a connection's input and output buffer, in bytes; requests and responses are small.
const BUFFER_SIZE: usize = 8 << 10;

/// HTTP client for engines and live servers. Clones share their connections.
#[derive(Clone)]
pub(crate) struct EngineClient {
    agents: AgentPool,
}

impl EngineClient {
    /// Returns a client whose calls fail after `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            agents: AgentPool::new(|| agent(timeout)),
        }
    }

    /// Sends an order with `POST /orders`.
    pub(crate) fn send_order(&self, address: SocketAddr, order: &EngineOrder) -> OrderAnswer {
        let url = format!("http://{address}/orders");
        match self.agents.agent(address).post(&url).send_json(order) {
            Ok(response) => order_answer(response),
            Err(error) => OrderAnswer::Failed(verdict_of_error(&error)),
        }
    }

    /// Reads an engine's state with `GET /state`.
    pub(crate) fn read_state(&self, address: SocketAddr) -> Result<EngineState, Verdict> {
        self.read(address, "/state")
    }

    /// Reads a server's load with `GET /load`.
    pub(crate) fn read_load(&self, address: SocketAddr) -> Result<LoadReport, Verdict> {
        self.read(address, "/load")
    }

    fn read<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, Verdict> {
        let url = format!("http://{address}{path}");
        let called = self.agents.agent(address).get(&url).call();
        let mut response = called.map_err(|error| verdict_of_error(&error))?;
        if response.status() != StatusCode::OK {
            return Err(verdict_of_response(&response));
        }
        response.body_mut().read_json().map_err(|_| Verdict::Ran)
    }
}

fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(MAX_IDLE_CONNECTIONS_PER_AGENT)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_SERVER)
        .max_idle_age(MAX_IDLE_AGE)
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER_SIZE)
        .output_buffer_size(BUFFER_SIZE)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}

fn order_answer(mut response: Response<ureq::Body>) -> OrderAnswer {
    match response.status() {
        StatusCode::ACCEPTED => OrderAnswer::Accepted,
        StatusCode::CONFLICT => match response.body_mut().read_json() {
            Ok(fenced) => OrderAnswer::Fenced(fenced),
            Err(_) => OrderAnswer::Failed(Verdict::MayHaveRun),
        },
        _ => OrderAnswer::Failed(verdict_of_response(&response)),
    }
}

/// Classifies a response that is neither a success nor a fence conflict: the request counts as not
/// run only if the server says so in [`NOT_RUN_HEADER`].
fn verdict_of_response(response: &Response<ureq::Body>) -> Verdict {
    let not_run = response
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value.as_bytes() == b"true");
    if not_run {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    }
}

/// Classifies a failed call: only a connection that was never established rules out that the
/// request has run.
fn verdict_of_error(error: &ureq::Error) -> Verdict {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => Verdict::NotRun,
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Verdict::NotRun
        }
        _ => Verdict::MayHaveRun,
    }
}
