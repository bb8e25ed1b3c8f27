//! Whole messages, read as their bytes arrive.

use super::body::{BodyReader, BodyStatus, Framing};
use super::head::{AnswerHead, HttpError, RequestHead, read_answer_head, read_request_head};
use bytes::BytesMut;
use snafu::Snafu;

/// Bytes of an answer's head at most.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// Why a request is refused before it is whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// Not an HTTP/1.1 request.
    #[snafu(display("{source}"))]
    Malformed {
        /// Why.
        source: HttpError,
    },
    /// The head is longer than allowed.
    #[snafu(display("a head of more than {limit} bytes"))]
    HeadTooLong {
        /// What is allowed.
        limit: usize,
    },
    /// The body is longer than allowed.
    #[snafu(display("a body of more than {limit} bytes"))]
    BodyTooLong {
        /// What is allowed.
        limit: usize,
    },
}

impl RequestError {
    /// The status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed { .. } => 400,
            Self::HeadTooLong { .. } => 431,
            Self::BodyTooLong { .. } => 413,
        }
    }
}

impl From<HttpError> for RequestError {
    fn from(source: HttpError) -> Self {
        match source {
            HttpError::HeadTooLong { limit } => Self::HeadTooLong { limit },
            source => Self::Malformed { source },
        }
    }
}

/// A request with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body, without any transfer coding.
    pub body: Vec<u8>,
}

/// Reads the requests of one connection.
#[derive(Default)]
pub struct RequestReader {
    under_way: Option<(RequestHead, BodyReader, Vec<u8>)>,
    /// Head of a request that cannot be read on.
    unreadable: Option<RequestHead>,
}

impl RequestReader {
    /// Takes the next whole request out of `input`; `None` when it is not whole yet.
    ///
    /// # Errors
    /// When the bytes are no request, or one that is too large; the connection is of no more use.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        max_head: usize,
        max_body: usize,
    ) -> Result<Option<WholeRequest>, RequestError> {
        if self.under_way.is_none() {
            let Some(head) = read_request_head(input, max_head)? else {
                return Ok(None);
            };
            match body_reader(&head, max_body) {
                Ok(reader) => self.under_way = Some((head, reader, Vec::new())),
                Err(error) => {
                    self.unreadable = Some(head);
                    return Err(error);
                }
            }
        }
        let Some((head, mut reader, mut body)) = self.under_way.take() else {
            return Ok(None);
        };
        let status = reader.read(input, &mut body).map_err(RequestError::from);
        let status = match status {
            Ok(_) if body.len() > max_body => BodyTooLongSnafu { limit: max_body }.fail(),
            status => status,
        };
        match status {
            Err(error) => {
                self.unreadable = Some(head);
                Err(error)
            }
            Ok(BodyStatus::Whole) => Ok(Some(WholeRequest { head, body })),
            Ok(BodyStatus::Partial) => {
                self.under_way = Some((head, reader, body));
                Ok(None)
            }
        }
    }

    /// Head of the request that is being read, or that could not be read on.
    pub fn head(&self) -> Option<&RequestHead> {
        let under_way = self.under_way.as_ref().map(|(head, _, _)| head);
        under_way.or(self.unreadable.as_ref())
    }

    /// Whether part of a request was read.
    pub fn is_under_way(&self) -> bool {
        self.under_way.is_some()
    }
}

/// Reads the body of a request, unless it is known to be too long.
fn body_reader(head: &RequestHead, max_body: usize) -> Result<BodyReader, RequestError> {
    let framing = Framing::of_request(head)?;
    if matches!(framing, Framing::Length(length) if length > max_body as u64) {
        return BodyTooLongSnafu { limit: max_body }.fail();
    }
    Ok(BodyReader::new(framing))
}

/// Reads the answer to one request.
pub struct AnswerReader {
    to_head_request: bool,
    under_way: Option<(AnswerHead, BodyReader)>,
    body: Vec<u8>,
}

/// An answer with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Its head.
    pub head: AnswerHead,
    /// Its body, without any transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl AnswerReader {
    /// Reads the answer to a request; one with the method HEAD gets no body.
    pub fn new(to_head_request: bool) -> Self {
        Self {
            to_head_request,
            under_way: None,
            body: Vec::new(),
        }
    }

    /// The head, once it was read.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.under_way.as_ref().map(|(head, _)| head)
    }

    /// Takes what has arrived of the body.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Reads on; says whether the answer is whole.
    ///
    /// # Errors
    /// When the bytes are no answer.
    pub fn read(&mut self, input: &mut BytesMut) -> Result<BodyStatus, HttpError> {
        while self.under_way.is_none() {
            let Some(head) = read_answer_head(input, MAX_ANSWER_HEAD)? else {
                return Ok(BodyStatus::Partial);
            };
            // Interim answers come before the one that counts.
            if (100..200).contains(&head.status) {
                continue;
            }
            let framing = Framing::of_answer(&head, self.to_head_request)?;
            self.under_way = Some((head, BodyReader::new(framing)));
        }
        match &mut self.under_way {
            Some((_, reader)) => reader.read(input, &mut self.body),
            None => Ok(BodyStatus::Partial),
        }
    }

    /// The peer has ended the connection in order: whether the answer is whole with that.
    pub fn is_whole_at_close(&self) -> bool {
        let reader = self.under_way.as_ref().map(|(_, reader)| reader);
        reader.is_some_and(BodyReader::ends_at_close)
    }

    /// The answer, once it is whole.
    pub fn into_answer(self, reusable: bool) -> Option<WholeAnswer> {
        let (head, _) = self.under_way?;
        let reusable = reusable && !head.wants_close();
        Some(WholeAnswer {
            head,
            body: self.body,
            reusable,
        })
    }
}
