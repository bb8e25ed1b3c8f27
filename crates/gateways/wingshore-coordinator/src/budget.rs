//! Division of a coordinator's memory limit among the parts of its state. A decision without I/O.
//!
//! Question: how many bytes may each part of the state use? Input: the memory limit of the process,
//! in bytes. Rule: each part gets a fixed fraction of the limit, but at least [`MIN_SHARE_BYTES`].
//! Why: the memory use of a member must follow from its settings, not from how long a site has run.

use std::fmt::{self, Display, Formatter};

/// Divisor of the limit that gives the share of result texts; texts beyond it move to disk.
/// Together the shares leave half of the limit for memory that depends on the number of servers,
/// gateways and remembered items.
const TEXTS_DIVISOR: u64 = 12;
/// Divisor of the limit that gives the share of the log between two snapshots, which a start loads
/// whole.
const LOG_DIVISOR: u64 = 8;
/// Divisor of the limit that gives the share of the contents of open jobs, which are in the state
/// and in snapshots. A submission beyond it is refused at once, with a Retry-After.
const OPEN_JOBS_DIVISOR: u64 = 8;
/// Divisor of the limit that gives the share of applied log entries kept for members that are
/// behind; a member further behind is sent a snapshot.
const CACHED_LOG_DIVISOR: u64 = 32;
/// Smallest share, in bytes. With less, each text would need a sync of its own.
const MIN_SHARE_BYTES: u64 = 64 << 10;

/// Memory limit of a coordinator, and the shares that follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Limit of the whole process, in bytes.
    limit: u64,
}

impl MemoryBudget {
    /// Limit in bytes where the settings give none.
    pub const DEFAULT_LIMIT: u64 = 256 << 20;

    /// Creates the budget of a process with a limit of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit }
    }

    /// Returns how many bytes of result texts may be in memory.
    pub fn texts(&self) -> usize {
        self.share(TEXTS_DIVISOR)
    }

    /// Returns how many bytes the contents of open jobs may have.
    pub fn open_jobs(&self) -> usize {
        self.share(OPEN_JOBS_DIVISOR)
    }

    /// Returns how many bytes of applied log entries may be in memory.
    pub fn cached_log(&self) -> usize {
        self.share(CACHED_LOG_DIVISOR)
    }

    fn share(&self, divisor: u64) -> usize {
        let share = (self.limit / divisor).max(MIN_SHARE_BYTES);
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Returns how many bytes of log may accumulate between two snapshots.
    pub fn log_between_snapshots(&self) -> u64 {
        (self.limit / LOG_DIVISOR).max(MIN_SHARE_BYTES)
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
