//! Server-sent events towards a caller.
//!
//! The HTTP library buffers streamed answers, so head, chunks and end are written here and each
//! event is flushed by itself.

use std::io::{self, Write};

/// An open event stream; chunked, so that its end is declared.
pub struct EventStream {
    writer: Box<dyn Write + Send>,
}

impl EventStream {
    /// Writes and flushes the head.
    ///
    /// # Errors
    /// When the caller has gone.
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
    /// When the caller has gone.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.writer.write_all(chunk.as_bytes())?;
        self.writer.flush()
    }

    /// Declares the end of the stream.
    ///
    /// # Errors
    /// When the caller has gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
