//! One connection of the reactor: its socket, its buffers, and reading and writing within one poll.

use crate::caller::CallerBuffers;
use crate::output::{OutputQueue, release_if_large};
use bytes::BytesMut;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// Bytes read from one connection before the other connections are served.
const MAX_READ_BYTES_PER_TURN: usize = 256 * 1024;

/// Bytes of a caller that are read before the process has handled them. A legal request that waits
/// behind another one fits.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// A connected or connecting socket, its buffers and its state.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) generation: u64,
    pub(crate) input: BytesMut,
    pub(crate) output: OutputQueue,
    pub(crate) connecting: bool,
    pub(crate) input_ended: bool,
    /// Whether the kernel has reported the end of the input or a failure. The end follows the bytes
    /// that can still be read, and no further event reports it.
    pub(crate) end_signalled: bool,
    pub(crate) close_when_flushed: bool,
    /// Whether the connection is closed after its flush only when the peer has ended its side.
    pub(crate) awaits_end: bool,
    pub(crate) writable: bool,
    pub(crate) needs_flush: bool,
    pub(crate) read_pending: bool,
    /// Whether it is in the list of connections whose buffers may have changed.
    pub(crate) is_touched: bool,
    /// Bytes that the socket has taken so far.
    pub(crate) sent: u64,
    /// What a caller's connection has in the account; `None` for connections within the site.
    pub(crate) caller: Option<CallerBuffers>,
}

impl Connection {
    /// Returns whether no more is read until the process has handled what was read.
    pub(crate) fn is_read_ahead(&self) -> bool {
        let is_full = self.input.len() >= MAX_READ_AHEAD_BYTES;
        self.caller.is_some() && is_full && !self.close_when_flushed
    }

    /// Returns how many bytes are read in one turn at most.
    fn read_limit(&self) -> usize {
        if self.caller.is_some() {
            MAX_READ_AHEAD_BYTES.saturating_sub(self.input.len())
        } else {
            MAX_READ_BYTES_PER_TURN
        }
    }
}

/// Why [`read_available`] stopped.
pub(crate) enum ReadEnd {
    /// All received bytes were read.
    Drained,
    /// As many bytes were read as one turn allows, and more may be available.
    LimitReached,
    /// The peer has ended its side of the connection.
    EndOfInput,
    /// The connection failed.
    Broken,
}

/// Result of [`read_available`]: the number of bytes read, and why it stopped.
pub(crate) struct ReadOutcome {
    pub(crate) received: usize,
    pub(crate) end: ReadEnd,
}

/// Reads the received bytes into the input buffer, about as many as one turn allows at most. Drops
/// them when the connection is only being flushed.
pub(crate) fn read_available(connection: &mut Connection, scratch: &mut [u8]) -> ReadOutcome {
    let limit = connection.read_limit();
    let mut received = 0;
    loop {
        let end = match connection.stream.read(scratch) {
            Ok(0) => ReadEnd::EndOfInput,
            Ok(count) => {
                received += count;
                if !connection.close_when_flushed {
                    release_if_large(&mut connection.input);
                    connection.input.extend_from_slice(&scratch[..count]);
                }
                // A short read has drained the socket; an event reports bytes that arrive later.
                let is_drained = count < scratch.len() && !connection.end_signalled;
                if is_drained {
                    ReadEnd::Drained
                } else if received < limit {
                    continue;
                } else {
                    ReadEnd::LimitReached
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadEnd::Drained,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => ReadEnd::Broken,
        };
        return ReadOutcome { received, end };
    }
}

/// Writes queued bytes until the queue is empty or the socket would block.
pub(crate) fn write_queued(connection: &mut Connection) -> io::Result<()> {
    while connection.writable && !connection.output.is_empty() {
        match connection.stream.write(connection.output.front()) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => {
                connection.output.advance(count);
                connection.sent += count as u64;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => connection.writable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    connection.output.release_if_large();
    Ok(())
}
