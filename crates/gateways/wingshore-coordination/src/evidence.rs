//! Evidence from failed attempts: which requests were running when servers crashed.

use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// A server crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Incarnation of the server.
    pub instance: InstanceId,
}

/// A request suspected of crashing the servers that run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Incarnations of servers that crashed while they ran the request, oldest first.
    pub ended: Vec<InstanceId>,
    /// Whether the request is rejected, so that no other server runs it.
    pub rejected: bool,
}
