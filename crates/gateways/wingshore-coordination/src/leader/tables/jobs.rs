//! The age of jobs, and the readers that wait for their results.

use crate::ids::JobId;
use std::collections::HashMap;
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;

/// The time from which this leader has known each job, and when its caller ended it. A new leader
/// counts from the start of its leadership, so no job is abandoned or forgotten too early.
#[derive(Default)]
pub(crate) struct JobClock {
    known_since: HashMap<JobId, Instant>,
    /// Ends that this leader has proposed; they may not be committed yet.
    ended_at: HashMap<JobId, Instant>,
}

impl JobClock {
    /// Starts a new leadership, in which all jobs are known from `now` on.
    pub(crate) fn begin<'a>(&mut self, now: Instant, jobs: impl Iterator<Item = &'a JobId>) {
        self.known_since = jobs.map(|id| (id.clone(), now)).collect();
        self.ended_at.clear();
    }

    /// Records a submitted job; a job that is known already keeps its time.
    pub(crate) fn record(&mut self, now: Instant, job: &JobId) {
        self.known_since.entry(job.clone()).or_insert(now);
    }

    /// Restarts the time of a job.
    pub(crate) fn restart(&mut self, now: Instant, job: &JobId) {
        self.known_since.insert(job.clone(), now);
    }

    /// Removes a job, so that a later one of the same name starts anew.
    pub(crate) fn forget(&mut self, job: &JobId) {
        self.known_since.remove(job);
        self.ended_at.remove(job);
    }

    /// Records that the caller has ended a job; the first end counts.
    pub(crate) fn end(&mut self, now: Instant, job: &JobId) {
        self.ended_at.entry(job.clone()).or_insert(now);
    }

    /// Returns when the caller ended a job; `None` if it did not under this leader.
    pub(crate) fn ended_at(&self, job: &JobId) -> Option<Instant> {
        self.ended_at.get(job).copied()
    }

    /// Returns the time from which a job has been known.
    pub(crate) fn known_since(&self, job: &JobId) -> Option<Instant> {
        self.known_since.get(job).copied()
    }
}

/// Readers that wait for results.
#[derive(Default)]
pub(crate) struct Readers {
    waiting: Vec<Reader>,
}

/// A reader that waits for results of a job.
pub(crate) struct Reader {
    pub(crate) tag: RequestTag,
    pub(crate) job: JobId,
    /// The first position that it requests.
    pub(crate) from: u64,
    /// Time at which it is answered without a result.
    pub(crate) until: Instant,
}

impl Readers {
    /// Adds a reader.
    pub(crate) fn add(&mut self, reader: Reader) {
        self.waiting.push(reader);
    }

    /// Removes and returns the readers of a job.
    pub(crate) fn take_job(&mut self, job: &JobId) -> Vec<Reader> {
        self.take(|reader| reader.job == *job)
    }

    /// Removes and returns the readers whose time is over.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Reader> {
        self.take(|reader| now >= reader.until)
    }

    fn take(&mut self, is_selected: impl Fn(&Reader) -> bool) -> Vec<Reader> {
        let taken = self.waiting.extract_if(.., |reader| is_selected(reader));
        taken.collect()
    }
}
