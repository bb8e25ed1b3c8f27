//! Reads request bodies: each body is read completely or rejected.

use crate::http::body_memory::{BodyCharge, BodyMemory};
use crate::http::framing::BodyLength;
use snafu::Snafu;
use std::io::{ErrorKind, Read};
use std::sync::Arc;

/// Size of the read buffer in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Reason why a request body was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes, the most that is allowed"))]
    TooLarge {
        /// Largest allowed body in bytes.
        limit: u64,
    },
    /// The body uses chunked encoding. The HTTP library reports a body that was truncated within a
    /// chunk as complete, so no chunked body can be trusted.
    #[snafu(display("the body comes in chunks; a Content-Length is wanted"))]
    Chunked,
    /// The body ended before its declared length.
    #[snafu(display("the body ended after {received} bytes, before its declared end"))]
    Short {
        /// Number of bytes received.
        received: u64,
    },
    /// The bodies of all callers do not fit into the memory for them.
    #[snafu(display("the bodies of all callers do not fit into the memory for them"))]
    NoRoom,
}

/// A complete body, and what it holds of the memory for bodies; `None` for an empty one.
pub type HeldBody = (Vec<u8>, Option<BodyCharge>);

/// Reads a body of the declared length, at most `limit` bytes, into `memory`.
///
/// # Errors
/// Fails when the body is chunked, too large or shorter than declared, or when there is no room for
/// it. No part of it may be used then. A body without room is read to its end all the same, since
/// the HTTP library would allocate what is left of it.
pub fn read_body(
    reader: &mut dyn Read,
    length: BodyLength,
    limit: u64,
    memory: &Arc<BodyMemory>,
) -> Result<HeldBody, BodyError> {
    match length {
        BodyLength::Empty => Ok((Vec::new(), None)),
        BodyLength::Exact(declared) if declared > limit => TooLargeSnafu { limit }.fail(),
        BodyLength::Exact(declared) => read_exactly(reader, declared, memory),
        BodyLength::Chunked => ChunkedSnafu.fail(),
    }
}

/// Reads and discards a chunked body, at most about `limit` bytes. Returns whether its end was
/// reached; otherwise the remaining bytes would be parsed as the connection's next request.
pub fn drain_chunks(reader: &mut dyn Read, limit: u64) -> bool {
    let mut buffer = vec![0; READ_SIZE];
    let mut drained = 0;
    while drained <= limit {
        match reader.read(&mut buffer) {
            Ok(0) => return true,
            Ok(count) => drained += count as u64,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    false
}

fn read_exactly(
    reader: &mut dyn Read,
    declared: u64,
    memory: &Arc<BodyMemory>,
) -> Result<HeldBody, BodyError> {
    let slot = memory.begin();
    let mut has_room = true;
    let mut buffer = vec![0; READ_SIZE];
    let mut received = 0;
    while received < declared {
        let left = usize::try_from(declared - received).unwrap_or(READ_SIZE);
        let part = &mut buffer[..left.min(READ_SIZE)];
        let count = match reader.read(part) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Ok(0) | Err(_) => return ShortSnafu { received }.fail(),
            Ok(count) => count,
        };
        received += count as u64;
        has_room = has_room && slot.extend(&part[..count]).is_ok();
    }
    match slot.finish() {
        Ok((body, charge)) if has_room => Ok((body, Some(charge))),
        _ => NoRoomSnafu.fail(),
    }
}
