//! Bytes that wait to leave on one connection.

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;

/// Shared bytes from this length on are queued as they are. Shorter ones are copied behind what
/// waits already, so that they leave with it in one system call.
const SHARED_FROM: usize = 4 * 1024;
/// An empty buffer that has grown beyond this many bytes is freed: a process with hundreds of
/// connections that each carried one large message must not hold on to all of them.
const MAX_IDLE_BUFFER: usize = 32 * 1024;

/// The queue: whole pieces first, then what is still being gathered.
///
/// Long pieces that many connections are sent are held once: copies for each could exceed the
/// memory of the process.
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

    /// Queues `bytes`, which other queues may hold as well.
    pub(crate) fn push_shared(&mut self, bytes: &Bytes) {
        if bytes.len() < SHARED_FROM {
            return self.push(bytes);
        }
        if !self.tail.is_empty() {
            self.pieces.push_back(self.tail.split().freeze());
        }
        self.pieces.push_back(bytes.clone());
    }

    /// The bytes that leave next; empty when none wait.
    pub(crate) fn front(&self) -> &[u8] {
        self.pieces.front().map_or(&self.tail, |piece| piece)
    }

    /// The first `count` bytes of [`OutputQueue::front`] have left.
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

    /// Bytes that wait.
    pub(crate) fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum::<usize>() + self.tail.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty() && self.tail.is_empty()
    }

    /// Frees the buffer if it is empty and large.
    pub(crate) fn release_if_large(&mut self) {
        release_if_large(&mut self.tail);
    }
}

/// Frees a buffer that is empty and large.
pub(crate) fn release_if_large(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER {
        *buffer = BytesMut::new();
    }
}
