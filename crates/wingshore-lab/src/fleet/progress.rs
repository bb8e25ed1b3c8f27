//! One line now and then while a site runs.

use crate::checks::RunLog;
use crate::event_log::EventLogError;
use crate::events::Event;
use std::path::Path;
use std::time::Duration;

/// A line that says how far a run has come, read off the logs so far.
///
/// # Errors
/// When a log cannot be read.
pub fn line(logs: &Path, elapsed: Duration) -> Result<String, EventLogError> {
    let log = RunLog::read(logs)?;
    let (mut steps, mut versions, mut answered, mut revision) = (0, 0, 0, 0);
    for record in log.records() {
        match &record.event {
            Event::Trained { .. } => steps += 1,
            Event::Published { version } => versions = versions.max(version.0),
            Event::Answered { status: 200, .. } => answered += 1,
            Event::RevisionCommitted { revision: newest } => revision = *newest,
            _ => {}
        }
    }
    Ok(format!(
        "{:>4.0} s: step {steps}, version {versions}, {answered} live answers, configuration \
         revision {revision}",
        elapsed.as_secs_f64()
    ))
}
