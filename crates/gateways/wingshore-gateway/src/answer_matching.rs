//! Decision: does an answer that arrives on a connection to a server belong to the request that
//! waits there?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The bytes that arrive on the connection, the ID of the waiting request, and the
//! names of the header fields that hold a request ID and a server's signature.
//!
//! **Rule.** An answer that carries the ID of the waiting request belongs to it. An answer that
//! carries another ID is a mismatched one: it is skipped with its body, and the reader goes on to the next
//! answer on the connection. Bytes cannot be assigned to any request if they carry no ID or several
//! different ones, or if they are a success without a signature; nothing that follows on the
//! connection can be trusted then. The same holds after too many mismatched answers or bytes.
//!
//! **Why.** A server may send an answer once more in the place where the next one is due. Closing
//! the connection then would lose the request's own answer, which follows: a request that must not
//! be repeated would fail although it ran, and any other would run again.
//!
//! **Invariant.** Only this module reads the answers of servers. It hands out their content as
//! [`MatchedPart`] and [`MatchedAnswer`], which exist for the waiting request's own answer alone, so
//! that no other code can act on an answer before its owner is known.
//!
//! **Missing inputs.** A request ID that is missing is treated like a wrong one whose owner is
//! unknown: the request may have run.

use crate::protocol::HeaderNames;
use bytes::BytesMut;
use snafu::Snafu;
use wingshore_net::account::Account;
use wingshore_net::http::{
    AnswerHead, AnswerReader, ArrivingBody, BodyStatus, HttpError, MessageBody, WholeAnswer,
};

/// Number of mismatched answers that are skipped before one request's own answer.
pub const MAX_MISMATCHED_ANSWERS: usize = 8;
/// Bytes of bodies of mismatched answers that are skipped before one request's own answer. A single
/// answer of the largest usual size stays below it.
pub const MAX_MISMATCHED_BYTES: usize = 32 << 20;
/// Bytes of the body of one answer that are held until it is complete. The longest body of a
/// request, 32 MiB unless the operator sets another limit, fits in with some space around it.
pub const MAX_HELD_BODY_BYTES: usize = 36 << 20;

/// What identifies the answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// Name of the header field that holds the ID of the answered request.
    request_id_header: &'static str,
    /// Name of the header field that each success of a server carries.
    signature_header: &'static str,
    /// The ID of the waiting request.
    request: Vec<u8>,
}

/// The owner of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    /// The request that waits on the connection.
    WaitingRequest,
    /// Another request.
    OtherRequest,
}

impl ExpectedAnswer {
    /// Expects the answer to the request with this ID.
    pub fn to_request(names: &HeaderNames, request: &[u8]) -> Self {
        Self {
            request_id_header: names.request_id,
            signature_header: names.signature,
            request: request.to_vec(),
        }
    }

    /// Returns the owner of the answer with this head.
    ///
    /// # Errors
    /// When the head does not identify one request, or lacks the signature of a success.
    fn owner(&self, head: &AnswerHead) -> Result<Owner, UnidentifiedAnswer> {
        let mut ids = head.headers.all(self.request_id_header);
        let Some(id) = ids.next() else {
            return Err(UnidentifiedAnswer::WithoutId);
        };
        if ids.any(|other| other != id) {
            return Err(UnidentifiedAnswer::SeveralIds);
        }
        if id != self.request {
            return Ok(Owner::OtherRequest);
        }
        if head.is_success() && head.headers.get(self.signature_header).is_none() {
            return Err(UnidentifiedAnswer::Unsigned);
        }
        Ok(Owner::WaitingRequest)
    }

    /// Returns what is logged of a mismatched answer.
    fn mismatched(&self, head: &AnswerHead) -> MismatchedAnswer {
        let request = head.headers.text(self.request_id_header);
        MismatchedAnswer {
            request: request.unwrap_or_default().to_owned(),
            status: head.status.code(),
        }
    }
}

/// An answer that cannot be assigned to any request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum UnidentifiedAnswer {
    /// It carries no request ID.
    #[snafu(display("no request id"))]
    WithoutId,
    /// It carries different request IDs.
    #[snafu(display("several request ids"))]
    SeveralIds,
    /// It is a success without a server's signature.
    #[snafu(display("no signature"))]
    Unsigned,
    /// More mismatched answers precede it than are skipped.
    #[snafu(display("too many mismatched answers"))]
    TooManyMismatched,
}

/// Why no answer can be read on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AnswerError {
    /// The bytes are not an answer.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// The error of the parser.
        source: HttpError,
    },
    /// The answer belongs to no known request.
    #[snafu(display("{source}"), context(false))]
    Unidentified {
        /// What the answer lacks.
        source: UnidentifiedAnswer,
    },
}

/// A mismatched answer that was skipped: all that remains of it, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MismatchedAnswer {
    /// The ID of the request that it answers.
    pub request: String,
    /// Its status code.
    pub status: u16,
}

/// The part of the waiting request's own answer that has arrived: the head and some of the body.
pub struct MatchedPart<'a> {
    head: &'a AnswerHead,
    /// The part of the body that was not taken yet.
    body: &'a mut ArrivingBody,
}

impl MatchedPart<'_> {
    /// Returns the head of the answer.
    pub fn head(&self) -> &AnswerHead {
        self.head
    }

    /// Removes and returns the bytes of the body that have arrived since the last call.
    pub fn take_body(&mut self) -> Vec<u8> {
        self.body.take()
    }
}

