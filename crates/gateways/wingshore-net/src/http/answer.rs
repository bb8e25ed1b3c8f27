//! A whole answer of this process's own.

use super::encode::HeadWriter;

/// An answer, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// Header lines besides those that frame the body.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// An answer without header lines.
    pub fn plain(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// The begin of its head, without the lines that frame the body.
    pub fn head(&self) -> HeadWriter {
        let mut writer = HeadWriter::answer(self.status);
        for (name, value) in &self.headers {
            writer = writer.header(name, value);
        }
        writer
    }
}
