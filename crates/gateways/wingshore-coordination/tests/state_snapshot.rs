//! Snapshots of the state as streams of records: with texts in memory, and with texts on disk.

mod support;

use googletest::prelude::*;
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read};
use std::sync::{Arc, Mutex};
use wingshore_coordination::{
    Command, CoordinationState, ItemState, JobId, ListedResult, PackedText, ResultText, TextPlace,
    TextStore,
};
use wingshore_types::LogIndex;
use wingshore_types::blob::{Blob, BlobPlace};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::snapshot_data::{PartReader, SnapshotData};

const ITEMS: u32 = 5;
const JOBS: usize = 4;

/// A text store whose disk is a list in memory; texts are moved there when the test requests it.
#[derive(Clone, Default)]
struct TestStore {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Default)]
struct Shared {
    held: Vec<Arc<PackedText>>,
    disk: Vec<Vec<u8>>,
    begun: u64,
    durable: u64,
}

impl Debug for TestStore {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("TestStore")
    }
}

struct TestBlob {
    store: TestStore,
    place: BlobPlace,
}

impl Blob for TestBlob {
    fn place(&self) -> BlobPlace {
        self.place
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let shared = self.store.shared.lock().unwrap();
        Ok(shared.disk[self.place.offset as usize].clone())
    }
}

impl TestStore {
    /// Moves every second stored text to the disk.
    fn move_every_second_text(&self) {
        let held = self.shared.lock().unwrap().held.clone();
        for text in held.iter().step_by(2) {
            let TextPlace::Memory(bytes) = text.place() else {
                continue;
            };
            let mut shared = self.shared.lock().unwrap();
            let place = BlobPlace {
                file: 1,
                offset: shared.disk.len() as u64,
                length: bytes.len() as u32,
                checksum: 0,
            };
            shared.disk.push(bytes.to_vec());
            drop(shared);
            let store = self.clone();
            text.move_to(Arc::new(TestBlob { store, place }));
        }
    }
}

impl TextStore for TestStore {
    fn track(&self, text: &Arc<PackedText>) {
        self.shared.lock().unwrap().held.push(Arc::clone(text));
    }

    fn wait_for_memory(&self) {}

    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>> {
        let store = self.clone();
        Ok(Arc::new(TestBlob { store, place }))
    }

    fn begin_snapshot(&self) -> u64 {
        let mut shared = self.shared.lock().unwrap();
        shared.begun += 1;
        shared.begun
    }

    fn snapshot_durable(&self, number: u64) {
        self.shared.lock().unwrap().durable = number;
    }
}

fn listed(index: u32, text: &str) -> ListedResult {
    ListedResult {
        index,
        state: ItemState::Succeeded,
        text: ResultText::pack(text),
        versions: vec![3, 4],
        score: None,
    }
}

/// Fills a state with results, some of them empty, partial texts and an ended job.
fn fill(state: &mut CoordinationState) {
    for number in 0..JOBS {
        let job = support::job(&format!("job-{number}"), ITEMS);
        state.apply(LogIndex(1), Command::AcceptJob(Arc::clone(&job)));
        for index in 0..ITEMS - 1 {
            let text = "line\n".repeat(index as usize * 100);
            let result = listed(index, &text);
            let job = job.id.clone();
            state.apply(LogIndex(2), Command::ListResult { job, result });
        }
    }
    state.apply(LogIndex(3), Command::EndJob(JobId::from("job-1")));
}

fn state_with_store() -> (CoordinationState, TestStore) {
    let store = TestStore::default();
    let mut state = CoordinationState::default();
    state.set_text_store(Arc::new(store.clone()));
    fill(&mut state);
    (state, store)
}

fn read_whole(data: &SnapshotData) -> Vec<u8> {
    data.to_bytes().expect("the snapshot is readable").to_vec()
}

