//! Decision: which bodies of callers are held while they arrive, and which give way?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The limit for all bodies of a node in bytes, the bytes that arrive of each, and the
//! order in which they arrive.
//!
//! **Rule.** A body takes memory as its bytes arrive and gives it back when its request is answered.
//! Where there is no room, the incomplete body that has made no progress for longest loses what it
//! has: large ones first, then others. Large bodies may use seven eighths of the limit. A body that
//! finds nobody else to give way loses its own memory.
//!
//! **Why.** The HTTP library leaves no way to close the connection of a caller that has stopped, but
//! what the caller has sent need not be kept. Progress separates a slow legal body from one that has
//! stopped, and small requests never wait behind large ones.
//!
//! **Stale or missing inputs.** None: each body tells of its own bytes.
//!
//! The memory is a pool of blocks that all threads share. Each body is read by a thread of its own,
//! and the heap of a thread keeps what was freed there: bodies that gave way would still be resident.

use crate::lock::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Largest body in bytes that counts as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the limit that large bodies may use, in eighths.
const LARGE_BODY_EIGHTHS: usize = 7;

/// Length of a block of the pool in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// The bodies that a node holds.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    bodies: Mutex<Bodies>,
}

#[derive(Debug, Default)]
struct Bodies {
    /// Bytes of all bodies.
    used: usize,
    /// Bytes of large bodies.
    used_by_large: usize,
    /// Number of the last body, and of the last progress.
    counter: u64,
    /// Incomplete bodies by their number.
    arriving: BTreeMap<u64, ArrivingBody>,
    /// Empty blocks that no body uses.
    pool: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct ArrivingBody {
    /// Full blocks, and one that is being filled.
    blocks: Vec<Vec<u8>>,
    /// Bytes in all blocks.
    length: usize,
    /// When it last made progress, by the counter.
    progress: u64,
}

impl ArrivingBody {
    fn is_large(&self) -> bool {
        self.length > SMALL_BODY_BYTES
    }

    /// Adds bytes at the end, in blocks of the pool.
    fn extend(&mut self, mut bytes: &[u8], pool: &mut Vec<Vec<u8>>) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| BLOCK_BYTES - block.len());
            if room == 0 {
                let block = pool.pop();
                let block = block.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES));
                self.blocks.push(block);
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            bytes = later;
        }
    }
}

/// The reason that a body lost its memory: there is no room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl BodyMemory {
    /// Creates the memory for bodies of at most `limit` bytes together.
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            bodies: Mutex::default(),
        })
    }

    /// Returns the bytes of all bodies that are held.
    pub fn used(&self) -> usize {
        lock(&self.bodies).used
    }

    /// Begins a body.
    pub fn begin(self: &Arc<Self>) -> BodySlot {
        let mut bodies = lock(&self.bodies);
        bodies.counter += 1;
        let number = bodies.counter;
        let body = ArrivingBody {
            progress: number,
            ..ArrivingBody::default()
        };
        bodies.arriving.insert(number, body);
        BodySlot {
            memory: Arc::clone(self),
            number,
        }
    }

    fn large_limit(&self) -> usize {
        self.limit / 8 * LARGE_BODY_EIGHTHS
    }
}

impl Bodies {
    /// Adds bytes to an incomplete body.
    fn extend(&mut self, number: u64, bytes: &[u8]) -> Result<(), NoRoom> {
        self.counter += 1;
        let body = self.arriving.get_mut(&number).ok_or(NoRoom)?;
        let was_large = body.is_large();
        body.progress = self.counter;
        body.extend(bytes, &mut self.pool);
        self.used += bytes.len();
        if body.is_large() {
            let length = body.length;
            self.used_by_large += if was_large { bytes.len() } else { length };
        }
        Ok(())
    }

    /// Removes an incomplete body and what it holds.
    fn remove(&mut self, number: u64) {
        if let Some(body) = self.arriving.remove(&number) {
            self.release(body.length);
            self.recycle(body.blocks);
        }
    }

    /// Puts blocks back into the pool.
    fn recycle(&mut self, blocks: Vec<Vec<u8>>) {
        self.pool.extend(blocks.into_iter().map(|mut block| {
            block.clear();
            block
        }));
    }

    /// Gives back the memory of a body.
    fn release(&mut self, length: usize) {
        self.used -= length;
        if length > SMALL_BODY_BYTES {
            self.used_by_large -= length;
        }
    }

    /// Takes the memory of incomplete bodies until all fit.
    fn make_room(&mut self, limit: usize, large_limit: usize) {
        while self.used > limit || self.used_by_large > large_limit {
            let is_for_large = self.used_by_large > large_limit;
            let holding = self.arriving.iter();
            let holding = holding.filter(|(_, body)| body.length > 0);
            let holding = holding.filter(|(_, body)| !is_for_large || body.is_large());
            let first = holding.min_by_key(|(_, body)| (!body.is_large(), body.progress));
            let Some(number) = first.map(|(number, _)| *number) else {
                return;
            };
            self.remove(number);
        }
    }
}

/// A body that is arriving; what it holds is given back when this is dropped.
#[derive(Debug)]
pub struct BodySlot {
    memory: Arc<BodyMemory>,
    number: u64,
}

impl BodySlot {
    /// Adds bytes that have arrived.
    ///
    /// # Errors
    /// When there is no room for this body: it has lost what it held.
    pub fn extend(&self, bytes: &[u8]) -> Result<(), NoRoom> {
        let memory = &self.memory;
        let mut bodies = lock(&memory.bodies);
        bodies.extend(self.number, bytes)?;
        bodies.make_room(memory.limit, memory.large_limit());
        let is_held = bodies.arriving.contains_key(&self.number);
        is_held.then_some(()).ok_or(NoRoom)
    }

    /// Returns the body, which is complete, and what it holds of the memory.
    ///
    /// # Errors
    /// When there was no room for this body.
    pub fn finish(self) -> Result<(Vec<u8>, BodyCharge), NoRoom> {
        let mut bodies = lock(&self.memory.bodies);
        let body = bodies.arriving.remove(&self.number).ok_or(NoRoom)?;
        let bytes = body.blocks.concat();
        bodies.recycle(body.blocks);
        let charge = BodyCharge {
            memory: Arc::clone(&self.memory),
            length: body.length,
        };
        Ok((bytes, charge))
    }
}

impl Drop for BodySlot {
    fn drop(&mut self) {
        lock(&self.memory.bodies).remove(self.number);
    }
}

/// What a complete body holds of the memory, until this is dropped.
#[derive(Debug)]
pub struct BodyCharge {
    memory: Arc<BodyMemory>,
    length: usize,
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        lock(&self.memory.bodies).release(self.length);
    }
}
