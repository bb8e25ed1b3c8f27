//! Trials of suspect requests: single runs that the leader permits, one at a time for each request.
//! Part of messages since [`TRIALS_FORMAT`](super::TRIALS_FORMAT).

use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A gateway asks to run a suspect request at a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// Identifier chosen by the gateway, returned with the answer.
    pub id: u64,
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// The server that is to run it.
    pub instance: InstanceId,
    /// Time after which the run has ended, whatever its result.
    pub time_limit: Duration,
}

/// The leader's answer to a [`TrialRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialAnswer {
    /// The gateway may run the request once, at the server that it named.
    Granted,
    /// The request is not suspect any more: it may run without a permit.
    NotNeeded,
    /// The request must not run now.
    Refused,
}

/// How a trial ended, as far as the gateway saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialEnd {
    /// The server ran the request and survived it.
    Survived,
    /// The request did not run.
    NotRun,
    /// The connection to the server ended without an answer, or there was none in time.
    Unknown,
}

/// A trial that was granted and has not ended yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenTrial {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// The server that runs it.
    pub instance: InstanceId,
    /// Time after which the run has ended, whatever its result.
    pub time_left: Duration,
}
