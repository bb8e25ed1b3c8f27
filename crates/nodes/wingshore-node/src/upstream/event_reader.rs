//! Reads an engine's server-sent events.

use snafu::{ResultExt, Snafu};
use std::io::{self, BufRead, BufReader, Read};
use wingshore_types::platform::EngineStreamEvent;

/// Longest line of a stream, in bytes.
const MAX_LINE: u64 = 16 * 1024 * 1024;

/// Why a stream ended without its final event.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// It cannot be read on.
    #[snafu(display("the stream cannot be read on: {source}"))]
    Read {
        /// The cause.
        source: io::Error,
    },
    /// It ended too early.
    #[snafu(display("the stream ended before its final event"))]
    Cut,
    /// An event makes no sense.
    #[snafu(display("an event makes no sense: {source}"))]
    Decode {
        /// The cause.
        source: serde_json::Error,
    },
    /// A line is too long.
    #[snafu(display("a line has more than {MAX_LINE} bytes"))]
    LongLine,
}

/// Reads events one by one.
pub struct EventReader<R> {
    reader: BufReader<R>,
}

impl<R: Read> EventReader<R> {
    /// Reads from an answer's body.
    pub fn new(body: R) -> Self {
        Self {
            reader: BufReader::new(body),
        }
    }

    /// The next event.
    ///
    /// # Errors
    /// When the stream ends or breaks; the final event has not come then.
    pub fn next_event(&mut self) -> Result<EngineStreamEvent, StreamError> {
        let mut line = String::new();
        loop {
            line.clear();
            let limited = &mut (&mut self.reader).take(MAX_LINE);
            let count = limited.read_line(&mut line).context(ReadSnafu)?;
            if count == 0 {
                return CutSnafu.fail();
            }
            if !line.ends_with('\n') {
                // Only a line that was cut off, or one that is too long, has no end.
                return if count as u64 == MAX_LINE {
                    LongLineSnafu.fail()
                } else {
                    CutSnafu.fail()
                };
            }
            if let Some(data) = line.strip_prefix("data:") {
                return serde_json::from_str(data.trim()).context(DecodeSnafu);
            }
        }
    }
}
