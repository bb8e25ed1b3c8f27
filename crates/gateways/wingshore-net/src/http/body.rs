//! Bodies of messages.

use super::head::{AnswerHead, Headers, HttpError, RequestHead};
use bytes::{Buf, BytesMut};

/// Longest line that gives the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 1024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// After this many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// When the connection ends.
    UntilClose,
}

impl Framing {
    /// How a request's body ends.
    ///
    /// # Errors
    /// When the headers contradict themselves.
    pub(super) fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        Ok(declared(&head.headers)?.unwrap_or(Self::Length(0)))
    }

    /// How an answer's body ends.
    ///
    /// # Errors
    /// When the headers contradict themselves.
    pub(super) fn of_answer(head: &AnswerHead, to_head_request: bool) -> Result<Self, HttpError> {
        let has_none = to_head_request || matches!(head.status, 100..=199 | 204 | 304);
        if has_none {
            return Ok(Self::Length(0));
        }
        Ok(declared(&head.headers)?.unwrap_or(Self::UntilClose))
    }
}

fn declared(headers: &Headers) -> Result<Option<Framing>, HttpError> {
    let length = declared_length(headers)?;
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || codings.next().is_some() {
        return refuse("an unknown transfer coding");
    }
    if length.is_some() {
        return refuse("both a length and chunks");
    }
    Ok(Some(Framing::Chunked))
}

fn declared_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut length = None;
    for value in headers.all("content-length") {
        let digits = value.trim_ascii();
        let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
        let Some(parsed) = text.and_then(|text| text.parse().ok()) else {
            return refuse("a content length that is no number");
        };
        if length.is_some_and(|earlier| earlier != parsed) {
            return refuse("two different content lengths");
        }
        length = Some(parsed);
    }
    Ok(length)
}

fn refuse<T>(reason: &'static str) -> Result<T, HttpError> {
    Err(HttpError::Framing { reason })
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStatus {
    /// More must come.
    Partial,
    /// All of it was read.
    Whole,
}

enum Position {
    /// Within a run of bytes with this many to come.
    Bytes(u64),
    /// Before the size of a chunk.
    ChunkSize,
    /// Before the line end behind a chunk.
    ChunkEnd,
    /// In the lines behind the last chunk.
    Trailer,
    /// Bytes until the connection ends.
    Open,
    /// At the end.
    Done,
}

/// Reads one body as its bytes arrive.
pub(super) struct BodyReader {
    position: Position,
    chunked: bool,
}

impl BodyReader {
    /// A body that has not begun.
    pub(super) fn new(framing: Framing) -> Self {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) => Position::Bytes(length),
            Framing::Chunked => Position::ChunkSize,
            Framing::UntilClose => Position::Open,
        };
        Self {
            position,
            chunked: framing == Framing::Chunked,
        }
    }

    /// Moves what is there of the body from `input` to the end of `body`.
    ///
    /// # Errors
    /// When the bytes are no chunks.
    pub(super) fn read(
        &mut self,
        input: &mut BytesMut,
        body: &mut Vec<u8>,
    ) -> Result<BodyStatus, HttpError> {
        loop {
            match self.position {
                Position::Done => return Ok(BodyStatus::Whole),
                Position::Open => {
                    body.extend_from_slice(input);
                    input.clear();
                    return Ok(BodyStatus::Partial);
                }
                Position::Bytes(left) => {
                    if input.is_empty() {
                        return Ok(BodyStatus::Partial);
                    }
                    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    body.extend_from_slice(&input[..count]);
                    input.advance(count);
                    self.bytes_read(left - count as u64);
                }
                Position::ChunkSize => match take_line(input)? {
                    Some(line) => self.position = chunk_start(&line)?,
                    None => return Ok(BodyStatus::Partial),
                },
                Position::ChunkEnd => match take_line(input)? {
                    Some(line) if line.is_empty() => self.position = Position::ChunkSize,
                    Some(_) => return refuse("bytes behind a chunk"),
                    None => return Ok(BodyStatus::Partial),
                },
                Position::Trailer => match take_line(input)? {
                    Some(line) if line.is_empty() => self.position = Position::Done,
                    Some(_) => {}
                    None => return Ok(BodyStatus::Partial),
                },
            }
        }
    }

    fn bytes_read(&mut self, left: u64) {
        self.position = match (left, self.chunked) {
            (0, true) => Position::ChunkEnd,
            (0, false) => Position::Done,
            _ => Position::Bytes(left),
        };
    }

    /// Whether the body is whole when the connection ends in order here.
    pub(super) fn ends_at_close(&self) -> bool {
        matches!(self.position, Position::Open | Position::Done)
    }
}

fn take_line(input: &mut BytesMut) -> Result<Option<Vec<u8>>, HttpError> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > MAX_CHUNK_LINE {
            return refuse("a chunk's line without an end");
        }
        return Ok(None);
    };
    let line = input.split_to(end + 1);
    let line = &line[..end];
    Ok(Some(line.strip_suffix(b"\r").unwrap_or(line).to_vec()))
}

fn chunk_start(line: &[u8]) -> Result<Position, HttpError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let size = size.trim_ascii();
    let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| is_hex);
    match text.and_then(|text| u64::from_str_radix(text, 16).ok()) {
        Some(0) => Ok(Position::Trailer),
        Some(size) => Ok(Position::Bytes(size)),
        None => refuse("a chunk size that is no number"),
    }
}
