//! Small JSON questions to back ends: probes, scores, cancels, the machine list.

use crate::http::HeaderList;
use crate::upstream::agent::{Connections, UpstreamClient, UpstreamRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: u64 = 16 * 1024 * 1024;

/// Why a question has no answer.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The question cannot be encoded.
    #[snafu(display("cannot encode the question to {address}{target}: {source}"))]
    Encode {
        /// The server.
        address: SocketAddr,
        /// The path.
        target: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// No answer came, or not all of it.
    #[snafu(display("{address}{target}: {source}"))]
    Exchange {
        /// The server.
        address: SocketAddr,
        /// The path.
        target: String,
        /// The cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// Another status than 200.
    #[snafu(display("{address}{target} answered status {status}"))]
    Status {
        /// The server.
        address: SocketAddr,
        /// The path.
        target: String,
        /// The status.
        status: u16,
    },
    /// The answer is not what was asked for.
    #[snafu(display("the answer of {address}{target} makes no sense: {source}"))]
    Decode {
        /// The server.
        address: SocketAddr,
        /// The path.
        target: String,
        /// The cause.
        source: serde_json::Error,
    },
}

impl UpstreamClient {
    /// `GET target`, answered with JSON.
    ///
    /// # Errors
    /// When there is no such answer in time.
    pub fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        target: &str,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let body = self.exchange(address, "GET", target, &[], timeout)?;
        serde_json::from_slice(&body).context(DecodeSnafu { address, target })
    }

    /// `POST target` with a JSON body, answered with JSON.
    ///
    /// # Errors
    /// When there is no such answer in time.
    pub fn post_json<Q: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        target: &str,
        question: &Q,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let answer = self.post(address, target, question, timeout)?;
        serde_json::from_slice(&answer).context(DecodeSnafu { address, target })
    }

    /// `POST target` with a JSON body; answers the body as it is.
    ///
    /// # Errors
    /// When there is no answer of status 200 in time.
    pub fn post<Q: Serialize>(
        &self,
        address: SocketAddr,
        target: &str,
        question: &Q,
        timeout: Duration,
    ) -> Result<Vec<u8>, JsonError> {
        let body = serde_json::to_vec(question).context(EncodeSnafu { address, target })?;
        self.exchange(address, "POST", target, &body, timeout)
    }

    fn exchange(
        &self,
        address: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, JsonError> {
        let headers = HeaderList::new([("content-type", "application/json")]);
        let request = UpstreamRequest {
            address,
            method,
            target,
            headers: &headers,
            body,
            timeout,
            connections: Connections::Small,
        };
        let response = self
            .send(&request)
            .context(ExchangeSnafu { address, target })?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .into_with_config()
            .limit(MAX_ANSWER)
            .read_to_vec()
            .context(ExchangeSnafu { address, target })?;
        if status != 200 {
            return StatusSnafu {
                address,
                target,
                status,
            }
            .fail();
        }
        Ok(body)
    }
}
