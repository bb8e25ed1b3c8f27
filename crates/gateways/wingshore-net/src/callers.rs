//! Decision: which callers are shed when all of them use too much?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The [`CallerBounds`] of the process, what its [`Account`] counts, and what each
//! connection of a caller does, with the bytes that it holds and since when it makes no progress.
//!
//! **Rule.** Large bodies (what they have beyond their first [`SMALL_BODY_BYTES`]) may use
//! seven eighths of the memory, so that small requests always have some. While they use more, the
//! incomplete large body that has made no progress for longest is refused. While callers use more
//! memory than they may, incomplete large bodies are refused, and after them those that hold an
//! answer that is not read, bytes behind a request that waits, or another incomplete request are
//! closed or refused; each time the one that has made no progress for longest. While there are too
//! many connections, these are closed: incomplete requests, connections that never had a request,
//! those that had one, and answers that are not read. Nobody is closed who waits for an answer and
//! holds nothing else. A complete request that does not fit is refused before it is passed on.
//!
//! **Why.** Whatever callers send, the process stays within its memory, and what was passed on is not
//! lost. Progress, not age, separates a slow legal body from one that has stopped: of many that do
//! not fit together, some always get to their end. Ordinary callers send small requests in one
//! piece, and are the last to be reached.
//!
//! **Stale or missing inputs.** The account is brought up to date after each turn of the loop; within
//! a turn callers may use [`MAX_CALLER_BYTES_PER_POLL`] more.

use crate::account::{Account, Part, SMALL_BODY_BYTES};
use crate::id::ConnectionId;
use crate::reactor::MAX_CALLER_BYTES_PER_POLL;
use std::collections::HashSet;
use wingshore_types::Instant;

/// Part of the memory that large bodies may use, in eighths.
const LARGE_BODY_EIGHTHS: usize = 7;
/// Memory in bytes that callers may use at least, however small the limit of the process is.
const MIN_MEMORY_BYTES: usize = 8 << 20;
/// Part of the connections that callers may have, in quarters; the rest is for the site's own ones.
const CONNECTION_QUARTERS: usize = 3;

/// What the callers of a process may use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Memory in bytes.
    pub memory: usize,
    /// Largest body of one request, in bytes.
    pub largest_body: usize,
    /// Number of connections.
    pub connections: usize,
}

impl CallerBounds {
    /// Creates the bounds of a process whose callers may use `memory` bytes, and which may have
    /// `connections` connections of all kinds. A body may be as large as fits.
    pub fn new(memory: usize, connections: usize) -> Self {
        let memory = memory.max(MIN_MEMORY_BYTES);
        Self {
            memory,
            largest_body: Self::largest_body_within(memory),
            connections: connections * CONNECTION_QUARTERS / 4,
        }
    }

    /// Returns the length in bytes of the largest body that fits into `memory` bytes.
    pub fn largest_body_within(memory: usize) -> usize {
        memory / 8 * LARGE_BODY_EIGHTHS
    }

    /// Returns how many bytes large bodies may use together.
    fn large_bodies(&self) -> usize {
        Self::largest_body_within(self.memory)
    }

    /// Returns whether a complete request may be passed on that has a body of `body` bytes, which is in
    /// the account.
    pub fn admits(&self, account: &Account, body: usize) -> bool {
        let is_small = body <= SMALL_BODY_BYTES;
        // What one turn adds to the account is shed at its end.
        let most = self.memory
            + if is_small {
                MAX_CALLER_BYTES_PER_POLL
            } else {
                0
            };
        account.total() <= most
            && (is_small || account.used(Part::LargeBodies) <= self.large_bodies())
    }

    /// Returns whether a body of `body` bytes may fit once all incomplete ones are gone, which hold
    /// `incomplete` bytes as large bodies.
    pub fn may_fit(&self, account: &Account, incomplete: usize, body: usize) -> bool {
        let passed_on = account.used(Part::LargeBodies).saturating_sub(incomplete);
        body <= SMALL_BODY_BYTES || passed_on + (body - SMALL_BODY_BYTES) <= self.large_bodies()
    }

    /// Returns by how much callers exceed these bounds with `connections` connections.
    fn excess(&self, account: &Account, connections: usize) -> Excess {
        let large = account.used(Part::LargeBodies);
        Excess {
            memory: account.total().saturating_sub(self.memory),
            large_bodies: large.saturating_sub(self.large_bodies()),
            connections: connections.saturating_sub(self.connections),
        }
    }

    /// Returns whether callers stay within these bounds with `connections` connections.
    pub fn hold(&self, account: &Account, connections: usize) -> bool {
        self.excess(account, connections) == Excess::default()
    }
}

/// By how much callers exceed their bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Excess {
    /// Memory in bytes.
    memory: usize,
    /// Memory of large bodies in bytes.
    large_bodies: usize,
    /// Number of connections.
    connections: usize,
}

/// What the connection of a caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun.
    Idle {
        /// Whether an earlier request was answered.
        was_served: bool,
    },
    /// A request has begun and is incomplete.
    Receiving,
    /// A request is complete and not answered yet.
    Waiting,
}

