//! An open connection: a reader thread, a writer thread and the handle that they share.

use crate::codec::{MAX_FRAME_BYTES, encode, read_frame};
use crate::error::{EncodeSnafu, FrameError, SendError};
use crate::queue::{NextWrite, OutboundQueue};
use crate::traffic::{CountingReader, count_received_frame, count_sent_bytes, count_sent_frame};
use snafu::ResultExt;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use wingshore_types::protocol::wire::{Frame, GroupReply, Hello};
use wingshore_types::{ReplicaId, RequestId};

/// A connection that received nothing for this long is closed; three keep-alives are then missing.
pub const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A peer that has sent nothing for this long sends [`Frame::KeepAlive`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1500);

/// A write that takes longer than this fails: the peer no longer reads.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Identifies a connection within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Receives the frames of connections. Calls for one connection are made by one thread, in order;
/// the next frame is read only after the call has returned.
pub trait FrameHandler: Send + Sync + 'static {
    /// Handles a received frame, which is never a hello or a keep-alive.
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame);

    /// Called once the connection is closed; no frames follow.
    fn on_closed(&self, connection: &ConnectionHandle) {
        let _ = connection;
    }
}

/// Sends frames on one connection; cheap to clone. Dropping a handle does not close the connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    id: ConnectionId,
    stream: TcpStream,
    peer: Hello,
    queue: OutboundQueue,
}

impl ConnectionHandle {
    /// Creates the handle of a connection whose handshake is complete.
    pub(crate) fn new(stream: TcpStream, peer: Hello) -> Self {
        let shared = Shared {
            id: next_id(),
            stream,
            peer,
            queue: OutboundQueue::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the id of this connection, unique within the process.
    pub fn id(&self) -> ConnectionId {
        self.shared.id
    }

    /// Returns the peer's replica id, or `None` if it is not a replica.
    pub fn peer_replica(&self) -> Option<ReplicaId> {
        self.shared.peer.replica
    }

    /// Returns whether the connection no longer accepts frames to send.
    pub fn is_closed(&self) -> bool {
        self.shared.queue.is_finished()
    }

    /// Queues a frame without waiting. `Ok` means queued, not received.
    ///
    /// # Errors
    /// When the frame was not queued; no byte of it is sent.
    pub fn send(&self, frame: &Frame) -> Result<(), SendError> {
        let bytes = encode(frame).context(EncodeSnafu)?;
        self.shared.queue.push(bytes)?;
        count_sent_frame();
        Ok(())
    }

    /// Replies to a request. If the queue is full because the peer does not read its replies,
    /// closes the connection, so that the peer retries. A reply that cannot be encoded, for example
    /// because it is too large, is replaced by a rejection.
    pub fn reply(&self, id: RequestId, body: GroupReply) {
        match self.send(&Frame::Reply { id, body }) {
            Ok(()) | Err(SendError::NotConnected) => {}
            Err(SendError::QueueFull) => self.close(),
            Err(error @ SendError::Encode { .. }) => {
                let body = GroupReply::Rejected(error.to_string());
                if self.send(&Frame::Reply { id, body }).is_err() {
                    self.close();
                }
            }
        }
    }

    /// Closes the connection at once and drops queued frames.
    pub fn close(&self) {
        self.shared.queue.abort();
        shut_down(&self.shared.stream, Shutdown::Both);
    }

    /// Closes the connection once the queued frames are written.
    pub(crate) fn finish(&self) {
        self.shared.queue.finish();
    }

    /// Reads and writes frames until the connection ends, then notifies the handler. Runs on the
    /// reader thread of the connection.
    pub(crate) fn run(&self, handler: &dyn FrameHandler) {
        let connection = self.clone();
        let writer = thread::Builder::new()
            .name("frame-writer".to_owned())
            .spawn(move || connection.write_frames());
        if let Ok(writer) = writer {
            self.read_frames(handler);
            self.close();
            // Nothing more can be written if the writer panicked, so the result is ignored.
            let _ = writer.join();
        }
        self.close();
        handler.on_closed(self);
    }

    fn read_frames(&self, handler: &dyn FrameHandler) {
        let mut reader = BufReader::new(CountingReader(&self.shared.stream));
        while let Ok(frame) = read_frame(&mut reader, MAX_FRAME_BYTES) {
            count_received_frame();
            match frame {
                Frame::KeepAlive => {}
                Frame::Hello(_) | Frame::Refused(_) => return,
                frame => handler.on_frame(self, frame),
            }
        }
    }

    fn write_frames(&self) {
        match self.write_until_finished() {
            Ok(()) => shut_down(&self.shared.stream, Shutdown::Write),
            Err(_) => self.close(),
        }
    }

    fn write_until_finished(&self) -> Result<(), FrameError> {
        let keep_alive = encode(&Frame::KeepAlive)?;
        let mut stream = &self.shared.stream;
        loop {
            let bytes = match self.shared.queue.take(KEEP_ALIVE_INTERVAL) {
                NextWrite::Bytes(bytes) => bytes,
                NextWrite::Idle => {
                    count_sent_frame();
                    keep_alive.clone()
                }
                NextWrite::Finished => return Ok(()),
            };
            let written = stream.write_all(&bytes);
            written.map_err(|source| FrameError::Io { source })?;
            count_sent_bytes(bytes.len());
        }
    }
}

/// Configures a new socket for the handshake.
pub(crate) fn configure_for_handshake(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_read_timeout(Some(timeout))
}

/// Configures a socket for frames after the handshake.
pub(crate) fn configure_after_handshake(stream: &TcpStream) -> io::Result<()> {
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_read_timeout(Some(IDLE_LIMIT))
}

/// Shuts down a socket. The call fails only if the peer has already closed it, so errors are
/// ignored.
pub(crate) fn shut_down(stream: &TcpStream, how: Shutdown) {
    let _ = stream.shutdown(how);
}

fn next_id() -> ConnectionId {
    /// Id of the next connection of this process.
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnectionId(NEXT.fetch_add(1, Ordering::Relaxed))
}
