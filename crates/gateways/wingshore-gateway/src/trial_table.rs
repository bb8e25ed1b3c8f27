//! The trials of suspect requests that this gateway has asked for or runs.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_coordination::{InstanceId, OpenTrial, RequestFingerprint, TrialEnd};
use wingshore_types::Instant;

/// Time for which a request for a trial is kept after its exchange has ended: the leader may grant
/// it late, and must then learn that nothing ran.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Maximum number of results kept until there is a leader.
const MAX_UNREPORTED: usize = 256;

/// A trial that was asked for or granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Trial {
    /// Fingerprint of the request.
    pub(crate) request: RequestFingerprint,
    /// The server that is to run it.
    pub(crate) instance: InstanceId,
    /// When the run has ended, whatever its result.
    pub(crate) until: Instant,
}

/// The result of a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TrialResult {
    pub(crate) request: RequestFingerprint,
    pub(crate) instance: InstanceId,
    pub(crate) end: TrialEnd,
}

/// The trials of this gateway.
#[derive(Default)]
pub(crate) struct TrialTable {
    last_id: u64,
    /// Trials that the leader has not answered, by the identifier of the question.
    asked: BTreeMap<u64, Trial>,
    /// Trials that run.
    running: Vec<Trial>,
    /// Results that ended without a leader.
    unreported: Vec<TrialResult>,
}

impl TrialTable {
    /// Records a question to the leader; returns its identifier.
    pub(crate) fn ask(&mut self, trial: Trial) -> u64 {
        self.last_id += 1;
        self.asked.insert(self.last_id, trial);
        self.last_id
    }

    /// Removes and returns the trial that a question was about.
    pub(crate) fn answered(&mut self, id: u64) -> Option<Trial> {
        self.asked.remove(&id)
    }

    /// Records that a granted trial runs.
    pub(crate) fn started(&mut self, trial: Trial) {
        self.running.push(trial);
    }

    /// Records the end of a trial.
    pub(crate) fn ended(&mut self, trial: &Trial) {
        self.running.retain(|running| running != trial);
    }

    /// Keeps a result until there is a leader.
    pub(crate) fn keep(&mut self, result: TrialResult) {
        if self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push(result);
        }
    }

    /// Removes and returns the results that no leader was told of.
    pub(crate) fn take_unreported(&mut self) -> Vec<TrialResult> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns the trials that run, for a new leader.
    pub(crate) fn open(&self, now: Instant) -> Vec<OpenTrial> {
        let running = self.running.iter();
        let open = running.map(|trial| OpenTrial {
            request: trial.request,
            instance: trial.instance.clone(),
            time_left: trial.until.since(now),
        });
        open.collect()
    }

    /// Returns the number of trials that run.
    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Forgets questions that nobody will answer any more.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.asked
            .retain(|_, trial| now.since(trial.until) < ANSWER_TIME);
    }
}
