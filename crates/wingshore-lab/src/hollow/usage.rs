//! What a process uses, as the operating system and its own metrics tell.

use super::error::{HollowError, UsageSnafu};
use crate::http_client::HttpClient;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Ticks of processor time in a second, as Linux tells them to programs.
const TICKS_PER_SECOND: f64 = 100.0;
/// The metric that counts a replica's durable writes, one line a group.
const WRITES_METRIC: &str = "wingshore_replica_write_seconds_count{";
/// Longest reading of a process's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time, in seconds.
    pub processor_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
    /// Bytes written to disk.
    pub disk_bytes: u64,
    /// Writes made durable; zero where the process has no metrics of them.
    pub syncs: u64,
    /// Frames sent and received, with their bytes; zero where the process has no metrics.
    pub frames: FrameCounts,
}

/// Frames and bytes, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameCounts {
    /// Frames sent.
    pub frames_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

impl Usage {
    /// Reads what process `id` has used; its metrics are at `metrics`.
    ///
    /// # Errors
    /// When the process is gone.
    pub fn read(id: u32, metrics: Option<SocketAddr>) -> Result<Self, HollowError> {
        let statistics = proc_file(id, "stat")?;
        let status = proc_file(id, "status")?;
        let disk = proc_file(id, "io")?;
        let metrics = metrics.map(read_metrics).unwrap_or_default();
        Ok(Self {
            processor_seconds: processor_seconds(&statistics),
            resident_bytes: status_number(&status, "VmRSS:") * 1024,
            threads: status_number(&status, "Threads:"),
            disk_bytes: status_number(&disk, "write_bytes:"),
            syncs: sync_count(&metrics),
            frames: frame_counts(&metrics),
        })
    }
}

fn proc_file(id: u32, name: &str) -> Result<String, HollowError> {
    std::fs::read_to_string(format!("/proc/{id}/{name}")).context(UsageSnafu { id })
}

/// User and system time: the 14th and 15th field; the name before them may hold spaces.
pub fn processor_seconds(statistics: &str) -> f64 {
    let after_name = statistics.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index).and_then(|field| field.parse().ok());
        field.unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// The number after `key` in `/proc/<id>/status` or `/proc/<id>/io`.
pub fn status_number(status: &str, key: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn read_metrics(address: SocketAddr) -> String {
    let client = HttpClient::new(METRICS_TIMEOUT);
    let answer = client.get(&format!("http://{address}/metrics"), &[]);
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    text.unwrap_or_default()
}

/// Durable writes of all groups among a replica's metrics.
pub fn sync_count(metrics: &str) -> u64 {
    let counts = metrics
        .lines()
        .filter(|line| line.starts_with(WRITES_METRIC));
    let numbers = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    numbers.sum()
}

/// The transport's counters among a process's metrics.
pub fn frame_counts(metrics: &str) -> FrameCounts {
    let number = |name: &str| {
        let line = metrics.lines().find(|line| {
            !line.starts_with('#')
                && line
                    .split(' ')
                    .next()
                    .is_some_and(|key| key.ends_with(name))
        });
        let value = line.and_then(|line| line.split(' ').nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    FrameCounts {
        frames_sent: number("_frames_sent_total"),
        bytes_sent: number("_frame_bytes_sent_total"),
        frames_received: number("_frames_received_total"),
        bytes_received: number("_frame_bytes_received_total"),
    }
}
