//! Incremental reading of requests and answers as their bytes arrive.

use super::body::{BodyReader, BodyStatus, Framing};
use super::head::{
    AnswerHead, HttpError, ReceivedHead, RequestHead, read_answer_head, read_request_head,
};
use super::message_body::{ArrivingBody, MessageBody};
use crate::account::Account;
use bytes::BytesMut;
use snafu::Snafu;

/// Maximum length of an answer's head in bytes.
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of interim answers before a final one.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Why a request is refused while it is being read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RequestError {
    /// The bytes are not a valid HTTP/1.1 request.
    #[snafu(display("{source}"))]
    Malformed {
        /// The error of the parser.
        source: HttpError,
    },
    /// The head is longer than allowed.
    #[snafu(display("a head of more than {limit} bytes"))]
    HeadTooLong {
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The body is longer than allowed.
    #[snafu(display("a body of more than {limit} bytes"))]
    BodyTooLong {
        /// The maximum length in bytes.
        limit: usize,
    },
}

impl RequestError {
    /// Returns the HTTP status code of the answer that refuses the request.
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
    /// The head of the request.
    pub head: RequestHead,
    /// The body of the request, with any transfer coding removed.
    pub body: MessageBody,
}

/// A request whose head was read and whose body is incomplete.
struct IncompleteRequest {
    head: RequestHead,
    reader: BodyReader,
    body: ArrivingBody,
}

/// Reads the requests of one connection.
#[derive(Default)]
pub struct RequestReader {
    /// Where heads and bodies are counted.
    account: Account,
    current: Option<IncompleteRequest>,
    /// Head of the request whose body was refused.
    failed_head: Option<RequestHead>,
}

impl RequestReader {
    /// Creates a reader that counts the heads and bodies of its requests in `account`.
    pub fn new(account: &Account) -> Self {
        Self {
            account: account.clone(),
            ..Self::default()
        }
    }

    /// Removes the next request from `input` and returns it; `None` while it is incomplete.
    ///
    /// `max_head` and `max_body` are limits in bytes.
    ///
    /// # Errors
    /// When the bytes are not a valid request, or the request is too large. Later requests cannot
    /// be read either, so the connection has to be closed.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        max_head: usize,
        max_body: usize,
    ) -> Result<Option<WholeRequest>, RequestError> {
        if self.current.is_none() {
            let Some(head) = read_request_head(input, max_head, &self.account)? else {
                return Ok(None);
            };
            match declared_framing(&head, max_body) {
                Ok(framing) => self.current = Some(self.begin_body(head, framing)),
                Err(error) => {
                    self.failed_head = Some(head);
                    return Err(error);
                }
            }
        }
        let Some(mut request) = self.current.take() else {
            return Ok(None);
        };
        let status = request.reader.read(input, &mut request.body);
        let status = match status.map_err(RequestError::from) {
            Ok(_) if request.body.len() > max_body => BodyTooLongSnafu { limit: max_body }.fail(),
            status => status,
        };
        match status {
            Err(error) => {
                self.failed_head = Some(request.head);
                Err(error)
            }
            Ok(BodyStatus::Whole) => Ok(Some(WholeRequest {
                head: request.head,
                body: request.body.finish(),
            })),
            Ok(BodyStatus::Partial) => {
                self.current = Some(request);
                Ok(None)
            }
        }
    }

    fn begin_body(&self, head: RequestHead, framing: Framing) -> IncompleteRequest {
        let declared = match framing {
            Framing::Length(length) => usize::try_from(length).ok(),
            Framing::Chunked | Framing::UntilClose => None,
        };
        IncompleteRequest {
            head,
            reader: BodyReader::new(framing),
            body: ArrivingBody::of_request(&self.account, declared),
        }
    }

    /// Returns the head of the request that is being read, or whose body was refused.
    pub fn head(&self) -> Option<&RequestHead> {
        let current = self.current.as_ref().map(|request| &request.head);
        current.or(self.failed_head.as_ref())
    }

    /// Returns whether a request's head was read and its body is incomplete.
    pub fn is_under_way(&self) -> bool {
        self.current.is_some()
    }

    /// Returns the bytes that have arrived of the incomplete body.
    pub fn body_bytes(&self) -> usize {
        let current = self.current.as_ref();
        current.map_or(0, |request| request.body.len())
    }

    /// Returns the length that the incomplete body is known to have: the declared one, or else what
    /// has arrived.
    pub fn known_body_bytes(&self) -> usize {
        let Some(request) = &self.current else {
            return 0;
        };
        request.body.declared().unwrap_or(request.body.len())
    }

    /// Drops what has arrived of an incomplete body; the rest of it cannot be read any more.
    pub fn drop_body(&mut self) {
        self.failed_head = self.current.take().map(|request| request.head);
    }
}

