//! Small JSON requests to back ends: probes, scores, cancellations, the machine list.

use crate::http::HeaderList;
use crate::upstream::agent::{Connections, UpstreamClient, UpstreamRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Errors of a JSON request.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The request cannot be encoded.
    #[snafu(display("cannot encode the request to {address}{target}: {source}"))]
    Encode {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the request.
        target: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// No complete answer arrived.
    #[snafu(display("{address}{target}: {source}"))]
    Exchange {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the request.
        target: String,
        /// The cause.
        #[snafu(source(from(ureq::Error, Box::new)))]
        source: Box<ureq::Error>,
    },
    /// The answer has a status other than 200.
    #[snafu(display("{address}{target} answered status {status}"))]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the request.
        target: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer cannot be decoded.
    #[snafu(display("cannot decode the answer of {address}{target}: {source}"))]
    Decode {
        /// Address of the server.
        address: SocketAddr,
        /// Path of the request.
        target: String,
        /// The cause.
        source: serde_json::Error,
    },
}

impl UpstreamClient {
    /// Sends `GET target` and decodes the JSON answer.
    ///
    /// # Errors
    /// Fails when no decodable answer of status 200 arrives within the timeout.
    pub fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        target: &str,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let body = self.exchange(address, "GET", target, &[], timeout)?;
        serde_json::from_slice(&body).context(DecodeSnafu { address, target })
    }

    /// Sends `POST target` with a JSON body and decodes the JSON answer.
    ///
    /// # Errors
    /// Fails when no decodable answer of status 200 arrives within the timeout.
    pub fn post_json<Q: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        target: &str,
        payload: &Q,
        timeout: Duration,
    ) -> Result<T, JsonError> {
        let answer = self.post(address, target, payload, timeout)?;
        serde_json::from_slice(&answer).context(DecodeSnafu { address, target })
    }

    /// Sends `POST target` with a JSON body and returns the undecoded body of the answer.
    ///
    /// # Errors
    /// Fails when no answer of status 200 arrives within the timeout.
    pub fn post<Q: Serialize>(
        &self,
        address: SocketAddr,
        target: &str,
        payload: &Q,
        timeout: Duration,
    ) -> Result<Vec<u8>, JsonError> {
        let body = serde_json::to_vec(payload).context(EncodeSnafu { address, target })?;
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
            .limit(MAX_ANSWER_BYTES)
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
