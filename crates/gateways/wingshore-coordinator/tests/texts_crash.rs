//! Log, snapshot and texts on one disk: every acknowledged result is read back, with its text,
//! after a loss of power at any call of the disk.
//!
//! The rule under test: a text file is removed only once a snapshot is durable that was taken after
//! the last use of the file. Snapshots refer to places in these files. If a file is removed too
//! early, or a text is referred to before it is durable, the member cannot start.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use wingshore_coordination::{
    Command, CoordinationState, ItemId, ItemState, JobId, JobItem, JobSubmission, ListedResult,
    PackedText, ResultText, TextPlace, TextStore,
};
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{BlobFiles, BlobWriter, FileSystem, GroupStore};
use wingshore_types::LogIndex;
use wingshore_types::blob::{Blob, BlobPlace};
use wingshore_types::log::{LogRecord, StoredSnapshot, WriteBatch};
use wingshore_types::machine::ReplicatedState;

const LOG: &str = "/data/control";
const TEXTS: &str = "/data/texts";
const ITEMS: u32 = 40;
const JOBS: u8 = 6;
const TERM: u64 = 1;
/// Length of a text, and size of a text file in bytes: about three compressed texts fill a file.
const TEXT_LENGTH: usize = 1500;
const FILE_BYTES: u64 = 2000;

/// Step of a member.
#[derive(Clone, Debug)]
enum Step {
    /// Lists the next result of a job.
    List(u8),
    /// Forgets a job; a later result accepts it again with other texts.
    Forget(u8),
    /// Moves up to so many of the texts in memory to disk.
    Move(u8),
    /// Takes a snapshot, and discards the log before it.
    Snapshot,
    /// Takes a snapshot that becomes durable only after the given steps.
    SnapshotLater(Vec<Step>),
    /// Removes the files that may be removed.
    Remove,
}

fn step() -> impl Strategy<Value = Step> {
    let simple = prop_oneof![
        6 => (0..JOBS).prop_map(Step::List),
        2 => (0..JOBS).prop_map(Step::Forget),
        4 => (1..6_u8).prop_map(Step::Move),
        2 => Just(Step::Snapshot),
        2 => Just(Step::Remove),
    ];
    let between = prop::collection::vec(simple.clone(), 1..4);
    prop_oneof![
        9 => simple,
        1 => between.prop_map(Step::SnapshotLater),
    ]
}

/// Text store that moves texts only when the test requests it.
struct Store {
    files: BlobFiles,
    writer: Mutex<BlobWriter>,
    tracked: Mutex<Vec<Arc<PackedText>>>,
}

impl Debug for Store {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("Store")
    }
}

impl TextStore for Store {
    fn track(&self, text: &Arc<PackedText>) {
        self.tracked.lock().unwrap().push(Arc::clone(text));
    }

    fn wait_for_memory(&self) {}

    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>> {
        Ok(Arc::new(self.files.find(place)?))
    }

    fn begin_snapshot(&self) -> u64 {
        self.files.begin_snapshot()
    }

    fn snapshot_durable(&self, number: u64) {
        self.files.snapshot_durable(number);
    }
}

/// Member between a start and a loss of power.
struct Member {
    log: GroupStore,
    store: Arc<Store>,
    state: CoordinationState,
    applied: u64,
}

/// The disk has failed: the member is down.
struct DiskFailed;

