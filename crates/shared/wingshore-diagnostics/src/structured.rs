//! Structured logs on standard output, one JSON object per line.
//!
//! A dedicated thread writes the lines; logging never waits for it. Two rules decide which lines
//! are written:
//!
//! - Budget ([`BudgetDrain`]): each second has a fixed number of lines, part of which is reserved
//!   for warnings and errors. Lines beyond the budget are left out and counted; a later line
//!   reports the count.
//! - Sampling ([`RequestSampler`]): lines about successful requests are written for a share of the
//!   requests, chosen by a hash of the request id. After each second the share shrinks in
//!   proportion if there were more lines than the target, and doubles if there were fewer than half
//!   the target. Every process with the same share chooses the same requests, so that all lines of
//!   a sampled request are written. Lines about failures are not sampled.

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Capacity of the queue to the writing thread, in lines.
const QUEUE_LINES: usize = 2048;
/// Window over which the budget and the sampled lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum wait at process exit for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// The share at which all requests are sampled.
const FULL_SHARE: u64 = 1 << 16;

/// Limits on the log lines of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBudget {
    /// Maximum number of lines per second.
    pub lines_per_second: u64,
    /// Part of `lines_per_second` reserved for lines about failures (warnings and errors).
    pub reserved_for_failures: u64,
    /// Target number of lines per second about successful requests; above it fewer requests are
    /// sampled.
    pub sampled_lines_per_second: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            lines_per_second: 400,
            reserved_for_failures: 100,
            sampled_lines_per_second: 200,
        }
    }
}

/// Counts of lines, for metrics.
#[derive(Clone, Debug, Default)]
pub struct LogCounts {
    left_out: Arc<AtomicU64>,
}

impl LogCounts {
    /// Returns the number of lines left out since the process started.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// The structured log of one process. Dropping it writes the queued lines, within a time limit.
pub struct StructuredLog {
    logger: Logger,
    counts: LogCounts,
    guard: Option<AsyncGuard>,
}

impl StructuredLog {
    /// Starts the thread that writes to standard output.
    pub fn start(budget: LogBudget) -> Self {
        let json = slog_json::Json::new(std::io::stdout())
            .add_default_keys()
            .set_newlines(true)
            .build()
            .ignore_res();
        let (drain, guard) = Async::new(json)
            .chan_size(QUEUE_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let counts = LogCounts::default();
        let drain = BudgetDrain {
            inner: Logger::root(drain.ignore_res(), o!()),
            budget,
            started_at: Instant::now(),
            current_window: AtomicU64::new(0),
            lines_in_window: AtomicU64::new(0),
            unreported: AtomicU64::new(0),
            counts: counts.clone(),
        };
        Self {
            logger: Logger::root(drain, o!()),
            counts,
            guard: Some(guard),
        }
    }

    /// Returns the logger.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the counts of lines.
    pub fn counts(&self) -> LogCounts {
        self.counts.clone()
    }
}

impl Drop for StructuredLog {
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        // A reader of standard output that has stopped reading must not delay the process exit.
        let (done, written) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Drain that passes on only the lines within the budget.
struct BudgetDrain {
    inner: Logger,
    budget: LogBudget,
    started_at: Instant,
    /// Number of the window being counted, from `started_at`.
    current_window: AtomicU64,
    /// Lines passed on in the current window.
    lines_in_window: AtomicU64,
    /// Lines left out that no log line has reported yet.
    unreported: AtomicU64,
    counts: LogCounts,
}

impl BudgetDrain {
    /// Returns whether a line of this level fits the budget, and counts it if so.
    fn admits(&self, level: Level) -> bool {
        let window = self.started_at.elapsed().as_secs() / WINDOW.as_secs();
        if self.current_window.swap(window, Ordering::Relaxed) != window {
            self.lines_in_window.store(0, Ordering::Relaxed);
        }
        let reserved = if level.is_at_least(Level::Warning) {
            0
        } else {
            self.budget.reserved_for_failures
        };
        let max = self.budget.lines_per_second.saturating_sub(reserved);
        let fits = self.lines_in_window.load(Ordering::Relaxed) < max;
        if fits {
            self.lines_in_window.fetch_add(1, Ordering::Relaxed);
        }
        fits
    }
}

impl Drain for BudgetDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        if !self.admits(record.level()) {
            self.unreported.fetch_add(1, Ordering::Relaxed);
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let left_out = self.unreported.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            slog::warn!(self.inner, "log lines left out"; "lines" => left_out);
        }
        self.inner.log(record);
        Ok(())
    }
}

/// Chooses the successful requests that are logged.
///
/// Every process with the same share chooses the same requests, and a smaller share is a subset of
/// each larger one: requests logged by one process are also logged by less busy ones.
#[derive(Debug)]
pub struct RequestSampler {
    /// Target number of lines per window.
    target_lines: u64,
    /// Share of sampled requests, in units of 1/[`FULL_SHARE`].
    share: u64,
    window_end: Duration,
    /// Lines logged in the current window.
    lines: u64,
}

impl RequestSampler {
    /// Creates a sampler that chooses all requests until there are more lines than the target.
    pub fn new(budget: LogBudget) -> Self {
        Self {
            target_lines: budget.sampled_lines_per_second,
            share: FULL_SHARE,
            window_end: Duration::ZERO,
            lines: 0,
        }
    }

    /// Returns whether to log a line about `request`, and counts the line if so. `now` is a
    /// monotonic time with any origin.
    pub fn should_log(&mut self, now: Duration, request: &str) -> bool {
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.adjust_share();
        }
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        let is_sampled = hasher.finish() % FULL_SHARE < self.share;
        self.lines += u64::from(is_sampled);
        is_sampled
    }

    fn adjust_share(&mut self) {
        let lines = std::mem::take(&mut self.lines);
        if lines > self.target_lines {
            self.share = (self.share * self.target_lines / lines).max(1);
        } else if lines * 2 < self.target_lines {
            self.share = (self.share * 2).min(FULL_SHARE);
        }
    }
}
