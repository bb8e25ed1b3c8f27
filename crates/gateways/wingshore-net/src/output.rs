//! Queue of bytes to be sent on one connection.

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;

/// Minimum length in bytes from which shared bytes are queued without a copy. Shorter ones are
/// copied to the end of the queued bytes, so that one system call sends both.
const MIN_SHARED_BYTES: usize = 4 * 1024;
/// Capacity in bytes above which an empty buffer is freed: otherwise a process with hundreds of
/// connections that each carried one large message would keep all of these buffers.
const MAX_IDLE_BUFFER_BYTES: usize = 32 * 1024;

/// Queue of bytes to be sent: complete pieces first, then the tail, to which further bytes are
/// appended.
///
/// Long pieces that are sent to many connections are shared, since a copy for each connection could
/// exceed the memory of the process.
#[derive(Default)]
pub(crate) struct OutputQueue {
    pieces: VecDeque<Piece>,
    tail: BytesMut,
}

/// A complete piece.
struct Piece {
    bytes: Bytes,
    /// Whether its owner counts it in the account of callers' memory.
    is_counted: bool,
}

impl OutputQueue {
    /// Queues a copy of `bytes`.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
    }

    /// Queues `bytes`, which other queues may share.
    pub(crate) fn push_shared(&mut self, bytes: &Bytes) {
        self.push_piece(bytes, false);
    }

    /// Queues `bytes`, which other queues may share and whose owner counts them in the account of
    /// callers' memory.
    pub(crate) fn push_counted(&mut self, bytes: &Bytes) {
        self.push_piece(bytes, true);
    }

    fn push_piece(&mut self, bytes: &Bytes, is_counted: bool) {
        if bytes.len() < MIN_SHARED_BYTES {
            return self.push(bytes);
        }
        if !self.tail.is_empty() {
            self.pieces.push_back(Piece {
                bytes: self.tail.split().freeze(),
                is_counted: false,
            });
        }
        self.pieces.push_back(Piece {
            bytes: bytes.clone(),
            is_counted,
        });
    }

    /// Returns the next bytes to send; empty when the queue is empty.
    pub(crate) fn front(&self) -> &[u8] {
        self.pieces.front().map_or(&self.tail, |piece| &piece.bytes)
    }

    /// Removes the first `count` bytes of [`OutputQueue::front`], which were sent.
    pub(crate) fn advance(&mut self, count: usize) {
        match self.pieces.front_mut() {
            Some(piece) => {
                piece.bytes.advance(count);
                if piece.bytes.is_empty() {
                    self.pieces.pop_front();
                }
            }
            None => self.tail.advance(count),
        }
    }

    /// Returns the number of queued bytes.
    pub(crate) fn len(&self) -> usize {
        let pieces = self.pieces.iter().map(|piece| piece.bytes.len());
        pieces.sum::<usize>() + self.tail.len()
    }

    /// Returns the number of queued bytes that no owner counts.
    pub(crate) fn own_len(&self) -> usize {
        let own = self.pieces.iter().filter(|piece| !piece.is_counted);
        own.map(|piece| piece.bytes.len()).sum::<usize>() + self.tail.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty() && self.tail.is_empty()
    }

    /// Frees the tail's buffer if it is empty and large.
    pub(crate) fn release_if_large(&mut self) {
        release_if_large(&mut self.tail);
    }
}

/// Frees a buffer that is empty and has a capacity above [`MAX_IDLE_BUFFER_BYTES`].
pub(crate) fn release_if_large(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}
