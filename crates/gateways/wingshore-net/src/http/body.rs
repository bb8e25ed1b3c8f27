//! Bodies of HTTP messages: their framing, and reading them.

use super::head::{AnswerHead, Headers, HttpError, RequestHead};
use super::message_body::ArrivingBody;
use bytes::{Buf, BytesMut};

/// Maximum length in bytes of a line of the chunked coding.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Maximum length in bytes of all trailer lines of a body.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request's body.
    ///
    /// # Errors
    /// When the headers contradict each other or cannot be used.
    pub(super) fn of_request(head: &RequestHead) -> Result<Self, HttpError> {
        Ok(declared_framing(&head.headers)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of the body of an answer to a request whose method is not HEAD.
    ///
    /// # Errors
    /// When the headers contradict each other or cannot be used.
    pub(super) fn of_answer(head: &AnswerHead) -> Result<Self, HttpError> {
        if matches!(head.status.code(), 204 | 304) {
            return Ok(Self::Length(0));
        }
        Ok(declared_framing(&head.headers)?.unwrap_or(Self::UntilClose))
    }
}

/// Returns the framing that the headers declare, if any.
fn declared_framing(headers: &Headers) -> Result<Option<Framing>, HttpError> {
    let length = declared_length(headers)?;
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    let is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
    if !is_chunked || codings.next().is_some() {
        return framing_error("an unknown transfer coding");
    }
    if length.is_some() {
        return framing_error("both a length and chunks");
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
            return framing_error("a content length that is no number");
        };
        if length.is_some_and(|earlier| earlier != parsed) {
            return framing_error("two different content lengths");
        }
        length = Some(parsed);
    }
    Ok(length)
}

fn framing_error<T>(reason: &'static str) -> Result<T, HttpError> {
    Err(HttpError::Framing { reason })
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStatus {
    /// The body is not complete yet.
    Partial,
    /// The whole body was read.
    Whole,
}

/// Where the bytes of a body go as they arrive.
pub(super) trait BodySink {
    /// Adds bytes at the end of the body.
    fn extend(&mut self, bytes: &[u8]);
}

impl BodySink for Vec<u8> {
    fn extend(&mut self, bytes: &[u8]) {
        self.extend_from_slice(bytes);
    }
}

impl BodySink for ArrivingBody {
    fn extend(&mut self, bytes: &[u8]) {
        ArrivingBody::extend(self, bytes);
    }
}

/// Where a [`BodyReader`] is in the body.
#[derive(Clone, Copy)]
enum Position {
    /// In a chunk or a body of known length, with this many bytes left.
    Bytes(u64),
    /// Before the line with a chunk's size.
    ChunkSize,
    /// Before the line end after a chunk.
    ChunkEnd,
    /// In the trailer lines after the last chunk.
    Trailer,
    /// In a body that ends with the connection.
    UntilClose,
    /// At the end of the body.
    Done,
}

/// Reads one body incrementally as its bytes arrive.
pub(super) struct BodyReader {
    position: Position,
    chunked: bool,
    /// Bytes of the trailer lines that were read.
    trailer_bytes: usize,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    pub(super) fn new(framing: Framing) -> Self {
        let position = match framing {
            Framing::Length(0) => Position::Done,
            Framing::Length(length) => Position::Bytes(length),
            Framing::Chunked => Position::ChunkSize,
            Framing::UntilClose => Position::UntilClose,
        };
        Self {
            position,
            chunked: framing == Framing::Chunked,
            trailer_bytes: 0,
        }
    }

    /// Moves the available bytes of the body from `input` to the end of `body`.
    ///
    /// # Errors
    /// When the chunked coding is invalid.
    pub(super) fn read(
        &mut self,
        input: &mut BytesMut,
        body: &mut impl BodySink,
    ) -> Result<BodyStatus, HttpError> {
        let mut unread: &[u8] = input;
        let status = self.read_slice(&mut unread, body);
        let read = input.len() - unread.len();
        input.advance(read);
        status
    }

    /// Moves the bytes of the body from the front of `input` to the end of `body`.
    fn read_slice(
        &mut self,
        input: &mut &[u8],
        body: &mut impl BodySink,
    ) -> Result<BodyStatus, HttpError> {
        loop {
            match self.position {
                Position::Done => return Ok(BodyStatus::Whole),
                Position::UntilClose => {
                    body.extend(std::mem::take(input));
                    return Ok(BodyStatus::Partial);
                }
                Position::Bytes(left) => {
                    if input.is_empty() {
                        return Ok(BodyStatus::Partial);
                    }
                    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let (bytes, rest) = input.split_at(count);
                    body.extend(bytes);
                    *input = rest;
                    self.set_bytes_left(left - count as u64);
                }
                Position::ChunkSize => match take_line(input)? {
                    Some(line) => self.position = parse_chunk_size(line)?,
                    None => return Ok(BodyStatus::Partial),
                },
                Position::ChunkEnd => match take_line(input)? {
                    Some([]) => self.position = Position::ChunkSize,
                    Some(_) => return framing_error("bytes behind a chunk"),
                    None => return Ok(BodyStatus::Partial),
                },
                Position::Trailer => match take_line(input)? {
                    Some([]) => self.position = Position::Done,
                    Some(line) => self.count_trailer(line)?,
                    None => return Ok(BodyStatus::Partial),
                },
            }
        }
    }

    /// Counts a trailer line, whose content is dropped.
    fn count_trailer(&mut self, line: &[u8]) -> Result<(), HttpError> {
        self.trailer_bytes += line.len();
        if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(HttpError::Endless { part: "a trailer" });
        }
        Ok(())
    }

    /// Sets the number of bytes left of the current chunk or of the body.
    fn set_bytes_left(&mut self, left: u64) {
        self.position = match (left, self.chunked) {
            (0, true) => Position::ChunkEnd,
            (0, false) => Position::Done,
            _ => Position::Bytes(left),
        };
    }

    /// Returns whether the body is complete if the connection ends in an orderly way now.
    pub(super) fn ends_at_close(&self) -> bool {
        matches!(self.position, Position::UntilClose | Position::Done)
    }
}

/// Removes the next line from `input` and returns it without its line end; `None` while it is
/// incomplete.
fn take_line<'a>(input: &mut &'a [u8]) -> Result<Option<&'a [u8]>, HttpError> {
    let longest = &input[..input.len().min(MAX_CHUNK_LINE_BYTES + 1)];
    let end = longest.iter().position(|byte| *byte == b'\n');
    let Some(end) = end else {
        if input.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpError::Endless {
                part: "a line of the chunked coding",
            });
        }
        return Ok(None);
    };
    let line = &input[..end];
    *input = &input[end + 1..];
    Ok(Some(line.strip_suffix(b"\r").unwrap_or(line)))
}

/// Parses the line with a chunk's size, without its extensions; a size of 0 starts the trailer.
fn parse_chunk_size(line: &[u8]) -> Result<Position, HttpError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let size = size.trim_ascii();
    let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(size).ok().filter(|_| is_hex);
    match text.and_then(|text| u64::from_str_radix(text, 16).ok()) {
        Some(0) => Ok(Position::Trailer),
        Some(size) => Ok(Position::Bytes(size)),
        None => framing_error("a chunk size that is no number"),
    }
}
