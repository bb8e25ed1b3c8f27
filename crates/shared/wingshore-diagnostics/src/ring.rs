//! A bounded ring of log lines.

use slog::{Drain, KV, OwnedKVList, Record, Serializer};
use snafu::{ResultExt, Snafu};
use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::fs::{File, create_dir_all};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Failure to write the ring to a file.
#[derive(Debug, Snafu)]
#[snafu(display("cannot write the log ring to {}: {source}", path.display()))]
pub struct DumpError {
    /// Path of the file.
    path: PathBuf,
    /// Cause.
    source: std::io::Error,
}

/// The newest log lines of a process.
pub struct LogRing {
    capacity: usize,
    lines: Mutex<VecDeque<String>>,
}

impl LogRing {
    /// Creates a ring that keeps the newest `capacity` lines, at least one.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            lines: Mutex::new(VecDeque::new()),
        }
    }

    /// Adds a line; drops the oldest one if the ring is full.
    pub(crate) fn push(&self, line: String) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == self.capacity {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns all lines, oldest first.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }

    /// Writes the ring to a new file `log-<milliseconds since 1970>.txt` in `folder` and returns
    /// its path.
    ///
    /// # Errors
    /// If the folder or the file cannot be written; the lines then go to standard error.
    pub(crate) fn write_to_folder(&self, folder: &Path, reason: &str) -> Result<String, DumpError> {
        let path = folder.join(format!("log-{}.txt", since_epoch().as_millis()));
        let written = self.try_write(folder, &path, reason);
        if written.is_err() {
            self.write_to_standard_error(reason);
        }
        written.context(DumpSnafu { path: &path })?;
        Ok(path.display().to_string())
    }

    /// Writes the ring to standard error.
    pub(crate) fn write_to_standard_error(&self, reason: &str) {
        eprintln!("log ring, written because of: {reason}");
        for line in self.lines() {
            eprintln!("{line}");
        }
    }

    fn try_write(&self, folder: &Path, path: &Path, reason: &str) -> std::io::Result<()> {
        create_dir_all(folder)?;
        let mut file = File::create(path)?;
        writeln!(file, "written because of: {reason}")?;
        for line in self.lines() {
            writeln!(file, "{line}")?;
        }
        file.sync_all()
    }
}

/// Drain that formats records into lines of the ring.
pub(crate) struct RingDrain {
    ring: Arc<LogRing>,
}

impl RingDrain {
    pub(crate) fn new(ring: Arc<LogRing>) -> Self {
        Self { ring }
    }
}

impl Drain for RingDrain {
    type Ok = ();
    type Err = fmt::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), fmt::Error> {
        let mut line = format!(
            "{:.3} {} {}",
            since_epoch().as_secs_f64(),
            record.level().as_short_str(),
            record.msg()
        );
        let mut serializer = LineSerializer { line: &mut line };
        let formatted = record
            .kv()
            .serialize(record, &mut serializer)
            .and_then(|()| values.serialize(record, &mut serializer));
        self.ring.push(line);
        formatted.map_err(|_| fmt::Error)
    }
}

/// Appends ` key=value` pairs to a line.
struct LineSerializer<'a> {
    line: &'a mut String,
}

impl Serializer for LineSerializer<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.line, " {key}={value}").map_err(slog::Error::from)
    }
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
}