/// Returns the framing of a request's body, unless its declared length exceeds the limit.
fn declared_framing(head: &RequestHead, max_body: usize) -> Result<Framing, RequestError> {
    let framing = Framing::of_request(head)?;
    if matches!(framing, Framing::Length(length) if length > max_body as u64) {
        return BodyTooLongSnafu { limit: max_body }.fail();
    }
    Ok(framing)
}

/// Reads the answer to one request.
pub struct AnswerReader {
    /// Maximum number of bytes of the body that are held.
    max_held_body: usize,
    /// Number of interim answers that were skipped.
    interim_answers: usize,
    /// Head of the answer and the reader of its body, once the head was read.
    current: Option<(AnswerHead, BodyReader)>,
    /// Bytes of the body that were read and not taken yet.
    body: Vec<u8>,
}

/// An answer with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// The head of the answer.
    pub head: AnswerHead,
    /// The body of the answer, with any transfer coding removed.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub reusable: bool,
}

impl AnswerReader {
    /// Creates a reader for the answer to a request whose method is not HEAD. `max_held_body` is
    /// the maximum number of bytes of the body that are read and not taken yet.
    pub fn new(max_held_body: usize) -> Self {
        Self {
            max_held_body,
            interim_answers: 0,
            current: None,
            body: Vec::new(),
        }
    }

    /// Returns the head, once it was read.
    pub fn head(&self) -> Option<&AnswerHead> {
        self.current.as_ref().map(|(head, _)| head)
    }

    /// Returns the head, and the bytes of the body that were read and not taken yet; `None` before
    /// the head was read.
    pub fn received(&mut self) -> Option<(&AnswerHead, &mut Vec<u8>)> {
        let (head, _) = self.current.as_ref()?;
        Some((head, &mut self.body))
    }

    /// Returns the bytes of the body that arrived since the last call.
    pub fn take_body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Reads the available bytes from `input`; returns whether the answer is complete.
    ///
    /// # Errors
    /// When the bytes are not a valid answer, or more of its body would be held than the maximum.
    pub fn read(&mut self, input: &mut BytesMut) -> Result<BodyStatus, HttpError> {
        while self.current.is_none() {
            let Some(head) = read_answer_head(input, MAX_ANSWER_HEAD_BYTES)? else {
                return Ok(BodyStatus::Partial);
            };
            let ReceivedHead::Final(head) = head else {
                self.count_interim()?;
                continue;
            };
            let framing = Framing::of_answer(&head)?;
            self.current = Some((head, BodyReader::new(framing)));
        }
        let Some((_, reader)) = &mut self.current else {
            return Ok(BodyStatus::Partial);
        };
        let status = reader.read(input, &mut self.body)?;
        if self.body.len() > self.max_held_body {
            return Err(HttpError::Endless { part: "a body" });
        }
        Ok(status)
    }

    /// Counts an interim answer, which is skipped.
    fn count_interim(&mut self) -> Result<(), HttpError> {
        self.interim_answers += 1;
        if self.interim_answers > MAX_INTERIM_ANSWERS {
            return Err(HttpError::Endless {
                part: "interim answers",
            });
        }
        Ok(())
    }

    /// Returns the number of bytes of the body that were read and not taken yet.
    pub fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns whether the answer is complete if the peer ends the connection in an orderly way
    /// now.
    pub fn is_whole_at_close(&self) -> bool {
        let reader = self.current.as_ref().map(|(_, reader)| reader);
        reader.is_some_and(BodyReader::ends_at_close)
    }

    /// Returns the answer, whose body the caller knows to be complete; `None` without a head. It is
    /// reusable if `reusable` is set and the peer does not ask to close the connection.
    pub fn into_answer(self, reusable: bool) -> Option<WholeAnswer> {
        let (head, _) = self.current?;
        let reusable = reusable && !head.wants_close();
        Some(WholeAnswer {
            head,
            body: self.body,
            reusable,
        })
    }
}
