//! Checks that every caller's request passes first: framing, headers, admission and body.

use crate::http::{BodyError, Caller, CallerHeaders, EdgeError};
use crate::state::NodeState;
use fnv::FnvHasher;
use slog::warn;
use std::hash::Hasher;
use std::time::Duration;
use wingshore_request::{ClaimIntent, claims_group};
use wingshore_types::ServiceId;
use wingshore_types::protocol::claims::ClaimKey;

/// Retry-after of a node whose memory for bodies is in use.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);

/// A request with a complete body and valid headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Wingshore's own headers.
    pub headers: CallerHeaders,
    /// Body.
    pub body: Vec<u8>,
}

/// Validates and reads a request.
///
/// # Errors
/// Names what is wrong with the request. Nothing of it was forwarded.
pub fn read_request(node: &NodeState, caller: &mut Caller) -> Result<ReceivedRequest, EdgeError> {
    let length = match caller.length() {
        Ok(length) => *length,
        Err(error) => return Err(EdgeError::not_run(400, "bad_length", error)),
    };
    let headers = CallerHeaders::parse(caller.headers())
        .map_err(|error| EdgeError::not_run(400, "invalid_header", error))?;
    node.may_admit()?;
    let body = caller.read_body(length, node.settings.http.max_request_body);
    let body = body.map_err(|error| {
        if error == BodyError::NoRoom {
            warn!(node.diagnostics.logger(), "request refused, no memory for its body";
                "method" => caller.method(), "allowed_bytes" => node.settings.http.body_memory);
        }
        body_error(&error)
    })?;
    Ok(ReceivedRequest { headers, body })
}

impl ReceivedRequest {
    /// Returns the claim for the caller's idempotency key, or `None` if the request has no key.
    pub fn claim(
        &self,
        node: &NodeState,
        service: &ServiceId,
        method: &str,
        target: &str,
    ) -> Option<ClaimIntent> {
        let key = ClaimKey {
            service: service.as_str().to_owned(),
            key: self.headers.idempotency_key.clone()?,
        };
        Some(ClaimIntent {
            group: claims_group(&key, node.settings.claims_groups),
            fingerprint: fingerprint(method, target, &self.body),
            key,
            claimant: node.next_claimant(),
        })
    }

    /// Returns the caller's deadline, or `default` if it set none.
    pub fn deadline(&self, default: Duration) -> Duration {
        self.headers.deadline.unwrap_or(default)
    }
}

fn body_error(error: &BodyError) -> EdgeError {
    match error {
        BodyError::Chunked => EdgeError::not_run(411, "length_required", error),
        BodyError::TooLarge { .. } => EdgeError::not_run(413, "body_too_large", error),
        BodyError::Short { .. } => EdgeError::not_run(400, "body_cut", error),
        BodyError::NoRoom => {
            EdgeError::not_run(503, "no_memory", error).retry_after(RETRY_AFTER_NO_MEMORY)
        }
    }
}

/// Returns the FNV-1a hash of method, target and body. Every node computes the same value.
fn fingerprint(method: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    for part in [method.as_bytes(), &[0], target.as_bytes(), &[0], body] {
        hasher.write(part);
    }
    hasher.finish()
}
