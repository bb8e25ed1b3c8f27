//! Inputs and outputs of the state machine of a request.

use crate::answer::FinalAnswer;
use crate::attempt::AttemptEnd;
use std::net::SocketAddr;
use wingshore_types::protocol::claims::{ClaimsReply, ClaimsRequest};
use wingshore_types::{GroupId, Instant, ServerId, Verdict};

/// An input of a request execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionInput {
    /// Starts the execution.
    Begin,
    /// The claims group answered.
    ClaimAnswered(ClaimsReply),
    /// The claims group did not answer; the verdict says whether the claim may have been recorded.
    ClaimFailed(Verdict),
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// Time has passed. Required at the time given by [`ExecutionOutput::WaitUntil`]; additional
    /// ticks are harmless.
    Tick,
    /// The caller disconnected; the answer is no longer needed.
    CallerDisconnected,
}

/// An attempt to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// The server to send the request to.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Time at which the attempt times out.
    pub deadline: Instant,
    /// Whether a new connection is required: on a reused one, the server may close the connection
    /// while the request is being sent, and the request then may have run.
    pub fresh_connection: bool,
}

/// An action that a request execution asks its driver to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutput {
    /// Sends a claim to a claims group. Answered by [`ExecutionInput::ClaimAnswered`] or
    /// [`ExecutionInput::ClaimFailed`].
    Claim {
        /// The claims group.
        group: GroupId,
        /// The claim request.
        request: ClaimsRequest,
    },
    /// Starts an attempt. Answered by [`ExecutionInput::AttemptEnded`].
    Send(SendAttempt),
    /// Requests an [`ExecutionInput::Tick`] at this time.
    WaitUntil(Instant),
    /// Settles a claim. The driver retries until the claims group answers; the execution does not
    /// wait for the answer.
    Settle {
        /// The claims group.
        group: GroupId,
        /// The settlement request.
        request: ClaimsRequest,
    },
    /// Cancels an attempt; its end need not be reported.
    Cancel {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Sends the final answer to the caller and ends the execution.
    Answer(FinalAnswer),
}
