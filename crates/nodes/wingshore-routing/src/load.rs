//! Load of one server: this node's own requests, counted exactly, and the requests of other nodes,
//! estimated from delayed reports.
//!
//! A report counts the requests of all nodes at an earlier time. The external load is that count
//! minus this node's own requests *at the same time*, so a short history of the own count is kept.
//! The total is the external load as of the report plus the current own count: own requests sent
//! since the report are included although the report misses them, and own requests that ended since
//! are excluded although the report counts them.

use crate::class::{ByClass, Class};
use crate::load_estimator::{LoadEstimator, Reading};
use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::platform::LoadReport;

/// Time resolution of the history.
const BUCKET_WIDTH: Duration = Duration::from_millis(16);
/// Maximum number of buckets kept. Only buckets with a change are kept, so the history covers at
/// least 1 s.
const MAX_BUCKETS: usize = 64;

/// Own count before the first change within one bucket.
#[derive(Clone, Copy, Debug)]
struct Change {
    bucket: u64,
    before: u32,
}

/// Load of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    own: ByClass<u32>,
    reading: Option<Reading>,
    history: VecDeque<Change>,
}

impl Load {
    /// Returns the number of this node's own requests of one class.
    pub(crate) fn own_of(&self, class: Class) -> u32 {
        *self.own.get(class)
    }

    /// Returns the number of this node's own requests.
    pub(crate) fn own(&self) -> u32 {
        self.own_of(Class::Live) + self.own_of(Class::Rollout)
    }

    /// Returns the current estimate of the requests of other nodes, in thousandths.
    pub(crate) fn external(&self, now: Instant, load_estimator: &LoadEstimator) -> u64 {
        load_estimator.estimate(now, self.reading)
    }

    /// Records the start of an own request.
    pub(crate) fn add(&mut self, now: Instant, class: Class) {
        self.record_change(now);
        *self.own.get_mut(class) += 1;
    }

    /// Records the end of an own request.
    pub(crate) fn remove(&mut self, now: Instant, class: Class) {
        self.record_change(now);
        let count = self.own.get_mut(class);
        *count = count.saturating_sub(1);
    }

    /// Applies a report unless a newer one is known. Returns the new reading and the previous one.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
    ) -> Option<(Reading, Option<Reading>)> {
        let read_at = now - Duration::from_millis(report.age_ms);
        let before = self.reading;
        if before.is_some_and(|before| read_at < before.read_at) {
            return None;
        }
        let reported = report.in_flight.saturating_add(report.queue);
        let external = reported.saturating_sub(self.own_at(read_at));
        let reading = Reading { external, read_at };
        self.reading = Some(reading);
        Some((reading, before))
    }

    /// Discards the last reading, for instance because the server restarted.
    pub(crate) fn forget_reports(&mut self) {
        self.reading = None;
    }

    /// Returns the own count at an earlier time, at the resolution of the history.
    fn own_at(&self, time: Instant) -> u32 {
        let bucket = bucket_of(time);
        let after = self
            .history
            .partition_point(|change| change.bucket <= bucket);
        match self.history.get(after) {
            Some(change) => change.before,
            None => self.own(),
        }
    }

    fn record_change(&mut self, now: Instant) {
        let bucket = bucket_of(now);
        if self
            .history
            .back()
            .is_some_and(|last| last.bucket >= bucket)
        {
            return;
        }
        if self.history.len() == MAX_BUCKETS {
            self.history.pop_front();
        }
        let before = self.own();
        self.history.push_back(Change { bucket, before });
    }
}

/// Returns the number of the bucket that contains `time`.
fn bucket_of(time: Instant) -> u64 {
    time.0 / BUCKET_WIDTH.as_nanos() as u64
}
