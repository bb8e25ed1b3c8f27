//! Heads of HTTP requests and answers, and parsing them.

use super::status::FinalStatus;
use crate::account::{Account, Part, share};
use bytes::{Buf, Bytes, BytesMut};
use snafu::Snafu;

/// Maximum number of header lines of a message.
const MAX_HEADERS: usize = 96;
/// Interim status "101 Switching Protocols", which no request of this process asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why bytes cannot be read as an HTTP/1.1 message.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum HttpError {
    /// The head is longer than allowed.
    #[snafu(display("a head of more than {limit} bytes"))]
    HeadTooLong {
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The bytes are not a valid head.
    #[snafu(display("not an HTTP head: {reason}"))]
    Malformed {
        /// The error of the parser.
        reason: String,
    },
    /// The status of an answer is none that HTTP knows, or one that nobody asked for.
    #[snafu(display("{code:03} is no status of an answer"))]
    UnknownStatus {
        /// The number in the place of the status.
        code: u16,
    },
    /// A part of a message that has no length of its own goes on beyond its limit.
    #[snafu(display("{part} without end"))]
    Endless {
        /// The part of the message.
        part: &'static str,
    },
    /// The headers or the chunks do not determine the end of the body.
    #[snafu(display("unusable framing: {reason}"))]
    Framing {
        /// What is wrong with the framing.
        reason: &'static str,
    },
}

/// Header lines of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(Bytes, Bytes)>,
}

impl Headers {
    /// Creates headers from lines of name and value, in their order.
    pub fn from_lines<'a>(lines: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let copy = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        let lines = lines.into_iter();
        Self {
            lines: lines
                .map(|(name, value)| (copy(name), copy(value)))
                .collect(),
        }
    }

    /// Returns the first value of the header `name`, which is compared without regard to case.
    pub fn get<'a>(&'a self, name: &str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// Returns the first value of `name` as text, without surrounding whitespace; `None` if it is
    /// not UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Returns the first value of `name` as a number; `None` if it is not one.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    /// Returns all values of `name`, one for each header line.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.lines
            .iter()
            .filter(move |(line, _)| line.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value.as_ref())
    }

    /// Returns whether the comma-separated header `name` contains `token`, without regard to case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns all lines as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.lines
            .iter()
            .map(|(name, value)| (name.as_ref(), value.as_ref()))
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }

    /// Returns the first value of a parameter of the query, as received (not percent-decoded).
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the connection is to be closed after this exchange.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close") || !self.is_http11
    }
}

/// Head of a final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status.
    pub status: FinalStatus,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// The header lines.
    pub headers: Headers,
}

impl AnswerHead {
    /// Returns whether the connection is to be closed after this exchange.
    pub fn wants_close(&self) -> bool {
        self.headers.has_token("connection", "close") || !self.is_http11
    }

    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status.code())
    }
}

/// Removes a request's head from `input` and parses it; `None` while it is incomplete. Its memory is
/// counted in `account`.
///
/// # Errors
/// When the bytes are not a valid head, or the head is longer than `max_bytes`.
pub(super) fn read_request_head(
    input: &mut BytesMut,
    max_bytes: usize,
    account: &Account,
) -> Result<Option<RequestHead>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(length) = head_length(parsed.parse(input), input.len(), max_bytes)? else {
        return Ok(None);
    };
    let method = parsed.method.unwrap_or_default().to_owned();
    let target = parsed.path.unwrap_or_default().to_owned();
    let is_http11 = parsed.version == Some(1);
    let ranges = header_ranges(input, parsed.headers);
    let lines_bytes = ranges.len() * size_of::<(Bytes, Bytes)>();
    let charge = account.charge(Part::Input, length + lines_bytes);
    // A copy: a head that shared the input buffer would keep all of it.
    let memory = share(input[..length].to_vec(), charge);
    input.advance(length);
    let headers = headers_of(&memory, ranges);
    Ok(Some(RequestHead {
        method,
        target,
        is_http11,
        headers,
    }))
}

/// Head that arrived in the place of an answer's.
pub(super) enum ReceivedHead {
    /// The head of an interim answer, which a final one follows.
    Interim,
    /// The head of the final answer.
    Final(AnswerHead),
}

/// Removes an answer's head from `input` and parses it; `None` while it is incomplete.
///
/// # Errors
/// When the bytes are not a valid head, the head is longer than `max_bytes`, or its status is none.
pub(super) fn read_answer_head(
    input: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<ReceivedHead>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(length) = head_length(parsed.parse(input), input.len(), max_bytes)? else {
        return Ok(None);
    };
    let code = parsed.code.unwrap_or_default();
    let is_http11 = parsed.version == Some(1);
    let ranges = header_ranges(input, parsed.headers);
    let headers = take_headers(input, length, ranges);
    if is_interim(code) {
        return Ok(Some(ReceivedHead::Interim));
    }
    let Some(status) = FinalStatus::new(code) else {
        return UnknownStatusSnafu { code }.fail();
    };
    Ok(Some(ReceivedHead::Final(AnswerHead {
        status,
        is_http11,
        headers,
    })))
}

/// Returns whether a status is that of an interim answer that a client has to skip.
fn is_interim(code: u16) -> bool {
    (100..200).contains(&code) && code != SWITCHING_PROTOCOLS
}

/// Returns the length of a parsed head in bytes; `None` while the head is incomplete.
fn head_length(
    result: httparse::Result<usize>,
    available: usize,
    max_bytes: usize,
) -> Result<Option<usize>, HttpError> {
    match result {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if available <= max_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            HeadTooLongSnafu { limit: max_bytes }.fail()
        }
        Err(error) => MalformedSnafu {
            reason: error.to_string(),
        }
        .fail(),
    }
}

/// Positions of a header line's name and value in the buffer.
type HeaderRange = (std::ops::Range<usize>, std::ops::Range<usize>);

/// Returns the positions of the parsed header lines in `input`.
fn header_ranges(input: &BytesMut, headers: &[httparse::Header<'_>]) -> Vec<HeaderRange> {
    let start = input.as_ptr() as usize;
    let range = |part: &[u8]| {
        let from = part.as_ptr() as usize - start;
        from..from + part.len()
    };
    headers
        .iter()
        .map(|header| (range(header.name.as_bytes()), range(header.value)))
        .collect()
}

/// Removes a head of `length` bytes from `input` and returns its header lines, which share the
/// buffer.
fn take_headers(input: &mut BytesMut, length: usize, ranges: Vec<HeaderRange>) -> Headers {
    headers_of(&input.split_to(length).freeze(), ranges)
}

/// Returns the header lines of a head, which share its memory.
fn headers_of(head: &Bytes, ranges: Vec<HeaderRange>) -> Headers {
    let lines = ranges
        .into_iter()
        .map(|(name, value)| (head.slice(name), head.slice(value)))
        .collect();
    Headers { lines }
}
