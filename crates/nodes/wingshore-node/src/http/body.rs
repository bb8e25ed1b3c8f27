//! Reading a request's body whole, or not at all.

use crate::http::framing::BodyLength;
use snafu::Snafu;
use std::io::{ErrorKind, Read};

/// Bytes read at once.
const READ_SIZE: usize = 64 * 1024;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes, the most that is allowed"))]
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// It comes in chunks. The HTTP library takes a body that was cut within a chunk for a whole
    /// one, so none can be relied on.
    #[snafu(display("the body comes in chunks; a Content-Length is wanted"))]
    Chunked,
    /// It ended before its declared end.
    #[snafu(display("the body ended after {received} bytes, before its declared end"))]
    Short {
        /// Bytes that came.
        received: u64,
    },
}

/// Reads a body of the declared length, `limit` bytes at most.
///
/// # Errors
/// When it is too large or does not come to its declared end; no part of it may be used then.
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

/// Reads chunks away, `limit` bytes at most; answers whether their end was seen. What is left
/// would be taken for the connection's next request.
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
