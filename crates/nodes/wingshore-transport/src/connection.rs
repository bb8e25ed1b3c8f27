//! One open connection: a reader thread, a writer thread and the handle that both share.

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

/// A connection on which nothing was received for this long is closed: three keep-alives were then
/// lost.
pub const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A side that has sent nothing for this long sends [`Frame::KeepAlive`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1500);

/// A write that takes longer than this means that the peer no longer reads.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Names a connection within this process, for its whole life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Receives the frames of connections. Calls for one connection come from one thread, in order;
/// as long as a call lasts, nothing more is read from that connection.
pub trait FrameHandler: Send + Sync + 'static {
    /// A frame came; never a hello or a keep-alive.
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame);

    /// The connection is closed; no more frames come from it.
    fn on_closed(&self, connection: &ConnectionHandle) {
        let _ = connection;
    }
}

/// Sends on one connection; cheap to clone. Dropping it does not close the connection.
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
    /// Makes the handle of a connection whose handshake is done.
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

    /// This connection's name within the process.
    pub fn id(&self) -> ConnectionId {
        self.shared.id
    }

    /// The other side's identity, when it is a replica.
    pub fn peer_replica(&self) -> Option<ReplicaId> {
        self.shared.peer.replica
    }

    /// Whether frames are no longer taken.
    pub fn is_closed(&self) -> bool {
        self.shared.queue.is_finished()
    }

    /// Queues a frame without waiting. `Ok` means queued, not received.
    ///
    /// # Errors
    /// When the frame was not queued; then no byte of it leaves.
    pub fn send(&self, frame: &Frame) -> Result<(), SendError> {
        let bytes = encode(frame).context(EncodeSnafu)?;
        self.shared.queue.push(bytes)?;
        count_sent_frame();
        Ok(())
    }

    /// Answers a request. A peer that does not read its replies loses the connection, so that it
    /// asks again; a reply that is too large becomes a rejection.
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

    /// Closes at once; queued frames are dropped.
    pub fn close(&self) {
        self.shared.queue.abort();
        shut_down(&self.shared.stream, Shutdown::Both);
    }

    /// Closes once the queued frames are written.
    pub(crate) fn finish(&self) {
        self.shared.queue.finish();
    }

    /// Reads and writes until the connection ends, then notifies the handler. Runs on the
    /// connection's own thread.
    pub(crate) fn run(&self, handler: &dyn FrameHandler) {
        let connection = self.clone();
        let writer = thread::Builder::new()
            .name("frame-writer".to_owned())
            .spawn(move || connection.write_frames());
        if let Ok(writer) = writer {
            self.read_frames(handler);
            self.close();
            // A writer that panicked has written what it could; there is nothing to hand on.
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

/// Settings of a fresh socket, for the handshake.
pub(crate) fn prepare_handshake(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_read_timeout(Some(timeout))
}

/// Settings of a socket whose handshake is done.
pub(crate) fn prepare_frames(stream: &TcpStream) -> io::Result<()> {
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_read_timeout(Some(IDLE_LIMIT))
}

/// Fails only where the peer has closed already, which is what is wanted.
pub(crate) fn shut_down(stream: &TcpStream, how: Shutdown) {
    let _ = stream.shutdown(how);
}

fn next_id() -> ConnectionId {
    /// Identity of the next connection of this process.
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnectionId(NEXT.fetch_add(1, Ordering::Relaxed))
}
