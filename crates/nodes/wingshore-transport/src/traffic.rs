//! Counters of the frames and bytes of all connections of this process.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use std::fmt;
use std::io::{self, Read};
use std::sync::atomic::{AtomicU64, Ordering};

/// Frames queued on all connections of this process since its start, and keep-alives sent.
static FRAMES_SENT: AtomicU64 = AtomicU64::new(0);
/// Bytes written to all connections of this process since its start.
static BYTES_SENT: AtomicU64 = AtomicU64::new(0);
/// Complete frames read from all connections of this process since its start.
static FRAMES_RECEIVED: AtomicU64 = AtomicU64::new(0);
/// Bytes read from all connections of this process since its start.
static BYTES_RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Traffic of this process's connections since its start. Includes keep-alives, but not handshakes
/// or TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames queued on connections, and keep-alives sent.
    pub frames_sent: u64,
    /// Bytes written to sockets.
    pub bytes_sent: u64,
    /// Complete frames received.
    pub frames_received: u64,
    /// Bytes read from sockets.
    pub bytes_received: u64,
}

impl Traffic {
    /// Returns the current counts.
    pub fn now() -> Self {
        Self {
            frames_sent: FRAMES_SENT.load(Ordering::Relaxed),
            bytes_sent: BYTES_SENT.load(Ordering::Relaxed),
            frames_received: FRAMES_RECEIVED.load(Ordering::Relaxed),
            bytes_received: BYTES_RECEIVED.load(Ordering::Relaxed),
        }
    }
}

/// Exports [`Traffic::now`] as counters of a metrics registry.
#[derive(Debug, Default)]
pub struct TrafficCollector;

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let traffic = Traffic::now();
        let rows = [
            ("frames_sent", "Frames sent", traffic.frames_sent),
            (
                "frame_bytes_sent",
                "Bytes of frames sent",
                traffic.bytes_sent,
            ),
            (
                "frames_received",
                "Frames received",
                traffic.frames_received,
            ),
            (
                "frame_bytes_received",
                "Bytes of frames received",
                traffic.bytes_received,
            ),
        ];
        for (name, help, value) in rows {
            let counter = ConstCounter::new(value);
            let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
            counter.encode(metric)?;
        }
        Ok(())
    }
}

/// Counts a frame that was queued, or a keep-alive.
pub(crate) fn count_sent_frame() {
    FRAMES_SENT.fetch_add(1, Ordering::Relaxed);
}

/// Counts bytes that were written.
pub(crate) fn count_sent_bytes(count: usize) {
    BYTES_SENT.fetch_add(count as u64, Ordering::Relaxed);
}

/// Counts a frame that was received completely.
pub(crate) fn count_received_frame() {
    FRAMES_RECEIVED.fetch_add(1, Ordering::Relaxed);
}

/// A reader that counts the bytes read.
pub(crate) struct CountingReader<R>(pub(crate) R);

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.0.read(buffer)?;
        BYTES_RECEIVED.fetch_add(count as u64, Ordering::Relaxed);
        Ok(count)
    }
}
