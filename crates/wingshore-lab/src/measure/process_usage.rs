//! Processor time and memory of a process, from `/proc`.

use super::error::{MeasureError, ProcessCountersSnafu};
use snafu::OptionExt;
use std::time::Duration;

/// The kernel reports processor time to programs in these ticks per second, on every machine.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes of a kibibyte.
const KIBIBYTE: u64 = 1024;
/// Fields of `stat` after the name: user time, then system time.
const USER_TIME_FIELD: usize = 11;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub processor: Duration,
    /// Memory that it holds now, in bytes.
    pub resident: u64,
    /// Threads that it has now.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads the counters of process `id`.
    ///
    /// # Errors
    /// When it does not run.
    pub fn read(id: u32) -> Result<Self, MeasureError> {
        let status_path = format!("/proc/{id}/status");
        let status = read(&status_path)?;
        Ok(Self {
            processor: processor_time(id)?,
            resident: status_value(&status, "VmRSS:", &status_path)? * KIBIBYTE,
            threads: status_value(&status, "Threads:", &status_path)?,
        })
    }
}

fn processor_time(id: u32) -> Result<Duration, MeasureError> {
    let path = format!("/proc/{id}/stat");
    let stat = read(&path)?;
    // The name before may hold spaces and brackets; the last bracket ends it.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let mut next = || times.next().and_then(|text| text.parse::<u64>().ok());
    let (user, system) = next().zip(next()).with_context(|| ProcessCountersSnafu {
        path: path.clone(),
        message: "no processor times",
    })?;
    Ok(Duration::from_millis(
        (user + system) * 1000 / TICKS_PER_SECOND,
    ))
}

fn status_value(status: &str, key: &str, path: &str) -> Result<u64, MeasureError> {
    status
        .lines()
        .find_map(|line| line.strip_prefix(key))
        .and_then(|value| value.split_whitespace().next())
        .and_then(|value| value.parse().ok())
        .with_context(|| ProcessCountersSnafu {
            path,
            message: format!("no {key}"),
        })
}

fn read(path: &str) -> Result<String, MeasureError> {
    std::fs::read_to_string(path).map_err(|error| MeasureError::ProcessCounters {
        path: path.to_owned(),
        message: error.to_string(),
    })
}
