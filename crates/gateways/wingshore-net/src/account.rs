//! Account of the memory that the callers of a process use.
//!
//! Every buffer of a caller goes through one [`Account`]: received bytes, heads and bodies of
//! requests, answers that arrive for them, output that is not sent yet, and what the kernel may hold
//! for connections that are not being read. The account only counts. Who is shed when it is full
//! is the decision of [`crate::callers`].
//!
//! **Invariant.** The count of a part is the sum of its [`Charge`]s: it is never negative, and zero
//! when all of them are gone.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of bytes of each body that count as [`Part::Bodies`]; bodies that are not longer are small.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// What the memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Received bytes that were not parsed yet, and heads of requests.
    Input,
    /// The first [`SMALL_BODY_BYTES`] of each body of a request.
    Bodies,
    /// What bodies of requests have beyond that.
    LargeBodies,
    /// Bodies of servers' answers that have not arrived completely.
    Answers,
    /// Bytes to callers that are not sent yet.
    Output,
    /// Bytes that the kernel may hold for connections that are not being read, or do not read.
    Kernel,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 6] = [
        Self::Input,
        Self::Bodies,
        Self::LargeBodies,
        Self::Answers,
        Self::Output,
        Self::Kernel,
    ];

    /// Returns the name of the part in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Input => "input",
            Self::Bodies => "bodies",
            Self::LargeBodies => "large_bodies",
            Self::Answers => "answers",
            Self::Output => "output",
            Self::Kernel => "kernel",
        }
    }
}

/// Bytes in use, by part. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Account(Arc<[AtomicUsize; Part::ALL.len()]>);

impl Account {
    /// Returns the bytes in use as `part`.
    pub fn used(&self, part: Part) -> usize {
        self.counter(part).load(Ordering::Relaxed)
    }

    /// Returns the bytes in use as any part.
    pub fn total(&self) -> usize {
        Part::ALL.into_iter().map(|part| self.used(part)).sum()
    }

    /// Counts `bytes` as used until the charge is dropped.
    pub fn charge(&self, part: Part, bytes: usize) -> Charge {
        self.counter(part).fetch_add(bytes, Ordering::Relaxed);
        Charge {
            account: self.clone(),
            part,
            bytes,
        }
    }

    fn counter(&self, part: Part) -> &AtomicUsize {
        &self.0[part as usize]
    }
}

/// Bytes that are counted in an [`Account`] until this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    part: Part,
    bytes: usize,
}

impl Charge {
    /// Returns the counted bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of counted bytes.
    pub fn set(&mut self, bytes: usize) {
        let counter = self.account.counter(self.part);
        if bytes >= self.bytes {
            counter.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            counter.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Memory with its charge, as the owner of shared bytes.
struct ChargedMemory {
    memory: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedMemory {
    fn as_ref(&self) -> &[u8] {
        &self.memory
    }
}

/// Makes `memory` shareable; the charge ends with the last share.
pub(crate) fn share(memory: Vec<u8>, charge: Charge) -> Bytes {
    Bytes::from_owner(ChargedMemory {
        memory,
        _charge: charge,
    })
}
