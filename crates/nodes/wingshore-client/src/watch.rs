//! A configuration watch: a request whose answer may contain the complete configuration.
//!
//! A large answer takes long on a congested link, and is still valid when it arrives late. An
//! attempt that timed out therefore stays open while another replica is tried, and the first answer
//! to any attempt is accepted. A replica with an open attempt is not sent the watch again: every
//! repetition would send another complete configuration over a link that is too slow for the first
//! one.

use crate::call::{CallProgress, GroupClient, NextStep, request_frame};
use crate::error::{CallError, NoAnswerSnafu, WatchError};
use crate::multiplexed::{AttemptOutcome, PendingReply};
use crate::retry::attempt_timeout;
use crossbeam_channel::Select;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wingshore_clock::BootTime;
use wingshore_types::GroupId;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, WatchRequest,
};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};

/// Time that is divided into the attempts of a watch, in addition to the wait it requests.
const ATTEMPTS_MARGIN: Duration = Duration::from_millis(1500);

/// Time limit for an answer, in addition to the wait that the watch requests. The same limit as for
/// the recovery from a lost disk.
const ANSWER_MARGIN: Duration = Duration::from_secs(6);

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchAnswer {
    /// The changes to the configuration.
    pub update: ConfigurationUpdate,
    /// Duration of the lease in milliseconds, starting at `sent_at`.
    pub lease_ms: u64,
    /// Time immediately before the answered attempt was sent.
    pub sent_at: BootTime,
}

/// An attempt that was sent and may still be answered.
struct OpenAttempt {
    address: SocketAddr,
    sent_at: BootTime,
    reply: PendingReply,
}

/// The open attempts of one watch, at most one per address.
#[derive(Default)]
struct OpenAttempts(Vec<OpenAttempt>);

/// An attempt that ended, and its outcome.
struct EndedAttempt {
    address: SocketAddr,
    sent_at: BootTime,
    outcome: AttemptOutcome,
}

impl GroupClient {
    /// Sends a configuration watch to the leader of the control group, or to a relay, and waits for
    /// the answer.
    ///
    /// # Errors
    /// When no answer arrives in time, the watch is rejected, or the client is closed.
    pub fn watch(&self, request: WatchRequest) -> Result<WatchAnswer, WatchError> {
        let wait = Duration::from_millis(request.wait_ms);
        let body = GroupRequest::Control(ControlRequest::Watch(request));
        let longest_attempt = attempt_timeout(&body, wait + ATTEMPTS_MARGIN);
        let deadline = Instant::now() + wait + ANSWER_MARGIN;
        let (reply, sent_at) = self
            .first_answer(body, longest_attempt, deadline)
            .context(NoAnswerSnafu)?;
        to_watch_answer(reply, sent_at)
    }

    /// Returns the first reply to any attempt, and when that attempt was sent.
    fn first_answer(
        &self,
        body: GroupRequest,
        longest_attempt: Duration,
        deadline: Instant,
    ) -> Result<(GroupReply, BootTime), CallError> {
        let group = GroupId::Control;
        let mut frame = request_frame(group, body);
        let mut progress = CallProgress::default();
        let mut open = OpenAttempts::default();
        loop {
            let address = self.next_address(group, &mut progress, deadline)?;
            let attempt_deadline = deadline.min(Instant::now() + longest_attempt);
            let ended = self.send_and_wait(&mut open, address, &mut frame, attempt_deadline);
            let sent_at = ended.sent_at;
            match self.next_step(&mut progress, group, ended.address, ended.outcome) {
                NextStep::Return(reply) => return Ok((reply, sent_at)),
                NextStep::Fail(error) => return Err(error),
                NextStep::TryAnother => {}
                NextStep::BackOff => self.back_off(&mut progress, deadline),
            }
        }
    }

    /// Sends the watch to `address`, unless an attempt there is still open, and waits for any open
    /// attempt to end. If none ends by `deadline`, returns that `address` did not reply.
    fn send_and_wait(
        &self,
        open: &mut OpenAttempts,
        address: SocketAddr,
        frame: &mut Frame,
        deadline: Instant,
    ) -> EndedAttempt {
        let sent_at = BootTime::now();
        if !open.contains(address) {
            match self.send(address, frame, deadline) {
                Ok(reply) => open.0.push(OpenAttempt {
                    address,
                    sent_at,
                    reply,
                }),
                Err(outcome) => {
                    return EndedAttempt {
                        address,
                        sent_at,
                        outcome,
                    };
                }
            }
        }
        open.wait(deadline).unwrap_or_else(|| EndedAttempt {
            address,
            sent_at,
            outcome: AttemptOutcome::no_reply(),
        })
    }
}

impl OpenAttempts {
    fn contains(&self, address: SocketAddr) -> bool {
        self.0.iter().any(|attempt| attempt.address == address)
    }

    /// Waits until `deadline` for any attempt to end.
    fn wait(&mut self, deadline: Instant) -> Option<EndedAttempt> {
        let mut select = Select::new();
        for attempt in &self.0 {
            select.recv(attempt.reply.receiver());
        }
        let operation = select.select_deadline(deadline).ok()?;
        let index = operation.index();
        let received = operation.recv(self.0[index].reply.receiver());
        let attempt = self.0.swap_remove(index);
        Some(EndedAttempt {
            address: attempt.address,
            sent_at: attempt.sent_at,
            outcome: received
                .map_or_else(|_| AttemptOutcome::connection_lost(), AttemptOutcome::Reply),
        })
    }
}

fn to_watch_answer(reply: GroupReply, sent_at: BootTime) -> Result<WatchAnswer, WatchError> {
    match reply {
        GroupReply::Control(ControlReply::Update { update, lease_ms }) => Ok(WatchAnswer {
            update,
            lease_ms,
            sent_at,
        }),
        GroupReply::Rejected(reason) => Err(WatchError::Refused { reason }),
        other => Err(WatchError::UnexpectedAnswer {
            answer: format!("{other:?}"),
        }),
    }
}
