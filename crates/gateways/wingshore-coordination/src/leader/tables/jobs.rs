//! Since when jobs are known, and who waits for their results.

use crate::ids::JobId;
use std::collections::HashMap;
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;

/// Since when each job is known to this leader. A new leader counts from its beginning, so that
/// nothing is abandoned or forgotten too early.
#[derive(Default)]
pub(crate) struct JobClock {
    known_since: HashMap<JobId, Instant>,
}

impl JobClock {
    /// A new leadership.
    pub(crate) fn begin<'a>(&mut self, now: Instant, jobs: impl Iterator<Item = &'a JobId>) {
        self.known_since = jobs.map(|id| (id.clone(), now)).collect();
    }

    /// A job was submitted; what was known of it before counts.
    pub(crate) fn note(&mut self, now: Instant, job: &JobId) {
        self.known_since.entry(job.clone()).or_insert(now);
    }

    /// A job's time begins anew.
    pub(crate) fn restart(&mut self, now: Instant, job: &JobId) {
        self.known_since.insert(job.clone(), now);
    }

    /// A job is forgotten: a later one of its name begins anew.
    pub(crate) fn forget(&mut self, job: &JobId) {
        self.known_since.remove(job);
    }

    /// Since when a job is known.
    pub(crate) fn known_since(&self, job: &JobId) -> Option<Instant> {
        self.known_since.get(job).copied()
    }
}

/// Readers that wait for a result.
#[derive(Default)]
pub(crate) struct Readers {
    waiting: Vec<Reader>,
}

/// One reader.
pub(crate) struct Reader {
    pub(crate) tag: RequestTag,
    pub(crate) job: JobId,
    /// The first position that it wants.
    pub(crate) from: u64,
    /// When it is answered without a result.
    pub(crate) until: Instant,
}

impl Readers {
    /// A reader waits.
    pub(crate) fn add(&mut self, reader: Reader) {
        self.waiting.push(reader);
    }

    /// Takes out those that wait for results of a job.
    pub(crate) fn take_of(&mut self, job: &JobId) -> Vec<Reader> {
        self.take(|reader| reader.job == *job)
    }

    /// Takes out those whose time is over.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<Reader> {
        self.take(|reader| now >= reader.until)
    }

    fn take(&mut self, is_meant: impl Fn(&Reader) -> bool) -> Vec<Reader> {
        let taken = self.waiting.extract_if(.., |reader| is_meant(reader));
        taken.collect()
    }
}
