//! The requests of live callers that are measured.

use crate::http_client::HttpClient;
use crate::measure::error::{AnswerSnafu, MeasureError};
use crate::measure::quiet_site::Addresses;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Keys differ between all requests of a process.
static NEXT_KEY: AtomicU64 = AtomicU64::new(1);
/// Body of a charge.
const CHARGE: &[u8] = br#"{"card":"0815","amount_cents":325,"line":"blue"}"#;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveRequest {
    /// A look-up, which may be repeated.
    Lookup,
    /// A charge, not to be repeated: it gets a connection of its own.
    Charge,
    /// A charge with an idempotency key, which is claimed before.
    KeyedCharge,
}

impl LiveRequest {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Lookup, Self::Charge, Self::KeyedCharge];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lookup => "look-up",
            Self::Charge => "charge",
            Self::KeyedCharge => "charge with a key",
        }
    }

    /// Sends it through a node.
    ///
    /// # Errors
    /// When it is not answered with success.
    pub fn send_to_node(
        self,
        client: &HttpClient,
        addresses: &Addresses,
    ) -> Result<(), MeasureError> {
        let service = &addresses.live_service;
        self.send(client, &format!("http://{}/{service}", addresses.node))
    }

    /// Sends it to a live server.
    ///
    /// # Errors
    /// When it is not answered with success.
    pub fn send_directly(
        self,
        client: &HttpClient,
        server: SocketAddr,
    ) -> Result<(), MeasureError> {
        self.send(client, &format!("http://{server}"))
    }

    fn send(self, client: &HttpClient, base: &str) -> Result<(), MeasureError> {
        let number = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
        let key = format!("measure-{}-{number}", std::process::id());
        let answer = match self {
            Self::Lookup => client.get(&format!("{base}/cards/0815"), &[])?,
            Self::Charge => {
                let headers = [("x-wingshore-no-repeat", "true")];
                client.post(&format!("{base}/charges"), &headers, CHARGE)?
            }
            Self::KeyedCharge => {
                let headers = [("idempotency-key", key.as_str())];
                client.post(&format!("{base}/charges"), &headers, CHARGE)?
            }
        };
        if answer.is_success() {
            return Ok(());
        }
        AnswerSnafu {
            what: self.name(),
            status: answer.status,
            body: String::from_utf8_lossy(&answer.body),
        }
        .fail()
    }
}