#[gtest]
fn texts_on_disk_are_inlined_for_peers_and_referenced_locally() {
    let (state, store) = state_with_store();
    let in_memory = state.snapshot();
    store.move_every_second_text();
    let data = SnapshotData::from(state.freeze());
    expect_that!(read_whole(&data), eq(&in_memory));
    let own = data.for_local_disk();
    expect_that!(own.length(), lt(data.length()));
    expect_that!(read_whole(&own).len() as u64, eq(own.length()));

    // Restores at another member, and at this one after a restart.
    let restored = CoordinationState::restore(&in_memory).unwrap();
    expect_that!(restored == state, eq(true));
    let mut restarted = CoordinationState::default();
    restarted.set_text_store(Arc::new(store));
    restarted.restore_from(&mut own.reader().unwrap()).unwrap();
    expect_that!(restarted == state, eq(true));
}

#[gtest]
fn every_reader_returns_the_same_bytes_while_texts_move() {
    let (state, store) = state_with_store();
    let data = SnapshotData::from(state.freeze());
    let own = data.for_local_disk();
    let (first, first_own) = (read_whole(&data), read_whole(&own));
    store.move_every_second_text();
    expect_that!(read_whole(&data), eq(&first));
    expect_that!(read_whole(&own), eq(&first_own));
}

#[gtest]
fn parts_read_in_any_order_match_the_complete_snapshot() {
    let (state, _) = state_with_store();
    let data = SnapshotData::from(state.freeze());
    let whole = read_whole(&data);
    let mut parts = PartReader::new(data);
    for length in [1, 7, 64, whole.len()] {
        for offset in (0..whole.len())
            .step_by(length)
            .rev()
            .chain((0..whole.len()).step_by(length))
        {
            let end = (offset + length).min(whole.len());
            expect_that!(
                parts.read_part(offset as u64, length).unwrap(),
                eq(&whole[offset..end])
            );
        }
    }
    expect_that!(parts.read_part(whole.len() as u64, 10).unwrap(), is_empty());
}

#[gtest]
fn the_store_is_notified_of_durable_snapshots() {
    let (state, store) = state_with_store();
    let first = SnapshotData::from(state.freeze());
    let second = SnapshotData::from(state.freeze());
    expect_that!(store.shared.lock().unwrap().durable, eq(0));
    first.on_durable();
    expect_that!(store.shared.lock().unwrap().durable, eq(1));
    second.on_durable();
    expect_that!(store.shared.lock().unwrap().durable, eq(2));
}

/// Reads a state in the form of earlier releases, encoded as one value; it has three results.
#[gtest]
fn a_state_of_the_single_value_format_is_read_and_its_texts_are_stored() {
    let one_value = include_bytes!("fixtures/whole.bin");
    let store = TestStore::default();
    let mut restored = CoordinationState::default();
    restored.set_text_store(Arc::new(store.clone()));
    restored.restore_from(&mut &one_value[..]).unwrap();
    let jobs = restored.jobs().values();
    let results: usize = jobs.map(|job| job.results.len()).sum();
    expect_that!(results, eq(3));
    expect_that!(store.shared.lock().unwrap().held.len(), eq(results));
}

#[gtest]
fn a_truncated_stream_is_refused_at_any_length() {
    let (state, _) = state_with_store();
    let whole = state.snapshot();
    for length in 0..whole.len() {
        expect_that!(
            CoordinationState::restore(&whole[..length]).is_err(),
            eq(true)
        );
    }
}

#[gtest]
fn an_unknown_format_is_named_in_the_error() {
    let error = CoordinationState::restore(&[9, 1, 2]).unwrap_err();
    expect_that!(error.message, contains_substring("format 9"));
}

#[gtest]
fn a_text_on_disk_reads_the_same_as_in_memory() {
    let (state, store) = state_with_store();
    store.move_every_second_text();
    let job = &state.jobs()[&JobId::from("job-2")];
    for (index, result) in job.results.iter().enumerate() {
        expect_that!(result.text.unpack(), ok(eq(&"line\n".repeat(index * 100))));
    }
    let mut bytes = Vec::new();
    let page = postcard::to_allocvec(&job.page(0, usize::MAX)).unwrap();
    (&page[..]).read_to_end(&mut bytes).unwrap();
    expect_that!(job.text_bytes(), lt(bytes.len()));
}
