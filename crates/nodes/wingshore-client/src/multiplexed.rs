//! One connection that many calls share: replies find their calls by request id.

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
pub(crate) enum Attempt {
    /// Answered.
    Reply(GroupReply),
    /// Not answered, and no byte of it left.
    NotSent {
        /// What failed.
        reason: String,
    },
    /// Not answered; it may have arrived.
    Unanswered {
        /// What failed.
        reason: String,
    },
    /// It can never be sent.
    Unsendable {
        /// What is wrong with it.
        reason: String,
    },
}

/// A connection shared by calls.
#[derive(Debug)]
pub(crate) struct MultiplexedConnection {
    connection: Connection,
    pending: Arc<PendingReplies>,
    next_request: AtomicU64,
}

/// Calls that wait for their replies.
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
    /// Connects and does the handshake.
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

    /// Whether it takes no more requests.
    pub(crate) fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Fails all calls that wait and takes no more.
    pub(crate) fn close(&self) {
        self.connection.close();
    }

    /// Sends a request frame under a fresh id and waits for its reply until `deadline`.
    pub(crate) fn request(&self, frame: &mut Frame, deadline: Instant) -> Attempt {
        match self.send(frame) {
            Ok(pending) => pending.wait(deadline),
            Err(failed) => failed,
        }
    }

    /// Sends a request frame under a fresh id.
    ///
    /// # Errors
    /// The end of the attempt, where the frame was not sent.
    pub(crate) fn send(&self, frame: &mut Frame) -> Result<PendingReply, Attempt> {
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        if let Frame::Request { id: field, .. } = frame {
            *field = id;
        }
        let (sender, receiver) = bounded(1);
        if !self.pending.register(id, sender) {
            let reason = "the connection was lost".to_owned();
            return Err(Attempt::NotSent { reason });
        }
        let pending = PendingReply {
            replies: Arc::clone(&self.pending),
            id,
            receiver,
        };
        match self.connection.send(frame) {
            Ok(()) => Ok(pending),
            Err(error) => Err(not_queued(&error)),
        }
    }
}

/// The reply of a request that was sent; dropping it forgets the request.
#[derive(Debug)]
pub(crate) struct PendingReply {
    replies: Arc<PendingReplies>,
    id: RequestId,
    receiver: Receiver<GroupReply>,
}

impl PendingReply {
    /// Waits until `deadline`.
    fn wait(&self, deadline: Instant) -> Attempt {
        match self.receiver.recv_deadline(deadline) {
            Ok(reply) => Attempt::Reply(reply),
            Err(RecvTimeoutError::Timeout) => Attempt::silent(),
            Err(RecvTimeoutError::Disconnected) => Attempt::lost(),
        }
    }

    /// Where the reply comes; disconnected once the connection is lost.
    pub(crate) fn receiver(&self) -> &Receiver<GroupReply> {
        &self.receiver
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.replies.forget(self.id);
    }
}

impl Attempt {
    /// No reply came in time.
    pub(crate) fn silent() -> Self {
        let reason = "no reply in time".to_owned();
        Self::Unanswered { reason }
    }

    /// The connection ended before the reply.
    pub(crate) fn lost() -> Self {
        let reason = "the connection was lost before the reply".to_owned();
        Self::Unanswered { reason }
    }
}

fn not_queued(error: &SendError) -> Attempt {
    let reason = error.to_string();
    match error {
        SendError::Encode { .. } => Attempt::Unsendable { reason },
        _ => Attempt::NotSent { reason },
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
        // A reply that nobody waits for is late or a duplicate.
        let waiting = self.lock().waiting.remove(&id);
        if let Some(sender) = waiting {
            // The call may have given up in this very moment.
            let _ = sender.send(body);
        }
    }

    fn on_closed(&self, _connection: &ConnectionHandle) {
        let mut state = self.lock();
        state.closed = true;
        state.waiting.clear();
    }
}
