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
        BodyLength::Chunked => read_chunks(reader, limit),
    }
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

/// The library's chunk decoder reports a missing last chunk as an error.
fn read_chunks(reader: &mut dyn Read, limit: u64) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return Ok(body),
            Ok(count) => body.extend(buffer.iter().take(count)),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => {
                return ShortSnafu {
                    received: body.len() as u64,
                }
                .fail();
            }
        }
        if body.len() as u64 > limit {
            return TooLargeSnafu { limit }.fail();
        }
    }
}
