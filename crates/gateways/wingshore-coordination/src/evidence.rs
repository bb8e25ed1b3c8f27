//! What failed attempts say of requests: under which of them servers ended.

use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use serde::{Deserialize, Serialize};

/// A server has ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The incarnation of the server.
    pub instance: InstanceId,
}

/// A request under which servers have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The incarnations of servers that ended under it, the oldest first.
    pub ended: Vec<InstanceId>,
    /// Whether no other server is to run it.
    pub rejected: bool,
}
