//! Load of one server: this node's own requests, counted exactly, and those of others,
//! estimated from reports that lag.
//!
//! A report counts everybody's requests as of some time ago. What it says of others is that count
//! less this node's own requests *at that time*, so a short history of the own count is kept. The
//! estimate is then "others as of the report, plus own as of now": requests sent since the report
//! are counted although the report misses them, and requests that ended since are not counted
//! although the report has them.

use crate::class::{ByClass, Class};
use crate::load_estimator::{LoadEstimator, Reading};
use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::platform::LoadReport;

/// Resolution of the history.
const BUCKET_WIDTH: Duration = Duration::from_millis(16);
/// Most buckets with a change that are kept; at least 1 s of history.
const MAX_BUCKETS: usize = 64;

/// The own count before the first change within one bucket of time.
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
    /// This node's own requests of one class.
    pub(crate) fn own_of(&self, class: Class) -> u32 {
        *self.own.get(class)
    }

    /// This node's own requests.
    pub(crate) fn own(&self) -> u32 {
        self.own_of(Class::Live) + self.own_of(Class::Rollout)
    }

    /// Requests of others, in thousandths: what the last reading says by now.
    pub(crate) fn external(&self, now: Instant, load_estimator: &LoadEstimator) -> u64 {
        load_estimator.estimate(now, self.reading)
    }

    /// One request more.
    pub(crate) fn add(&mut self, now: Instant, class: Class) {
        self.record_change(now);
        *self.own.get_mut(class) += 1;
    }

    /// One request less.
    pub(crate) fn remove(&mut self, now: Instant, class: Class) {
        self.record_change(now);
        let count = self.own.get_mut(class);
        *count = count.saturating_sub(1);
    }

    /// Takes a report, unless a newer one is known already. Returns the reading it gives, and the
    /// one before.
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

    /// Forgets what reports said, for instance because the server started anew.
    pub(crate) fn forget_reports(&mut self) {
        self.reading = None;
    }

    /// The own count at an earlier time, to the resolution of the history.
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

/// Number of the bucket that `time` lies in.
fn bucket_of(time: Instant) -> u64 {
    time.0 / BUCKET_WIDTH.as_nanos() as u64
}
