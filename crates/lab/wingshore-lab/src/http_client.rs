//! HTTP client of the lab: one agent with a time limit, errors told apart from answers.

use snafu::{ResultExt, Snafu};
use std::time::Duration;

/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 256 * 1024 * 1024;

/// Why there is no whole answer.
#[derive(Debug, Snafu)]
#[snafu(display("{method} {url}: {source}"))]
pub struct HttpError {
    method: &'static str,
    url: String,
    source: Box<ureq::Error>,
}

impl HttpError {
    /// Whether nobody listened: then the request has certainly not run.
    pub fn is_connection_refused(&self) -> bool {
        is_connection_refused(&self.source)
    }
}

/// Whether nobody listened.
pub fn is_connection_refused(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Seconds of `Retry-After`, when given.
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

#[derive(Clone)]
pub struct HttpClient {
    agent: ureq::Agent,
}

impl HttpClient {
    /// A client that gives each request at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        let configuration = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .build();
        Self {
            agent: configuration.into(),
        }
    }

    /// The agent itself, for streams.
    pub fn agent(&self) -> &ureq::Agent {
        &self.agent
    }

    pub fn get(&self, url: &str, headers: &[(&str, &str)]) -> Result<Answer, HttpError> {
        let mut request = self.agent.get(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        whole("GET", url, request.call())
    }

    /// `POST` with a JSON body.
    pub fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer, HttpError> {
        let request = self.agent.post(url);
        let mut request = request.header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        whole("POST", url, request.send(body))
    }

    /// `PUT` of bytes.
    pub fn put(&self, url: &str, body: &[u8]) -> Result<Answer, HttpError> {
        whole("PUT", url, self.agent.put(url).send(body))
    }
}

/// Reads an answer to its end.
fn whole(
    method: &'static str,
    url: &str,
    sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Answer, HttpError> {
    sent.and_then(read)
        .map_err(Box::new)
        .context(HttpSnafu { method, url })
}

fn read(response: ureq::http::Response<ureq::Body>) -> Result<Answer, ureq::Error> {
    let status = response.status().as_u16();
    let retry_after = response
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse::<f64>().ok())
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)
        .map(Duration::from_secs_f64);
    let body = response.into_body();
    let body = body.into_with_config().limit(MAX_ANSWER_BYTES);
    Ok(Answer {
        status,
        retry_after,
        body: body.read_to_vec()?,
    })
}
