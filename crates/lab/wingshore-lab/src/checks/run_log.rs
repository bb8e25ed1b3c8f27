//! All logs of a run, in the order of time.

use crate::event_log::{EventLogError, read_log};
use crate::events::{Event, Record};
use std::collections::BTreeMap;
use std::path::Path;

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    records: Vec<Record>,
}

impl RunLog {
    /// Takes records in any order.
    pub fn new(mut records: Vec<Record>) -> Self {
        records.sort_by_key(|record| record.at_us);
        Self { records }
    }

    /// Reads all `*.jsonl` files of a folder.
    ///
    /// # Errors
    /// When one cannot be read.
    pub fn read(folder: &Path) -> Result<Self, EventLogError> {
        let mut records = Vec::new();
        let entries = std::fs::read_dir(folder).map_err(|source| EventLogError::Open {
            path: folder.to_owned(),
            source,
        })?;
        for entry in entries.flatten() {
            let path = entry.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "jsonl")
            {
                records.extend(read_log(&path)?);
            }
        }
        Ok(Self::new(records))
    }

    /// The records, in the order of time.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// When the last record was written.
    pub fn end_us(&self) -> u64 {
        self.records.last().map_or(0, |record| record.at_us)
    }

    /// The node beside each caller.
    pub fn nodes_of_callers(&self) -> BTreeMap<&str, &str> {
        let records = self.records.iter();
        records
            .filter_map(|record| match &record.event {
                Event::CallerNode { caller, node } => Some((caller.as_str(), node.as_str())),
                _ => None,
            })
            .collect()
    }

    /// Actions on processes: when, which process, what was done.
    pub fn process_actions(&self) -> impl Iterator<Item = (u64, &str, &str)> {
        self.records
            .iter()
            .filter_map(|record| match &record.event {
                Event::ProcessAction { process, action } => {
                    Some((record.at_us, process.as_str(), action.as_str()))
                }
                _ => None,
            })
    }
}
