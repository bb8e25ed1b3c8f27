//! Bodies of messages, held once: in pieces that all who need the body share.

use crate::account::{Account, Charge, Part, SMALL_BODY_BYTES, share};
use bytes::{Buf, Bytes};
use std::borrow::Cow;
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read};

/// Length in bytes of the pieces of long bodies. Pieces of one size leave no gaps in the heap that
/// later ones could not use.
const PIECE_BYTES: usize = SMALL_BODY_BYTES;
/// Smallest capacity in bytes of the first piece of a body that is longer.
const FIRST_CAPACITY: usize = 1024;

/// The body of a message. Clones share its memory.
#[derive(Clone, Default)]
pub struct MessageBody {
    pieces: Vec<Bytes>,
    length: usize,
    /// Whether the pieces are counted in the account of callers' memory.
    is_counted: bool,
}

impl MessageBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes in order, in pieces that can be shared.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }

    /// Returns whether the pieces are counted in the account of callers' memory.
    pub(crate) fn is_counted(&self) -> bool {
        self.is_counted
    }

    /// Returns all bytes in one piece: a copy unless the body has one piece only.
    pub fn contiguous(&self) -> Cow<'_, [u8]> {
        match self.pieces.as_slice() {
            [] => Cow::Borrowed(&[]),
            [only] => Cow::Borrowed(only),
            pieces => Cow::Owned(pieces.concat()),
        }
    }

    /// Returns a reader of the bytes, which frees each piece once it was read.
    pub fn into_reader(self) -> impl Read {
        PiecesReader {
            current: Bytes::new(),
            later: self.pieces.into_iter(),
        }
    }
}

/// Reads the pieces of a body one after the other.
struct PiecesReader {
    current: Bytes,
    later: std::vec::IntoIter<Bytes>,
}

impl Read for PiecesReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.current.is_empty() {
            match self.later.next() {
                Some(piece) => self.current = piece,
                None => return Ok(0),
            }
        }
        let count = self.current.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.current[..count]);
        self.current.advance(count);
        Ok(count)
    }
}

impl From<Vec<u8>> for MessageBody {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let pieces = if bytes.is_empty() {
            Vec::new()
        } else {
            vec![Bytes::from(bytes)]
        };
        Self {
            pieces,
            length,
            is_counted: false,
        }
    }
}

impl PartialEq for MessageBody {
    fn eq(&self, other: &Self) -> bool {
        self.length == other.length && self.contiguous() == other.contiguous()
    }
}

impl Eq for MessageBody {}

impl Debug for MessageBody {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}",
            Bytes::from(self.contiguous().into_owned())
        )
    }
}

/// A body that is arriving, whose memory is in the account from its first byte on.
pub struct ArrivingBody {
    account: Account,
    /// What the pieces behind the first one are counted as.
    later_part: Part,
    /// Complete pieces.
    pieces: Vec<Bytes>,
    /// The piece that is being filled, and its charge.
    current: Vec<u8>,
    charge: Charge,
    /// Bytes in all pieces.
    length: usize,
    /// The declared length; `None` if it is not known in advance.
    declared: Option<usize>,
}

impl ArrivingBody {
    /// Creates the body of a request, without bytes.
    pub fn of_request(account: &Account, declared: Option<usize>) -> Self {
        Self::new(account, (Part::Bodies, Part::LargeBodies), declared)
    }

    /// Creates the body of a server's answer, without bytes.
    pub fn of_answer(account: &Account) -> Self {
        Self::new(account, (Part::Answers, Part::Answers), None)
    }

    fn new(
        account: &Account,
        (first_part, later_part): (Part, Part),
        declared: Option<usize>,
    ) -> Self {
        Self {
            account: account.clone(),
            later_part,
            pieces: Vec::new(),
            current: Vec::new(),
            charge: account.charge(first_part, 0),
            length: 0,
            declared,
        }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes have arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Removes and returns the bytes that have arrived.
    pub fn take(&mut self) -> Vec<u8> {
        let current = std::mem::take(&mut self.current);
        self.charge.set(0);
        self.length = 0;
        if self.pieces.is_empty() {
            return current;
        }
        let mut bytes = std::mem::take(&mut self.pieces).concat();
        bytes.extend_from_slice(&current);
        bytes
    }

    /// Returns the declared length; `None` if it is not known in advance.
    pub(super) fn declared(&self) -> Option<usize> {
        self.declared
    }

    /// Adds bytes at the end.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            self.make_room(bytes.len());
            let room = self.current.capacity() - self.current.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.current.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
    }

    /// Makes room for at least one byte in the current piece, and for `wanted` ones if a piece may
    /// have so many.
    fn make_room(&mut self, wanted: usize) {
        if self.current.len() < self.current.capacity() {
            return;
        }
        if self.current.len() >= PIECE_BYTES {
            self.end_piece();
        }
        let filled = self.current.len();
        let still_to_come = self
            .declared
            .map(|declared| declared.saturating_sub(self.length));
        let most = filled.saturating_add(still_to_come.unwrap_or(PIECE_BYTES));
        let capacity = (filled + wanted).max(filled * 2).max(FIRST_CAPACITY);
        let capacity = capacity.min(most).clamp(filled + 1, PIECE_BYTES);
        self.current.reserve_exact(capacity - filled);
        self.charge.set(self.current.capacity());
    }

    /// Ends the current piece.
    fn end_piece(&mut self) {
        let next = self.account.charge(self.later_part, 0);
        let charge = std::mem::replace(&mut self.charge, next);
        let memory = std::mem::take(&mut self.current);
        self.pieces.push(share(memory, charge));
    }

    /// Returns the body, which is complete.
    pub fn finish(mut self) -> MessageBody {
        if !self.current.is_empty() {
            self.end_piece();
        }
        MessageBody {
            pieces: self.pieces,
            length: self.length,
            is_counted: true,
        }
    }
}
