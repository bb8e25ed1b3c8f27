//! Bounded queue between the threads that send frames and the writer thread of a connection.

use crate::error::SendError;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of queued frames.
const MAX_QUEUED_FRAMES: usize = 16_384;

/// Maximum total size of queued frames, in bytes, equal to the maximum size of a frame body. An
/// empty queue accepts a frame of any size.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// Maximum size of one write to the socket, in bytes, except for a single larger frame.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Next action of the writer thread.
#[derive(Debug)]
pub(crate) enum NextWrite {
    /// Write these bytes, which are complete frames.
    Bytes(Vec<u8>),
    /// No frame was queued within the timeout.
    Idle,
    /// The queue is empty and accepts no more frames.
    Finished,
}

/// Queue of encoded frames for the writer thread.
#[derive(Debug, Default)]
pub(crate) struct OutboundQueue {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
    finished: bool,
}

impl OutboundQueue {
    /// Queues an encoded frame without waiting.
    pub(crate) fn push(&self, frame: Vec<u8>) -> Result<(), SendError> {
        let mut state = self.lock();
        if state.finished {
            return Err(SendError::NotConnected);
        }
        if state.is_full_for(frame.len()) {
            return Err(SendError::QueueFull);
        }
        state.bytes += frame.len();
        state.frames.push_back(frame);
        if state.frames.len() == 1 {
            self.changed.notify_one();
        }
        Ok(())
    }

    /// Takes the queued frames, up to the size of one write; waits up to `timeout` for the first.
    pub(crate) fn take(&self, timeout: Duration) -> NextWrite {
        let state = self.lock();
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, timeout, |state| {
                state.frames.is_empty() && !state.finished
            })
            .unwrap_or_else(PoisonError::into_inner);
        match state.take_batch() {
            Some(bytes) => NextWrite::Bytes(bytes),
            None if state.finished => NextWrite::Finished,
            None => NextWrite::Idle,
        }
    }

    /// Accepts no more frames; queued frames are still written.
    pub(crate) fn finish(&self) {
        self.lock().finished = true;
        self.changed.notify_all();
    }

    /// Accepts no more frames and drops the queued ones.
    pub(crate) fn abort(&self) {
        let mut state = self.lock();
        state.finished = true;
        state.frames.clear();
        state.bytes = 0;
        self.changed.notify_all();
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.lock().finished
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_full_for(&self, length: usize) -> bool {
        let has_frames = !self.frames.is_empty();
        let too_many = self.frames.len() >= MAX_QUEUED_FRAMES;
        let too_large = self.bytes + length > MAX_QUEUED_BYTES;
        has_frames && (too_many || too_large)
    }

    fn take_batch(&mut self) -> Option<Vec<u8>> {
        let mut batch = self.frames.pop_front()?;
        while let Some(next) = self.frames.front() {
            if batch.len() + next.len() > MAX_BATCH_BYTES {
                break;
            }
            batch.extend_from_slice(next);
            self.frames.pop_front();
        }
        self.bytes = self.bytes.saturating_sub(batch.len());
        Some(batch)
    }
}
