//! A connection shared by concurrent calls: replies are matched to calls by request id.

use crate::lock::lock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use wingshore_transport::{
    ConnectError, ConnectOptions, Connection, ConnectionHandle, FrameHandler, SendError,
};
use wingshore_types::RequestId;
use wingshore_types::protocol::wire::{Frame, GroupReply};

/// How one attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// A reply arrived.
    Reply(GroupReply),
    /// The request failed before any byte of it was sent.
    NotSent {
        /// What failed.
        reason: String,
    },
    /// No reply arrived; the request may have reached the replica.
    Unanswered {
        /// What failed.
        reason: String,
    },
    /// The request cannot be encoded, so a retry is useless.
    Unsendable {
        /// Why the request cannot be encoded.
        reason: String,
    },
}

/// A connection shared by concurrent calls.
#[derive(Debug)]
pub(crate) struct MultiplexedConnection {
    connection: Connection,
    pending: Arc<PendingReplies>,
    next_request: AtomicU64,
}

/// Calls that are waiting for a reply.
#[derive(Debug, Default)]
struct PendingReplies {
    state: Mutex<PendingState>,
}

#[derive(Debug, Default)]
struct PendingState {
    closed: bool,
    waiting: HashMap<RequestId, Sender<GroupReply>>,
}

impl MultiplexedConnection {
    /// Connects and performs the handshake.
    pub(crate) fn open(
        address: SocketAddr,
        options: &ConnectOptions,
    ) -> Result<Self, ConnectError> {
        let pending = Arc::new(PendingReplies::default());
        let handler: Arc<dyn FrameHandler> = Arc::clone(&pending) as Arc<dyn FrameHandler>;
        let connection = Connection::open(address, options, handler)?;
        Ok(Self {
            connection,
            pending,
            next_request: AtomicU64::new(1),
        })
    }

    /// Returns whether the connection accepts no more requests.
    pub(crate) fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Fails all pending calls and accepts no more.
    pub(crate) fn close(&self) {
        self.connection.close();
    }

    /// Sends a request frame with a new id and waits for its reply until `deadline`.
    pub(crate) fn request(&self, frame: &mut Frame, deadline: Instant) -> AttemptOutcome {
        match self.send(frame) {
            Ok(pending) => pending.wait(deadline),
            Err(failed) => failed,
        }
    }

    /// Sends a request frame with a new id.
    ///
    /// # Errors
    /// The outcome of the attempt, if the frame was not sent.
    pub(crate) fn send(&self, frame: &mut Frame) -> Result<PendingReply, AttemptOutcome> {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        if let Frame::Request { id: field, .. } = frame {
            *field = id;
        }
        let (sender, receiver) = bounded(1);
        if !self.pending.register(id, sender) {
            let reason = "the connection was lost".to_owned();
            return Err(AttemptOutcome::NotSent { reason });
        }
        let pending = PendingReply {
            replies: Arc::clone(&self.pending),
            id,
            receiver,
        };
        match self.connection.send(frame) {
            Ok(()) => Ok(pending),
            Err(error) => Err(send_failure(&error)),
        }
    }
}

/// The pending reply to a request that was sent. Dropping it discards a later reply.
#[derive(Debug)]
pub(crate) struct PendingReply {
    replies: Arc<PendingReplies>,
    id: RequestId,
    receiver: Receiver<GroupReply>,
}

impl PendingReply {
    /// Waits for the reply until `deadline`.
    fn wait(&self, deadline: Instant) -> AttemptOutcome {
        match self.receiver.recv_deadline(deadline) {
            Ok(reply) => AttemptOutcome::Reply(reply),
            Err(RecvTimeoutError::Timeout) => AttemptOutcome::no_reply(),
            Err(RecvTimeoutError::Disconnected) => AttemptOutcome::connection_lost(),
        }
    }

    /// Returns the channel that receives the reply; it disconnects once the connection is lost.
    pub(crate) fn receiver(&self) -> &Receiver<GroupReply> {
        &self.receiver
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.replies.forget(self.id);
    }
}

impl AttemptOutcome {
    /// Outcome of an attempt without a reply in time.
    pub(crate) fn no_reply() -> Self {
        let reason = "no reply in time".to_owned();
        Self::Unanswered { reason }
    }

    /// Outcome of an attempt whose connection was lost before the reply.
    pub(crate) fn connection_lost() -> Self {
        let reason = "the connection was lost before the reply".to_owned();
        Self::Unanswered { reason }
    }
}

fn send_failure(error: &SendError) -> AttemptOutcome {
    let reason = error.to_string();
    match error {
        SendError::Encode { .. } => AttemptOutcome::Unsendable { reason },
        _ => AttemptOutcome::NotSent { reason },
    }
}

impl PendingReplies {
    fn register(&self, id: RequestId, sender: Sender<GroupReply>) -> bool {
        let mut state = self.lock();
        if !state.closed {
            state.waiting.insert(id, sender);
        }
        !state.closed
    }

    fn forget(&self, id: RequestId) {
        self.lock().waiting.remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, PendingState> {
        lock(&self.state)
    }
}

impl FrameHandler for PendingReplies {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        let Frame::Reply { id, body } = frame else {
            connection.close();
            return;
        };
        // A reply without a pending call is late or a duplicate.
        let waiting = self.lock().waiting.remove(&id);
        if let Some(sender) = waiting {
            // Fails if the call has just timed out.
            let _ = sender.send(body);
        }
    }

    fn on_closed(&self, _connection: &ConnectionHandle) {
        let mut state = self.lock();
        state.closed = true;
        state.waiting.clear();
    }
}
