//! Restores a state from a snapshot, record by record.

use super::records::{
    FORMAT, LENGTH_BYTES, MAX_FIRST_BYTE_OF_SINGLE_VALUE, OLDEST_RECORD_FORMAT, Record,
    SavedResult, SavedText,
};
use crate::jobs::{Job, ResultRecord};
use crate::state::earlier::EarlierState;
use crate::state::site::CoordinationState;
use crate::text::{ResultText, TextPlace, TextStoreHandle};
use std::io::Read;
use std::sync::Arc;
use wingshore_types::machine::RestoreError;
use wingshore_types::stored;

/// Maximum size of a record in bytes, to detect a damaged length: far above any submission, which
/// is at most as large as a request's body ([`crate::IngressLimits`]).
const MAX_RECORD_BYTES: usize = 256 << 20;

/// Reads a state; texts are added to its store as they are read.
pub(in crate::state) fn restore(
    texts: &TextStoreHandle,
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let mut format = [0];
    reader
        .read_exact(&mut format)
        .map_err(RestoreError::from_display)?;
    match format[0] {
        OLDEST_RECORD_FORMAT..=FORMAT => restore_records(texts, reader),
        0..=MAX_FIRST_BYTE_OF_SINGLE_VALUE => restore_single_value(texts, &format, reader),
        unknown => Err(RestoreError::from_display(format!(
            "the state has format {unknown}; this program knows formats up to {FORMAT}"
        ))),
    }
}

fn restore_records(
    texts: &TextStoreHandle,
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let mut state = match read_record(reader)? {
        Record::Site(state) => state,
        Record::SiteEarlier(earlier) => Box::new((*earlier).into()),
        _ => {
            let message = "the first record of the snapshot does not contain the site state";
            return Err(RestoreError::from_display(message));
        }
    };
    state.texts = texts.clone();
    let mut job: Option<Box<Job>> = None;
    loop {
        match read_record(reader)? {
            Record::Job(next) => add_job(&mut state, job.replace(next)),
            Record::Result(saved) => {
                let Some(job) = &mut job else {
                    return Err(RestoreError::from_display(
                        "result record without a preceding job record",
                    ));
                };
                job.results
                    .push(Arc::new(read_result(texts, saved, reader)?));
            }
            Record::End => {
                add_job(&mut state, job);
                return Ok(*state);
            }
            Record::Evidence(evidence) => state.evidence = *evidence,
            Record::Site(_) | Record::SiteEarlier(_) => {
                return Err(RestoreError::from_display(
                    "more than one record with the site state",
                ));
            }
        }
    }
}

fn add_job(state: &mut CoordinationState, job: Option<Box<Job>>) {
    if let Some(job) = job {
        state.jobs.insert(job.id().clone(), *job);
    }
}

fn read_record(reader: &mut dyn Read) -> Result<Record, RestoreError> {
    let mut length = [0; LENGTH_BYTES];
    reader
        .read_exact(&mut length)
        .map_err(RestoreError::from_display)?;
    let bytes = read_bytes(reader, u32::from_le_bytes(length))?;
    stored::decode(&bytes).map_err(|error| RestoreError::from_display(format!("a record: {error}")))
}

fn read_bytes(reader: &mut dyn Read, length: u32) -> Result<Vec<u8>, RestoreError> {
    let length = length as usize;
    if length > MAX_RECORD_BYTES {
        let message = format!("record of {length} bytes exceeds the limit of {MAX_RECORD_BYTES}");
        return Err(RestoreError::from_display(message));
    }
    let mut bytes = Vec::new();
    reader
        .take(length as u64)
        .read_to_end(&mut bytes)
        .map_err(RestoreError::from_display)?;
    if bytes.len() < length {
        return Err(RestoreError::from_display(
            "the snapshot ends within a record or text",
        ));
    }
    Ok(bytes)
}

fn read_result(
    texts: &TextStoreHandle,
    saved: SavedResult,
    reader: &mut dyn Read,
) -> Result<ResultRecord, RestoreError> {
    let place = match saved.text {
        SavedText::Follows(length) => TextPlace::Memory(read_bytes(reader, length)?.into()),
        SavedText::OnDisk(place) => {
            let store = texts
                .0
                .as_ref()
                .ok_or("the snapshot references a text on disk, but there is no text store");
            let store = store.map_err(RestoreError::from_display)?;
            TextPlace::Disk(store.find(place).map_err(RestoreError::from_display)?)
        }
    };
    let is_in_memory = matches!(place, TextPlace::Memory(_));
    let text = ResultText::at(saved.text_length, place);
    if is_in_memory {
        texts.track(text.packed());
        texts.wait_for_memory();
    }
    Ok(ResultRecord {
        id: saved.id,
        state: saved.state,
        text,
        versions: saved.versions,
        score: saved.score,
    })
}

/// Reads a state of the oldest format, whose encoding is completely in memory during the restore.
fn restore_single_value(
    texts: &TextStoreHandle,
    begin: &[u8],
    reader: &mut dyn Read,
) -> Result<CoordinationState, RestoreError> {
    let mut bytes = begin.to_vec();
    reader
        .read_to_end(&mut bytes)
        .map_err(RestoreError::from_display)?;
    let earlier: EarlierState = stored::decode(&bytes).map_err(RestoreError::from_display)?;
    let mut state = CoordinationState::from(earlier);
    drop(bytes);
    state.texts = texts.clone();
    for result in state.jobs.values().flat_map(|job| &job.results) {
        texts.track(result.text.packed());
    }
    texts.wait_for_memory();
    Ok(state)
}