/// The complete answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MatchedAnswer {
    /// The answer without its body.
    answer: WholeAnswer,
    body: MessageBody,
}

impl MatchedAnswer {
    /// Returns the head of the answer.
    pub fn head(&self) -> &AnswerHead {
        &self.answer.head
    }

    /// Returns the body, without the parts that were taken while it arrived.
    pub fn body(&self) -> &MessageBody {
        &self.body
    }

    /// Returns whether the connection can be used for another request.
    pub fn is_connection_reusable(&self) -> bool {
        self.answer.reusable
    }
}

/// Reads a connection to a server up to the end of the answer to one request.
pub struct MatchingReader {
    expected: ExpectedAnswer,
    /// Reads the current answer: the request's own one or a mismatched one.
    reader: AnswerReader,
    /// The owner of the current answer, once its head was read.
    owner: Option<Owner>,
    /// The part of the own answer's body that has arrived and was not taken yet.
    body: ArrivingBody,
    mismatched_answers: usize,
    mismatched_bytes: usize,
    /// The mismatched answers that were not logged yet.
    skipped: Vec<MismatchedAnswer>,
}

impl MatchingReader {
    /// Creates a reader for the answer to one request, whose body is counted in `account`.
    pub fn new(expected: ExpectedAnswer, account: &Account) -> Self {
        Self {
            body: ArrivingBody::of_answer(account),
            expected,
            reader: AnswerReader::new(MAX_HELD_BODY_BYTES),
            owner: None,
            mismatched_answers: 0,
            mismatched_bytes: 0,
            skipped: Vec::new(),
        }
    }

    /// Reads the available bytes from `input`, past mismatched answers; returns whether the request's
    /// own answer is complete.
    ///
    /// # Errors
    /// When the bytes are not an answer, or the answer belongs to no known request. The reader must
    /// not be used any more then.
    pub fn read(&mut self, input: &mut BytesMut) -> Result<BodyStatus, AnswerError> {
        loop {
            let status = self.reader.read(input)?;
            if self.owner.is_none() {
                self.identify()?;
            }
            match (self.owner, status) {
                (None, _) => return Ok(BodyStatus::Partial),
                (Some(Owner::WaitingRequest), _) => {
                    self.keep_body()?;
                    return Ok(status);
                }
                (Some(Owner::OtherRequest), _) => self.skip_body()?,
            }
            if status == BodyStatus::Partial {
                return Ok(BodyStatus::Partial);
            }
            self.reader = AnswerReader::new(MAX_HELD_BODY_BYTES);
            self.owner = None;
        }
    }

    /// Determines the owner of the current answer if its head was read.
    fn identify(&mut self) -> Result<(), UnidentifiedAnswer> {
        let Some(head) = self.reader.head() else {
            return Ok(());
        };
        let owner = self.expected.owner(head)?;
        self.owner = Some(owner);
        if owner == Owner::WaitingRequest {
            return Ok(());
        }
        self.skipped.push(self.expected.mismatched(head));
        self.mismatched_answers += 1;
        if self.mismatched_answers > MAX_MISMATCHED_ANSWERS {
            return Err(UnidentifiedAnswer::TooManyMismatched);
        }
        Ok(())
    }

    /// Keeps the bytes that have arrived of the own answer's body.
    fn keep_body(&mut self) -> Result<(), HttpError> {
        self.body.extend(&self.reader.take_body());
        if self.body.len() > MAX_HELD_BODY_BYTES {
            return Err(HttpError::Endless { part: "a body" });
        }
        Ok(())
    }

    /// Drops the bytes that have arrived of a mismatched answer's body.
    fn skip_body(&mut self) -> Result<(), UnidentifiedAnswer> {
        self.mismatched_bytes += self.reader.take_body().len();
        if self.mismatched_bytes > MAX_MISMATCHED_BYTES {
            return Err(UnidentifiedAnswer::TooManyMismatched);
        }
        Ok(())
    }

    /// Returns what has arrived of the request's own answer; `None` before its head.
    pub fn matched_part(&mut self) -> Option<MatchedPart<'_>> {
        if self.owner != Some(Owner::WaitingRequest) {
            return None;
        }
        let head = self.reader.head()?;
        let body = &mut self.body;
        Some(MatchedPart { head, body })
    }

    /// Returns the number of bytes of a body that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns whether the request's own answer is complete if the server ends the connection in an
    /// orderly way now.
    pub fn is_whole_at_close(&self) -> bool {
        self.owner == Some(Owner::WaitingRequest) && self.reader.is_whole_at_close()
    }

    /// Returns the request's own answer, which the caller knows to be complete; `None` without one.
    /// `is_all_read` states that no bytes followed it. The connection cannot be reused otherwise,
    /// nor after a mismatched answer.
    pub fn into_answer(self, is_all_read: bool) -> Option<MatchedAnswer> {
        if self.owner != Some(Owner::WaitingRequest) {
            return None;
        }
        let is_reusable = is_all_read && self.mismatched_answers == 0;
        let answer = self.reader.into_answer(is_reusable)?;
        let body = self.body.finish();
        Some(MatchedAnswer { answer, body })
    }

    /// Removes and returns the mismatched answers that were skipped since the last call.
    pub fn take_skipped(&mut self) -> Vec<MismatchedAnswer> {
        std::mem::take(&mut self.skipped)
    }
}
