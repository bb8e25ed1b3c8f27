//! Requests a second that one node carries: callers that send again as soon as they are answered.

use super::quantiles::Quantiles;
use super::request::LiveRequest;
use crate::http_client::HttpClient;
use crate::measure::error::MeasureError;
use crate::measure::process_usage::ProcessUsage;
use crate::measure::quiet_site::Addresses;
use serde::Serialize;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Callers at once; fewer than a node has workers, so that none is refused for want of one.
const CALLERS: usize = 16;

/// What a node carried.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Throughput {
    /// The request.
    pub request: &'static str,
    /// Callers at once.
    pub callers: usize,
    /// Requests answered with success, a second.
    pub requests_per_second: f64,
    /// Requests that were not.
    pub failed: u64,
    /// Their latency.
    pub latency: Quantiles,
    /// Processor time of the node for each request, in microseconds.
    pub node_processor_us: f64,
    /// Memory of the node at the end, in MiB.
    pub node_resident_mib: f64,
}

/// What one caller saw.
#[derive(Default)]
struct CallerCount {
    latencies: Vec<Duration>,
    failed: u64,
}

/// Loads a node for `length`.
///
/// # Errors
/// When the node's counters cannot be read.
pub fn measure(
    kind: LiveRequest,
    addresses: &Addresses,
    node_process: u32,
    length: Duration,
) -> Result<Throughput, MeasureError> {
    let before = ProcessUsage::read(node_process)?;
    let started = Instant::now();
    let counts = load(kind, addresses, length);
    let elapsed = started.elapsed();
    let after = ProcessUsage::read(node_process)?;
    let latencies: Vec<Duration> = counts
        .iter()
        .flat_map(|count| count.latencies.iter().copied())
        .collect();
    let answered = latencies.len() as f64;
    let processor = after.processor.saturating_sub(before.processor);
    Ok(Throughput {
        request: kind.name(),
        callers: CALLERS,
        requests_per_second: answered / elapsed.as_secs_f64(),
        failed: counts.iter().map(|count| count.failed).sum(),
        latency: Quantiles::of(latencies),
        node_processor_us: processor.as_secs_f64() * 1e6 / answered.max(1.0),
        node_resident_mib: after.resident as f64 / f64::from(1 << 20),
    })
}

fn load(kind: LiveRequest, addresses: &Addresses, length: Duration) -> Vec<CallerCount> {
    let end = Instant::now() + length;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(move || call_until(end, kind, addresses)))
            .collect();
        callers
            .into_iter()
            .filter_map(|caller| caller.join().ok())
            .collect()
    })
}

fn call_until(end: Instant, kind: LiveRequest, addresses: &Addresses) -> CallerCount {
    let client = HttpClient::new(TIMEOUT);
    let mut count = CallerCount::default();
    while Instant::now() < end {
        let started = Instant::now();
        match kind.send_to_node(&client, addresses) {
            Ok(()) => count.latencies.push(started.elapsed()),
            Err(_) => count.failed += 1,
        }
    }
    count
}

impl Throughput {
    /// One line for people.
    pub fn text(&self) -> String {
        format!(
            "{:<24} {:>7.0} requests/s  {} failed  p50/p99 {:.0}/{:.0} us  node {:.0} us of processor a request, {:.1} MiB",
            self.request,
            self.requests_per_second,
            self.failed,
            self.latency.p50_us,
            self.latency.p99_us,
            self.node_processor_us,
            self.node_resident_mib
        )
    }
}
