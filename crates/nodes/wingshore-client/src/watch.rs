//! One watch for configuration: the request whose answer may be as long as the whole configuration.
//!
//! A long answer takes its time on a busy link, and is as true when it is late. So an attempt whose time is
//! over stays open while another replica is asked, the first answer of any attempt counts, and a replica
//! that still has the watch is not sent it again: each more would put another whole configuration on the
//! link that is too slow for the first.

use crate::call::{GroupClient, Next, Progress, request_frame};
use crate::error::{CallError, NoAnswerSnafu, WatchError};
use crate::multiplexed::{Attempt, PendingReply};
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

/// Time that is divided into the attempts of a watch, beyond what it asks the other side to wait.
const ATTEMPTS_MARGIN: Duration = Duration::from_millis(1500);

/// Time for an answer, beyond what the watch asks the other side to wait: what a lost disk may take to be
/// whole again holds for a configuration too.
const ANSWER_MARGIN: Duration = Duration::from_secs(6);

/// The answer to a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchAnswer {
    /// What is new.
    pub update: ConfigurationUpdate,
    /// The lease in milliseconds, from `sent_at` on.
    pub lease_ms: u64,
    /// Before the attempt that was answered was sent.
    pub sent_at: BootTime,
}

/// An attempt that was sent and whose answer may still come.
struct OpenAttempt {
    address: SocketAddr,
    sent_at: BootTime,
    reply: PendingReply,
}

/// The open attempts of one watch, at most one for each address.
#[derive(Default)]
struct OpenAttempts(Vec<OpenAttempt>);

/// An open attempt has ended.
struct EndedAttempt {
    address: SocketAddr,
    sent_at: BootTime,
    outcome: Attempt,
}

impl GroupClient {
    /// Watches for configuration at the leader of the control group, or at a relay.
    ///
    /// # Errors
    /// When there is no answer in time, it is refused, or the client is closed.
    pub fn watch(&self, request: WatchRequest) -> Result<WatchAnswer, WatchError> {
        let wait = Duration::from_millis(request.wait_ms);
        let body = GroupRequest::Control(ControlRequest::Watch(request));
        let longest_attempt = attempt_timeout(&body, wait + ATTEMPTS_MARGIN);
        let deadline = Instant::now() + wait + ANSWER_MARGIN;
        let (reply, sent_at) = self
            .first_answer(body, longest_attempt, deadline)
            .context(NoAnswerSnafu)?;
        answer_of(reply, sent_at)
    }

    /// The first answer to any attempt, and when that one was sent.
    fn first_answer(
        &self,
        body: GroupRequest,
        longest_attempt: Duration,
        deadline: Instant,
    ) -> Result<(GroupReply, BootTime), CallError> {
        let group = GroupId::Control;
        let mut frame = request_frame(group, body);
        let mut progress = Progress::default();
        let mut open = OpenAttempts::default();
        loop {
            let address = self.next_address(group, &mut progress, deadline)?;
            let attempt_deadline = deadline.min(Instant::now() + longest_attempt);
            let ended = self.ask_and_wait(&mut open, address, &mut frame, attempt_deadline);
            let sent_at = ended.sent_at;
            match self.judge(&mut progress, group, ended.address, ended.outcome) {
                Next::Return(reply) => return Ok((reply, sent_at)),
                Next::Fail(error) => return Err(error),
                Next::TryAnother => {}
                Next::BackOff => self.back_off(&mut progress, deadline),
            }
        }
    }

    /// Asks `address`, unless it still has the watch, and waits for the end of any open attempt; without
    /// one by `deadline`, `address` was silent.
    fn ask_and_wait(
        &self,
        open: &mut OpenAttempts,
        address: SocketAddr,
        frame: &mut Frame,
        deadline: Instant,
    ) -> EndedAttempt {
        let sent_at = BootTime::now();
        if !open.has(address) {
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
            outcome: Attempt::silent(),
        })
    }
}

impl OpenAttempts {
    fn has(&self, address: SocketAddr) -> bool {
        self.0.iter().any(|attempt| attempt.address == address)
    }

    /// Waits until `deadline` for the end of any attempt.
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
            outcome: received.map_or_else(|_| Attempt::lost(), Attempt::Reply),
        })
    }
}

fn answer_of(reply: GroupReply, sent_at: BootTime) -> Result<WatchAnswer, WatchError> {
    match reply {
        GroupReply::Control(ControlReply::Update { update, lease_ms }) => Ok(WatchAnswer {
            update,
            lease_ms,
            sent_at,
        }),
        GroupReply::Rejected(reason) => Err(WatchError::Refused { reason }),
        other => Err(WatchError::OfAnotherKind {
            answer: format!("{other:?}"),
        }),
    }
}
