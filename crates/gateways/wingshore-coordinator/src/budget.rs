//! How the memory that a coordinator may have is divided. A decision without I/O.
//!
//! Question: how many bytes may each part of the state take? Input: the limit of the process, in
//! bytes. Rule: fixed parts of the limit, and no part below [`MIN_SHARE`]. Why: what a member holds
//! must follow from its settings, not from how long a site has run.

use std::fmt::{self, Display, Formatter};

/// Part of the limit for texts of results: what is more moves to disk. Together the shares leave half
/// of the limit for what follows from the number of servers, gateways and remembered items.
const TEXTS_PART: u64 = 12;
/// Part of the limit for the log between two snapshots, which a start holds whole.
const LOG_PART: u64 = 8;
/// Part of the limit for the contents of open jobs, which are in the state and in snapshots; beyond
/// it a submission is refused at once, with a Retry-After.
const OPEN_JOBS_PART: u64 = 8;
/// Part of the limit for applied entries that are kept for members that are behind; a member further
/// behind is sent a snapshot.
const CACHED_LOG_PART: u64 = 32;
/// Smallest share, in bytes: with less, each text would be a sync of its own.
const MIN_SHARE: u64 = 64 << 10;

/// The memory that a coordinator may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// In bytes.
    limit: u64,
}

impl MemoryBudget {
    /// Where the settings name no limit, in bytes.
    pub const DEFAULT_LIMIT: u64 = 256 << 20;

    /// Of a process that may have `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit }
    }

    /// Bytes of texts of results that may be in memory.
    pub fn texts(&self) -> usize {
        self.share(TEXTS_PART)
    }

    /// Bytes of the contents of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.share(OPEN_JOBS_PART)
    }

    /// Bytes of applied entries of the log that may be in memory.
    pub fn cached_log(&self) -> usize {
        self.share(CACHED_LOG_PART)
    }

    fn share(&self, part: u64) -> usize {
        let share = (self.limit / part).max(MIN_SHARE);
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Bytes of log between snapshots.
    pub fn log_between_snapshots(&self) -> u64 {
        (self.limit / LOG_PART).max(MIN_SHARE)
    }
}

impl Display for MemoryBudget {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} bytes: {} of texts, {} of log between snapshots",
            self.limit,
            self.texts(),
            self.log_between_snapshots()
        )
    }
}
