//! One connection of the reactor: its buffers, and one turn of reading or writing.

use crate::output::{OutputQueue, release_if_large};
use bytes::BytesMut;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// Bytes taken from one connection before others get their turn.
const MAX_READ_PER_TURN: usize = 256 * 1024;

/// One socket and its buffers.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) generation: u64,
    pub(crate) input: BytesMut,
    pub(crate) output: OutputQueue,
    pub(crate) connecting: bool,
    pub(crate) input_ended: bool,
    /// The peer has ended its side, or the connection failed: the end comes behind what can be read,
    /// and no further event reports it.
    pub(crate) end_signalled: bool,
    pub(crate) close_when_flushed: bool,
    pub(crate) writable: bool,
    pub(crate) needs_flush: bool,
    pub(crate) read_pending: bool,
}

/// How a turn of reading ended.
pub(crate) enum ReadEnd {
    Drained,
    MoreLater,
    EndOfInput,
    Broken,
}

/// What a turn of reading brought.
pub(crate) struct ReadOutcome {
    pub(crate) received: usize,
    pub(crate) end: ReadEnd,
}

/// Reads what has arrived, up to a turn.
pub(crate) fn read_available(connection: &mut Connection, scratch: &mut [u8]) -> ReadOutcome {
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
                // A short read has taken all there was; what comes later has an event of its own.
                let is_drained = count < scratch.len() && !connection.end_signalled;
                if is_drained {
                    ReadEnd::Drained
                } else if received < MAX_READ_PER_TURN {
                    continue;
                } else {
                    ReadEnd::MoreLater
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => ReadEnd::Drained,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => ReadEnd::Broken,
        };
        return ReadOutcome { received, end };
    }
}

/// Writes queued bytes, as many as the system takes.
pub(crate) fn write_queued(connection: &mut Connection) -> io::Result<()> {
    while connection.writable && !connection.output.is_empty() {
        match connection.stream.write(connection.output.front()) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => connection.output.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => connection.writable = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    connection.output.release_if_large();
    Ok(())
}
