//! A simulated disk that persists batches field by field.

use wingshore_types::LogIndex;
use wingshore_types::log::{RecoveredLog, WriteBatch};

/// Returns the number of parts of a batch that a crash can separate: each field, and each appended
/// record.
pub fn parts(batch: &WriteBatch) -> usize {
    4 + batch.append.len()
}

/// Durable contents of one member.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub contents: RecoveredLog,
}

impl Disk {
    /// Makes the whole batch durable.
    pub fn write(&mut self, batch: &WriteBatch) {
        self.write_prefix(batch, parts(batch));
    }

    /// Makes the first `count` parts of the batch durable.
    pub fn write_prefix(&mut self, batch: &WriteBatch, count: usize) {
        let contents = &mut self.contents;
        if count > 0 && batch.hard_state.is_some() {
            contents.hard_state = batch.hard_state.clone();
        }
        if count > 1 && batch.snapshot.is_some() {
            contents.snapshot = batch.snapshot.as_deref().cloned();
        }
        if let Some(from) = batch.truncate_from.filter(|_| count > 2) {
            contents.records.retain(|record| record.index < from);
        }
        for record in batch.append.iter().take(count.saturating_sub(3)) {
            let snapshot_index = contents
                .snapshot
                .as_ref()
                .map_or(LogIndex(0), |snapshot| snapshot.index);
            let last = contents
                .records
                .last()
                .map_or(snapshot_index, |last| last.index);
            assert_eq!(record.index.0, last.0 + 1, "records must be consecutive");
            contents.records.push(record.clone());
        }
        if let Some(through) = batch.discard_through.filter(|_| count >= parts(batch)) {
            contents.records.retain(|record| record.index > through);
        }
    }
}
