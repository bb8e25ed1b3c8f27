//! One connection that many calls share: replies find their calls by request id.

use crate::lock::lock;
use crossbeam_channel::{RecvTimeoutError, Sender, bounded};
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
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        if let Frame::Request { id: field, .. } = frame {
            *field = id;
        }
        let (sender, receiver) = bounded(1);
        if !self.pending.register(id, sender) {
            let reason = "the connection was lost".to_owned();
            return Attempt::NotSent { reason };
        }
        if let Err(error) = self.connection.send(frame) {
            self.pending.forget(id);
            return not_queued(&error);
        }
        let outcome = receiver.recv_deadline(deadline);
        self.pending.forget(id);
        let reason = match outcome {
            Ok(reply) => return Attempt::Reply(reply),
            Err(RecvTimeoutError::Timeout) => "no reply in time",
            Err(RecvTimeoutError::Disconnected) => "the connection was lost before the reply",
        };
        let reason = reason.to_owned();
        Attempt::Unanswered { reason }
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
