//! The append-only log of a stand-in: one JSON object a line, flushed at each.

use crate::events::{Event, Record};
use snafu::{ResultExt, Snafu};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Why a log cannot be written or read.
#[derive(Debug, Snafu)]
pub enum EventLogError {
    /// The file cannot be opened.
    #[snafu(display("cannot open the log {}: {source}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file cannot be read.
    #[snafu(display("cannot read the log {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        source: std::io::Error,
    },
    /// A line is no record.
    #[snafu(display("{}, line {line}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        source: serde_json::Error,
    },
}

/// A log that several threads write to.
#[derive(Clone)]
pub struct EventLog {
    source: Arc<str>,
    file: Arc<Mutex<File>>,
}

impl EventLog {
    /// Opens `path` for appending; a process that starts again goes on in the same file.
    pub fn open(path: &Path, source: &str) -> Result<Self, EventLogError> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .context(OpenSnafu { path })?;
        Ok(Self {
            source: Arc::from(source),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Writes one event. A log that cannot be written ends the process: a run whose log has
    /// holes proves nothing.
    pub fn write(&self, event: Event) {
        let record = Record {
            at_us: now_us(),
            source: self.source.to_string(),
            event,
        };
        let written = serde_json::to_string(&record)
            .map_err(std::io::Error::other)
            .and_then(|line| self.append(line));
        if let Err(error) = written {
            eprintln!("{}: cannot write the log: {error}", self.source);
            std::process::exit(1);
        }
    }

    fn append(&self, mut line: String) -> std::io::Result<()> {
        line.push('\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes())
    }
}

/// Microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Reads a whole log. A last line without its end is left out: its writer was killed.
pub fn read_log(path: &Path) -> Result<Vec<Record>, EventLogError> {
    let file = File::open(path).context(OpenSnafu { path })?;
    let mut reader = BufReader::new(file);
    let mut records = Vec::new();
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line).context(ReadSnafu { path })?;
        if !line.ends_with('\n') {
            return Ok(records);
        }
        records.push(serde_json::from_str(&line).context(ParseSnafu {
            path,
            line: records.len() + 1,
        })?);
    }
}
