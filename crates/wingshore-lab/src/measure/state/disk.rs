//! The machine's own bare write and sync, to compare commits with.

use super::error::{IoSnafu, StateError};
use super::figures::Spread;
use serde::Serialize;
use snafu::ResultExt;
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Bytes of one write: about what one commit takes in the log.
const WRITE_BYTES: usize = 256;

/// Bare writes, each synced, of some files side by side.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DiskFigures {
    /// Files written side by side.
    pub files: usize,
    /// Bytes of a write.
    pub bytes: usize,
    /// Synced writes a second, all files together.
    pub writes_per_second: f64,
    /// Time of one write and sync.
    pub latency: Spread,
}

impl fmt::Display for DiskFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} files, {} bytes: {:.0} writes/s, {}",
            self.files, self.bytes, self.writes_per_second, self.latency
        )
    }
}

/// Writes and syncs `files` files in `folder` for `length`.
///
/// # Errors
/// When the disk fails.
pub fn measure(folder: &Path, files: usize, length: Duration) -> Result<DiskFigures, StateError> {
    let writers: Vec<_> = (0..files)
        .map(|number| {
            let path = folder.join(format!("bare-{number}"));
            thread::spawn(move || {
                let written = write_for(&path, length);
                // It is of no further use, and lies in a folder that goes.
                let _ = std::fs::remove_file(&path);
                written.context(IoSnafu { path })
            })
        })
        .collect();
    let mut samples = Vec::new();
    for writer in writers {
        samples.extend(writer.join().map_err(|_| StateError::Panicked)??);
    }
    Ok(DiskFigures {
        files,
        bytes: WRITE_BYTES,
        writes_per_second: samples.len() as f64 / length.as_secs_f64(),
        latency: Spread::of(samples),
    })
}

/// As the segmented log does it: append, then sync the data.
fn write_for(path: &Path, length: Duration) -> std::io::Result<Vec<Duration>> {
    let mut file = File::create(path)?;
    let block = [0x5a; WRITE_BYTES];
    let mut samples = Vec::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let started = Instant::now();
        file.write_all(&block)?;
        file.sync_data()?;
        samples.push(started.elapsed());
    }
    Ok(samples)
}
