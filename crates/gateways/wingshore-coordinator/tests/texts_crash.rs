//! Log, snapshot and texts on one disk: whatever is acknowledged is read back after a loss of power
//! at any call of the disk, with the text that it had.
//!
//! The rule that this checks: a file of texts goes only once a snapshot is durable that was taken
//! after its last use. Snapshots name places in those files; a file that goes too early, or a text
//! that is named before it is durable, leaves a member that cannot start.

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
/// Letters of a text, and bytes of a file of texts: some three of them fill one.
const LETTERS: usize = 1500;
const FILE_BYTES: u64 = 2000;

/// What is done to a member.
#[derive(Clone, Debug)]
enum Step {
    /// Lists the next result of a job.
    List(u8),
    /// Forgets a job, and accepts it anew with other results.
    Forget(u8),
    /// Moves so many of the texts in memory to disk.
    Move(u8),
    /// Takes a snapshot and lets the log before it go.
    Snapshot,
    /// Takes a snapshot; others follow before it is durable.
    SnapshotLater(Vec<Step>),
    /// Removes files that may go.
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

/// Moves texts when the test says so.
struct Store {
    files: BlobFiles,
    writer: Mutex<BlobWriter>,
    held: Mutex<Vec<Arc<PackedText>>>,
}

impl Debug for Store {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("Store")
    }
}

impl TextStore for Store {
    fn track(&self, text: &Arc<PackedText>) {
        self.held.lock().unwrap().push(Arc::clone(text));
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

/// One life of a member.
struct Member {
    log: GroupStore,
    store: Arc<Store>,
    state: CoordinationState,
    applied: u64,
}

/// The disk has failed: the life is over.
struct Dead;

impl Member {
    /// Starts from the disk.
    fn start(disk: &MemoryFileSystem) -> Result<Self, String> {
        let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
        let opened = BlobFiles::open_with(Arc::clone(&fs), Path::new(TEXTS), FILE_BYTES);
        let (files, writer) = opened.map_err(|error| error.to_string())?;
        let store = Arc::new(Store {
            files,
            writer: Mutex::new(writer),
            held: Mutex::default(),
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

    /// Makes a command durable, and applies it then.
    fn commit(&mut self, command: Command) -> Result<(), Dead> {
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
        self.log.write(&batch).map_err(|_| Dead)?;
        self.applied = index.0;
        self.state.apply(index, command);
        Ok(())
    }

    fn move_texts(&mut self, most: u8) -> Result<(), Dead> {
        let held = std::mem::take(&mut *self.store.held.lock().unwrap());
        // Those that only the store holds were let go.
        let alive = held.into_iter().filter(|text| Arc::strong_count(text) > 1);
        let mut alive: Vec<Arc<PackedText>> = alive.collect();
        let rest = alive.split_off(alive.len().min(usize::from(most)));
        let bytes = alive.iter().filter_map(|text| match text.place() {
            TextPlace::Memory(bytes) => Some(bytes),
            TextPlace::Disk(_) => None,
        });
        let bytes: Vec<Arc<[u8]>> = bytes.collect();
        let blobs = self.store.writer.lock().unwrap().append(&bytes);
        for (text, blob) in alive.iter().zip(blobs.map_err(|_| Dead)?) {
            text.move_to(Arc::new(blob));
        }
        self.store.held.lock().unwrap().extend(rest);
        Ok(())
    }

    fn freeze(&self) -> Arc<StoredSnapshot> {
        Arc::new(StoredSnapshot {
            index: LogIndex(self.applied),
            term: TERM,
            data: self.state.freeze().into(),
        })
    }

    fn write_snapshot(&mut self, snapshot: Arc<StoredSnapshot>) -> Result<(), Dead> {
        let batch = WriteBatch {
            discard_through: Some(snapshot.index),
            snapshot: Some(snapshot),
            ..WriteBatch::default()
        };
        self.log.write(&batch).map_err(|_| Dead)
    }
}

/// What callers were told.
#[derive(Clone, Default)]
struct Promises {
    /// Results by job and position; those of jobs of which a forgetting was asked are left out.
    results: BTreeMap<(u8, u32), u64>,
    /// Jobs that were accepted.
    accepted: BTreeSet<u8>,
    next_text: u64,
}

fn text(number: u64) -> String {
    let mut value = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    let mut text = String::with_capacity(LETTERS);
    while text.len() < LETTERS {
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

fn run(member: &mut Member, promises: &mut Promises, step: &Step) -> Result<(), Dead> {
    match step {
        Step::List(job) => {
            if !promises.accepted.contains(job) {
                member.commit(submission(*job))?;
                promises.accepted.insert(*job);
            }
            let position = member.state.jobs()[&job_id(*job)].results.len() as u32;
            if position >= ITEMS {
                return Ok(());
            }
            promises.next_text += 1;
            let number = promises.next_text;
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
            promises.results.insert((*job, position), number);
            Ok(())
        }
        Step::Forget(job) => {
            promises.results.retain(|(other, _), _| other != job);
            promises.accepted.remove(job);
            member.commit(Command::ForgetJob(job_id(*job)))
        }
        Step::Move(most) => member.move_texts(*most),
        Step::Snapshot => {
            let snapshot = member.freeze();
            member.write_snapshot(snapshot)
        }
        Step::SnapshotLater(between) => {
            let snapshot = member.freeze();
            for step in between {
                run(member, promises, step)?;
            }
            // A newer snapshot may be durable by now; the store writes none that is older.
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
            .map_err(|_| Dead),
    }
}

fn check(member: &Member, promises: &Promises) -> Result<(), TestCaseError> {
    for ((job, position), number) in &promises.results {
        let found = member.state.jobs().get(&job_id(*job));
        let result = found.and_then(|job| job.results.get(*position as usize));
        let read = result.map(|result| result.text.unpack());
        let expected = Some(Ok(text(*number)));
        prop_assert!(
            read == expected,
            "job {job}, position {position} is lost or another"
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

    /// Three lives, each ended by a loss of power at some call of the disk.
    #[test]
    fn what_is_acknowledged_is_read_back_after_any_loss_of_power(
        lives in prop::collection::vec(
            (prop::collection::vec(step(), 5..40), 1..90_u64, any::<u64>()),
            3,
        ),
    ) {
        let disk = MemoryFileSystem::new();
        let mut promises = Promises::default();
        for (steps, crash_at, seed) in lives {
            let mut member = Member::start(&disk).map_err(TestCaseError::fail)?;
            check(&member, &promises)?;
            // A job whose forgetting was cut off may or may not be there.
            let known = member.state.jobs().keys().cloned().collect::<Vec<_>>();
            promises.accepted = (0..JOBS).filter(|job| known.contains(&job_id(*job))).collect();
            disk.set_faults(Faults {
                crash_at: Some(disk.calls() + crash_at),
                ..Faults::default()
            });
            for step in &steps {
                if run(&mut member, &mut promises, step).is_err() {
                    break;
                }
            }
            drop(member);
            disk.restart(seed);
        }
        let member = Member::start(&disk).map_err(TestCaseError::fail)?;
        check(&member, &promises)?;
    }
}
