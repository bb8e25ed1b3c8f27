//! How far a run has come, told now and then while a site runs.

use crate::checks::RunLog;
use crate::event_log::EventLogError;
use crate::events::Event;
use std::fmt;
use std::path::Path;

/// How far a run has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Steps trained.
    pub steps: u64,
    version: u64,
    answered: u64,
    revision: u64,
}

impl Progress {
    /// Reads it off the logs so far.
    pub fn read(logs: &Path) -> Result<Self, EventLogError> {
        let mut progress = Self::default();
        for record in RunLog::read(logs)?.records() {
            match &record.event {
                Event::Trained { .. } => progress.steps += 1,
                Event::Published { version } => progress.version = progress.version.max(version.0),
                Event::Answered { status: 200, .. } => progress.answered += 1,
                Event::RevisionCommitted { revision } => progress.revision = *revision,
                _ => {}
            }
        }
        Ok(progress)
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "step {}, version {}, {} live answers, configuration revision {}",
            self.steps, self.version, self.answered, self.revision
        )
    }
}