impl Member {
    /// Starts the member from its disk.
    fn start(disk: &MemoryFileSystem) -> Result<Self, String> {
        let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
        let opened = BlobFiles::open_with(Arc::clone(&fs), Path::new(TEXTS), FILE_BYTES);
        let (files, writer) = opened.map_err(|error| error.to_string())?;
        let store = Arc::new(Store {
            files,
            writer: Mutex::new(writer),
            tracked: Mutex::default(),
        });
        let opened = GroupStore::open(fs, Path::new(LOG));
        let (log, recovered) = opened.map_err(|error| error.to_string())?;
        let mut member = Self {
            log,
            state: CoordinationState::default(),
            store,
            applied: 0,
        };
        let store = Arc::clone(&member.store) as Arc<dyn TextStore>;
        member.state.set_text_store(store);
        if let Some(snapshot) = recovered.snapshot {
            let mut reader = snapshot.data.reader().map_err(|error| error.to_string())?;
            let restored = member.state.restore_from(&mut reader);
            restored.map_err(|error| error.message)?;
            member.applied = snapshot.index.0;
        }
        let removed = member.store.files.remove_unreferenced();
        removed.map_err(|error| error.to_string())?;
        for record in recovered.records {
            if record.index.0 > member.applied {
                let command = postcard::from_bytes(&record.data);
                let command = command.map_err(|error| error.to_string())?;
                member.state.apply(record.index, command);
                member.applied = record.index.0;
            }
        }
        Ok(member)
    }

    /// Makes a command durable, then applies it.
    fn commit(&mut self, command: Command) -> Result<(), DiskFailed> {
        let index = LogIndex(self.applied + 1);
        let data = postcard::to_allocvec(&command).unwrap();
        let batch = WriteBatch {
            append: vec![LogRecord {
                index,
                term: TERM,
                data,
            }],
            ..WriteBatch::default()
        };
        self.log.write(&batch).map_err(|_| DiskFailed)?;
        self.applied = index.0;
        self.state.apply(index, command);
        Ok(())
    }

    fn move_texts(&mut self, max_texts: u8) -> Result<(), DiskFailed> {
        let tracked = std::mem::take(&mut *self.store.tracked.lock().unwrap());
        // Texts that only the store refers to were released.
        let alive = tracked
            .into_iter()
            .filter(|text| Arc::strong_count(text) > 1);
        let mut alive: Vec<Arc<PackedText>> = alive.collect();
        let rest = alive.split_off(alive.len().min(usize::from(max_texts)));
        let bytes = alive.iter().filter_map(|text| match text.place() {
            TextPlace::Memory(bytes) => Some(bytes),
            TextPlace::Disk(_) => None,
        });
        let bytes: Vec<Arc<[u8]>> = bytes.collect();
        let blobs = self.store.writer.lock().unwrap().append(&bytes);
        for (text, blob) in alive.iter().zip(blobs.map_err(|_| DiskFailed)?) {
            text.move_to(Arc::new(blob));
        }
        self.store.tracked.lock().unwrap().extend(rest);
        Ok(())
    }

    fn freeze(&self) -> Arc<StoredSnapshot> {
        Arc::new(StoredSnapshot {
            index: LogIndex(self.applied),
            term: TERM,
            data: self.state.freeze().into(),
        })
    }

    fn write_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) -> Result<(), DiskFailed> {
        let batch = WriteBatch {
            discard_through: Some(snapshot.index),
            snapshot: Some(snapshot),
            ..WriteBatch::default()
        };
        self.log.write(&batch).map_err(|_| DiskFailed)
    }
}

/// Results and jobs that were acknowledged to callers.
#[derive(Clone, Default)]
struct Acknowledged {
    /// Numbers of the texts, by job and position; without the jobs whose removal was requested.
    results: BTreeMap<(u8, u32), u64>,
    /// Jobs that were accepted.
    accepted: BTreeSet<u8>,
    next_text: u64,
}

fn text(number: u64) -> String {
    let mut value = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut text = String::with_capacity(TEXT_LENGTH);
    while text.len() < TEXT_LENGTH {
        value ^= value << 13;
        value ^= value >> 7;
        value ^= value << 17;
        text.push_str(&format!("{value:016x}"));
    }
    text
}

fn job_id(job: u8) -> JobId {
    JobId::from(format!("job-{job}"))
}