/// The connection of a caller, as far as the decision needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerState {
    /// The connection.
    pub connection: ConnectionId,
    /// What it does.
    pub stage: Stage,
    /// Bytes of its incomplete body.
    pub body: usize,
    /// Bytes that were received and not parsed.
    pub input: usize,
    /// Bytes that are queued for it.
    pub unsent: usize,
    /// When bytes last arrived, or an answer was given.
    pub received_at: Instant,
    /// When its socket last took bytes, or had none to take.
    pub sent_at: Instant,
}

impl CallerState {
    fn held(&self) -> usize {
        self.body + self.input + self.unsent
    }

    fn held_as_large_body(&self) -> usize {
        self.body.saturating_sub(SMALL_BODY_BYTES)
    }

    /// Returns why the connection would be closed for memory, and since when it makes no progress.
    fn cause_for_memory(&self) -> Option<(Cause, Instant)> {
        if self.held_as_large_body() > 0 && self.stage == Stage::Receiving {
            Some((Cause::LargeBody, self.received_at))
        } else if self.unsent > 0 {
            Some((Cause::UnreadAnswer, self.sent_at))
        } else if self.stage == Stage::Waiting && self.input > 0 {
            Some((Cause::BytesBehindRequest, self.received_at))
        } else if self.stage == Stage::Receiving {
            Some((Cause::IncompleteRequest, self.received_at))
        } else {
            None
        }
    }

    /// Returns the same for connections; the number orders the causes.
    fn cause_for_connections(&self) -> Option<(u8, Cause, Instant)> {
        match self.stage {
            Stage::Receiving => Some((0, Cause::IncompleteRequest, self.received_at)),
            Stage::Idle { .. } if self.unsent > 0 => Some((3, Cause::UnreadAnswer, self.sent_at)),
            Stage::Idle { was_served } => {
                let order = if was_served { 2 } else { 1 };
                Some((order, Cause::IdleConnection, self.received_at))
            }
            Stage::Waiting => None,
        }
    }
}

/// Why a caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An incomplete large body.
    LargeBody,
    /// An answer that is not read.
    UnreadAnswer,
    /// Bytes behind a request that waits for its answer.
    BytesBehindRequest,
    /// An incomplete request.
    IncompleteRequest,
    /// A connection without a request.
    IdleConnection,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::LargeBody,
        Self::UnreadAnswer,
        Self::BytesBehindRequest,
        Self::IncompleteRequest,
        Self::IdleConnection,
    ];

    /// Returns the name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LargeBody => "large_body",
            Self::UnreadAnswer => "unread_answer",
            Self::BytesBehindRequest => "bytes_behind_request",
            Self::IncompleteRequest => "incomplete_request",
            Self::IdleConnection => "idle_connection",
        }
    }

    /// Returns whether the caller waits for the answer to a request that was not read to its end, so
    /// that it can be told that the request did not run.
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::LargeBody | Self::IncompleteRequest)
    }
}

/// Returns the connections to close, in order, so that callers stay within their bounds.
pub fn connections_to_close(
    bounds: &CallerBounds,
    account: &Account,
    callers: &[CallerState],
    connections: usize,
) -> Vec<(ConnectionId, Cause)> {
    let mut excess = bounds.excess(account, connections);
    let mut closed = close_for_memory(&mut excess, callers);
    excess.connections = excess.connections.saturating_sub(closed.len());
    close_for_connections(&excess, callers, &mut closed);
    closed
}

fn close_for_memory(excess: &mut Excess, callers: &[CallerState]) -> Vec<(ConnectionId, Cause)> {
    let mut closed = Vec::new();
    if excess.memory == 0 && excess.large_bodies == 0 {
        return closed;
    }
    let candidates = callers.iter().filter_map(|caller| {
        let (cause, since) = caller.cause_for_memory()?;
        Some((cause, since, caller))
    });
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_by_key(|(cause, since, _)| (*cause != Cause::LargeBody, *since));
    for (cause, _, caller) in candidates {
        let is_needed = excess.memory > 0 || (excess.large_bodies > 0 && cause == Cause::LargeBody);
        if !is_needed {
            continue;
        }
        excess.memory = excess.memory.saturating_sub(caller.held());
        let large = caller.held_as_large_body();
        excess.large_bodies = excess.large_bodies.saturating_sub(large);
        closed.push((caller.connection, cause));
    }
    closed
}

fn close_for_connections(
    excess: &Excess,
    callers: &[CallerState],
    closed: &mut Vec<(ConnectionId, Cause)>,
) {
    if excess.connections == 0 {
        return;
    }
    let gone: HashSet<ConnectionId> = closed.iter().map(|(connection, _)| *connection).collect();
    let open = callers
        .iter()
        .filter(|caller| !gone.contains(&caller.connection));
    let candidates = open.filter_map(|caller| {
        let (order, cause, since) = caller.cause_for_connections()?;
        Some((order, since, caller.connection, cause))
    });
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_by_key(|(order, since, ..)| (*order, *since));
    let surplus = candidates.into_iter().take(excess.connections);
    closed.extend(surplus.map(|(_, _, connection, cause)| (connection, cause)));
}
