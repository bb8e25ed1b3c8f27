//! Structured logs on standard output: one JSON object a line.
//!
//! A thread of its own writes them, and nobody waits for it. Which lines are written is decided by two
//! rules:
//!
//! - Budget ([`BudgetDrain`]): a second has a fixed number of lines, of which a part is reserved for
//!   warnings and errors; lines beyond it are left out and counted, and a line reports how many.
//! - Sampling ([`RequestSampler`]): lines about requests that went well are written for a share of the
//!   requests, chosen by a hash of the request's identity. After each second the share shrinks in
//!   proportion if there were too many lines, and doubles if there were fewer than half as many. The same
//!   request is chosen in every process with the same share, so that all lines of a sampled request are
//!   written. Lines about failures are not sampled.

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Lines that may wait for the thread that writes.
const QUEUE: usize = 2048;
/// The time over which the budget is counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest wait at the end of a process for lines that were not written yet.
const FLUSH_LIMIT: Duration = Duration::from_millis(250);
/// The share in which all requests are in the sample.
const WHOLE: u64 = 1 << 16;

/// What a process may write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBudget {
    /// Maximal number of lines a second.
    pub lines_per_second: u64,
    /// Of these, reserved for lines about failures (warnings and errors).
    pub kept_for_failures: u64,
    /// Target for lines a second about requests that went well; beyond it fewer requests are sampled.
    pub sampled_lines_per_second: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            lines_per_second: 400,
            kept_for_failures: 100,
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
    /// Lines that were left out since the start.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// The log of one process. Lines that wait are written when it is dropped, within a limit.
pub struct StructuredLog {
    logger: Logger,
    counts: LogCounts,
    guard: Option<AsyncGuard>,
}

impl StructuredLog {
    /// Begins to write to standard output.
    pub fn start(budget: LogBudget) -> Self {
        let json = slog_json::Json::new(std::io::stdout())
            .add_default_keys()
            .set_newlines(true)
            .build()
            .ignore_res();
        let (drain, guard) = Async::new(json)
            .chan_size(QUEUE)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        let counts = LogCounts::default();
        let drain = BudgetDrain {
            inner: Logger::root(drain.ignore_res(), o!()),
            budget,
            begun: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU64::new(0),
            unreported: AtomicU64::new(0),
            counts: counts.clone(),
        };
        Self {
            logger: Logger::root(drain, o!()),
            counts,
            guard: Some(guard),
        }
    }

    /// The logger.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Counts of lines.
    pub fn counts(&self) -> LogCounts {
        self.counts.clone()
    }
}

impl Drop for StructuredLog {
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        // A reader that has stopped reading must not hold the end of the process up.
        let (done, written) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        let _ = written.recv_timeout(FLUSH_LIMIT);
    }
}

/// Lets only so many lines a second through.
struct BudgetDrain {
    inner: Logger,
    budget: LogBudget,
    begun: Instant,
    /// The window that is counted.
    second: AtomicU64,
    /// Lines in it.
    lines: AtomicU64,
    /// Lines left out that no line has reported yet.
    unreported: AtomicU64,
    counts: LogCounts,
}

impl BudgetDrain {
    /// Counts a line, if it fits.
    fn takes(&self, level: Level) -> bool {
        let second = self.begun.elapsed().as_secs() / WINDOW.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let reserved = if level.is_at_least(Level::Warning) {
            0
        } else {
            self.budget.kept_for_failures
        };
        let max = self.budget.lines_per_second.saturating_sub(reserved);
        let fits = self.lines.load(Ordering::Relaxed) < max;
        if fits {
            self.lines.fetch_add(1, Ordering::Relaxed);
        }
        fits
    }
}

impl Drain for BudgetDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        if !self.takes(record.level()) {
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

/// Chooses which requests are logged that went well.
///
/// The same request is chosen in every process that has the same share, and a smaller share is
/// part of each larger one: what one process logs of a request, less busy ones log too.
#[derive(Debug)]
pub struct RequestSampler {
    budget: u64,
    /// Of [`WHOLE`].
    share: u64,
    window_ends: Duration,
    lines: u64,
}

impl RequestSampler {
    /// A sampler that chooses all requests until there are too many.
    pub fn new(budget: LogBudget) -> Self {
        Self {
            budget: budget.sampled_lines_per_second,
            share: WHOLE,
            window_ends: Duration::ZERO,
            lines: 0,
        }
    }

    /// Whether to log a line about this request; `now` is any steady time.
    pub fn takes(&mut self, now: Duration, request: &str) -> bool {
        if now >= self.window_ends {
            self.window_ends = now + WINDOW;
            self.adapt();
        }
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        let taken = hasher.finish() % WHOLE < self.share;
        self.lines += u64::from(taken);
        taken
    }

    fn adapt(&mut self) {
        let lines = std::mem::take(&mut self.lines);
        if lines > self.budget {
            self.share = (self.share * self.budget / lines).max(1);
        } else if lines * 2 < self.budget {
            self.share = (self.share * 2).min(WHOLE);
        }
    }
}
