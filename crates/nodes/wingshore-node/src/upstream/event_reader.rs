//! Reads server-sent events of an engine.

use snafu::{ResultExt, Snafu};
use std::io::{self, BufRead, BufReader, Read};
use wingshore_types::platform::EngineStreamEvent;

/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 16 * 1024 * 1024;

/// Why a stream ended without its final event.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// Reading from the stream failed.
    #[snafu(display("cannot read the stream: {source}"))]
    Read {
        /// The cause.
        source: io::Error,
    },
    /// The stream ended before its final event.
    #[snafu(display("the stream ended before its final event"))]
    Truncated,
    /// An event cannot be decoded.
    #[snafu(display("an event makes no sense: {source}"))]
    Decode {
        /// The cause.
        source: serde_json::Error,
    },
    /// A line exceeds the maximum length.
    #[snafu(display("a line has more than {MAX_LINE_BYTES} bytes"))]
    LongLine,
}

/// Reads the events of a stream one by one.
pub struct EventReader<R> {
    reader: BufReader<R>,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of the body of an answer.
    pub fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    /// Fails when the stream ends or fails before its final event.
    pub fn next_event(&mut self) -> Result<EngineStreamEvent, StreamError> {
        let mut line = String::new();
        loop {
            line.clear();
            let limited = &mut (&mut self.reader).take(MAX_LINE_BYTES);
            let count = limited.read_line(&mut line).context(ReadSnafu)?;
            if count == 0 {
                return TruncatedSnafu.fail();
            }
            if !line.ends_with('\n') {
                // Only a truncated or an overlong line has no line terminator.
                return if count as u64 == MAX_LINE_BYTES {
                    LongLineSnafu.fail()
                } else {
                    TruncatedSnafu.fail()
                };
            }
            if let Some(data) = line.strip_prefix("data:") {
                return serde_json::from_str(data.trim()).context(DecodeSnafu);
            }
        }
    }
}
