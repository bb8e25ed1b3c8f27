//! Reads request bodies: each body is read completely or rejected.

use crate::http::framing::BodyLength;
use snafu::Snafu;
use std::io::{ErrorKind, Read};

/// Size of the read buffer in bytes.
const READ_SIZE: usize = 64 * 1024;

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
}

/// Reads a body of the declared length, at most `limit` bytes.
///
/// # Errors
/// Fails when the body is chunked, too large or shorter than declared. No part of it may be used
/// then.
pub fn read_body(
    reader: &mut dyn Read,
    length: BodyLength,
    limit: u64,
) -> Result<Vec<u8>, BodyError> {
    match length {
        BodyLength::Empty => Ok(Vec::new()),
        BodyLength::Exact(declared) if declared > limit => TooLargeSnafu { limit }.fail(),
        BodyLength::Exact(declared) => read_exactly(reader, declared),
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

fn read_exactly(reader: &mut dyn Read, declared: u64) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    let read = reader.take(declared).read_to_end(&mut body);
    let received = body.len() as u64;
    if read.is_err() || received != declared {
        return ShortSnafu { received }.fail();
    }
    Ok(body)
}
