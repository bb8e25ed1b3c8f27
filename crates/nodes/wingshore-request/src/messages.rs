//! What an execution of a request reacts to, and what it wants done.

use crate::answer::FinalAnswer;
use crate::attempt::AttemptEnd;
use std::net::SocketAddr;
use wingshore_types::protocol::claims::{ClaimsReply, ClaimsRequest};
use wingshore_types::{GroupId, Instant, ServerId, Verdict};

/// What an execution reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionInput {
    /// Begin.
    Begin,
    /// The claims group answered.
    ClaimAnswered(ClaimsReply),
    /// The claims group did not answer; the verdict says whether the claim may stand.
    ClaimFailed(Verdict),
    /// An attempt ended.
    AttemptEnded {
        /// Its number.
        attempt: u32,
        /// How.
        end: AttemptEnd,
    },
    /// The time asked for by [`ExecutionOutput::WaitUntil`], or any other, has come.
    Tick,
    /// The caller has gone: nobody wants the answer any more.
    CallerGone,
}

/// An attempt to be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendAttempt {
    /// Its number, from 1.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Give up then.
    pub deadline: Instant,
    /// Whether a connection of its own is wanted: on a reused one, a close by the server can
    /// cross the request, which then may have run.
    pub fresh_connection: bool,
}

/// What an execution wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutput {
    /// Ask a claims group and report its answer.
    Claim {
        /// The group.
        group: GroupId,
        /// The claim.
        request: ClaimsRequest,
    },
    /// Make an attempt and report its end.
    Send(SendAttempt),
    /// Send a tick at this time.
    WaitUntil(Instant),
    /// Tell a claims group how the claim ended; again until it has answered. Nothing waits.
    Settle {
        /// The group.
        group: GroupId,
        /// The settlement.
        request: ClaimsRequest,
    },
    /// Stop an attempt; its end is no longer wanted.
    Cancel {
        /// Its number.
        attempt: u32,
    },
    /// Give the caller its answer. The execution is over.
    Answer(FinalAnswer),
}
