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
    pieces: VecDeque<Bytes>,
    tail: BytesMut,
}

impl OutputQueue {
    /// Queues a copy of `bytes`.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
    }

    /// Queues `bytes`, which other queues may share.
    pub(crate) fn push_shared(&mut self, bytes: &Bytes) {
        if bytes.len() < MIN_SHARED_BYTES {
            return self.push(bytes);
        }
        if !self.tail.is_empty() {
            self.pieces.push_back(self.tail.split().freeze());
        }
        self.pieces.push_back(bytes.clone());
    }

    /// Returns the next bytes to send; empty when the queue is empty.
    pub(crate) fn front(&self) -> &[u8] {
        self.pieces.front().map_or(&self.tail, |piece| piece)
    }

    /// Removes the first `count` bytes of [`OutputQueue::front`], which were sent.
    pub(crate) fn advance(&mut self, count: usize) {
        match self.pieces.front_mut() {
            Some(piece) => {
                piece.advance(count);
                if piece.is_empty() {
                    self.pieces.pop_front();
                }
            }
            None => self.tail.advance(count),
        }
    }

    /// Returns the number of queued bytes.
    pub(crate) fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum::<usize>() + self.tail.len()
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
