//! Server-sent events to a caller.
//!
//! The HTTP library buffers streamed answers, so this module writes the head, the chunks and the
//! end itself and flushes each event.

use std::io::{self, Write};

/// An open event stream. It uses chunked encoding, so that the caller can detect a truncated
/// stream.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Writes and flushes the head.
    ///
    /// # Errors
    /// Fails when the caller has disconnected.
    pub fn start(mut writer: Box<dyn Write + Send>, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n",
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Writes and flushes one event.
    ///
    /// # Errors
    /// Fails when the caller has disconnected.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }

    /// Writes the final chunk, which marks the end of the stream.
    ///
    /// # Errors
    /// Fails when the caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
