//! Complete answers that this process generates.

use super::encode::HeadWriter;

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// Header lines except those that frame the body (`Content-Length`, `Transfer-Encoding`).
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Creates an answer without header lines.
    pub fn plain(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Returns the start of the answer's head, without the lines that frame the body.
    pub fn head(&self) -> HeadWriter {
        let mut writer = HeadWriter::answer(self.status);
        for (name, value) in &self.headers {
            writer = writer.header(name, value);
        }
        writer
    }
}