fn submission(job: u8) -> Command {
    let item = |number| JobItem {
        id: ItemId::from(format!("item-{number}")),
        path: "/x".to_owned(),
        headers: Vec::new(),
        body: vec![1, 2, 3],
        tokens: 5,
        expected_output: None,
        group: String::new(),
        scorer: None,
    };
    Command::AcceptJob(Arc::new(JobSubmission {
        id: job_id(job),
        host: "site.example".to_owned(),
        step: 0,
        model: None,
        min_version: 1,
        desired: 1,
        items: (0..ITEMS).map(item).collect(),
    }))
}

fn run(
    member: &mut Member,
    acknowledged: &mut Acknowledged,
    step: &Step,
) -> Result<(), DiskFailed> {
    match step {
        Step::List(job) => {
            if !acknowledged.accepted.contains(job) {
                member.commit(submission(*job))?;
                acknowledged.accepted.insert(*job);
            }
            let position = member.state.jobs()[&job_id(*job)].results.len() as u32;
            if position >= ITEMS {
                return Ok(());
            }
            acknowledged.next_text += 1;
            let number = acknowledged.next_text;
            member.commit(Command::ListResult {
                job: job_id(*job),
                result: ListedResult {
                    index: position,
                    state: ItemState::Succeeded,
                    text: ResultText::pack(&text(number)),
                    versions: vec![1],
                    score: None,
                },
            })?;
            acknowledged.results.insert((*job, position), number);
            Ok(())
        }
        Step::Forget(job) => {
            acknowledged.results.retain(|(other, _), _| other != job);
            acknowledged.accepted.remove(job);
            member.commit(Command::ForgetJob(job_id(*job)))
        }
        Step::Move(max_texts) => member.move_texts(*max_texts),
        Step::Snapshot => {
            let snapshot = member.freeze();
            member.write_snapshot(snapshot)
        }
        Step::SnapshotLater(between) => {
            let snapshot = member.freeze();
            for step in between {
                run(member, acknowledged, step)?;
            }
            // A newer snapshot may be durable by now, and the store writes no older one.
            if between.iter().any(|step| matches!(step, Step::Snapshot)) {
                return Ok(());
            }
            member.write_snapshot(snapshot)
        }
        Step::Remove => member
            .store
            .files
            .remove_released()
            .map(|_| ())
            .map_err(|_| DiskFailed),
    }
}

fn check(member: &Member, acknowledged: &Acknowledged) -> Result<(), TestCaseError> {
    for ((job, position), number) in &acknowledged.results {
        let found = member.state.jobs().get(&job_id(*job));
        let result = found.and_then(|job| job.results.get(*position as usize));
        let read = result.map(|result| result.text.unpack());
        let expected = Some(Ok(text(*number)));
        prop_assert!(
            read == expected,
            "job {job}, position {position} is missing or has another text"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Runs a member three times, each time until a loss of power at some call of the disk.
    #[test]
    fn acknowledged_results_are_read_back_after_any_loss_of_power(
        runs in prop::collection::vec(
            (prop::collection::vec(step(), 5..40), 1..90_u64, any::<u64>()),
            3,
        ),
    ) {
        let disk = MemoryFileSystem::new();
        let mut acknowledged = Acknowledged::default();
        for (steps, crash_at, seed) in runs {
            let mut member = Member::start(&disk).map_err(TestCaseError::fail)?;
            check(&member, &acknowledged)?;
            // A job whose removal was interrupted may or may not exist.
            let known = member.state.jobs().keys().cloned().collect::<Vec<_>>();
            acknowledged.accepted = (0..JOBS).filter(|job| known.contains(&job_id(*job))).collect();
            disk.set_faults(Faults {
                crash_at: Some(disk.calls() + crash_at),
                ..Faults::default()
            });
            for step in &steps {
                if run(&mut member, &mut acknowledged, step).is_err() {
                    break;
                }
            }
            drop(member);
            disk.restart(seed);
        }
        let member = Member::start(&disk).map_err(TestCaseError::fail)?;
        check(&member, &acknowledged)?;
    }
}
