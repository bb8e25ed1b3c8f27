//! Model-based test of the store: random batches, a crash at any call, and the recovered state.

use proptest::prelude::*;
use std::path::Path;
use std::sync::Arc;
use wingshore_storage::memory::{Faults, MemoryFileSystem};
use wingshore_storage::{FileSystem, GroupStore};
use wingshore_types::LogIndex;
use wingshore_types::log::{LogRecord, RecoveredLog, StoredSnapshot, WriteBatch};

const DIRECTORY: &str = "/data/control";
const SEGMENT_BYTES: u64 = 300;

/// Random parameters of a batch; [`Model::batch`] turns them into a valid one.
#[derive(Clone, Debug)]
struct Draft {
    hard_state: Option<Vec<u8>>,
    kind: Kind,
    entries: Vec<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum Kind {
    Append,
    Truncate { keep: u64 },
    Compact { at: u64, retained: u64 },
    Install { ahead: u64, truncate: bool },
}

fn draft() -> impl Strategy<Value = Draft> {
    let kind = prop_oneof![
        5 => Just(Kind::Append),
        2 => (0..20_u64).prop_map(|keep| Kind::Truncate { keep }),
        2 => (0..20_u64, 0..3_u64).prop_map(|(at, retained)| Kind::Compact { at, retained }),
        1 => (1..10_u64, any::<bool>())
            .prop_map(|(ahead, truncate)| Kind::Install { ahead, truncate }),
    ];
    let bytes = || prop::collection::vec(any::<u8>(), 0..60);
    let hard_state = prop::option::weighted(0.3, bytes());
    (hard_state, kind, prop::collection::vec(bytes(), 0..4)).prop_map(
        |(hard_state, kind, entries)| Draft {
            hard_state,
            kind,
            entries,
        },
    )
}

/// The expected content of the disk.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    log: RecoveredLog,
    term: u64,
}

impl Model {
    fn snapshot_index(&self) -> u64 {
        self.log.snapshot.as_ref().map_or(0, |found| found.index.0)
    }

    fn last_index(&self) -> u64 {
        let last = self.log.records.last().map_or(0, |found| found.index.0);
        last.max(self.snapshot_index())
    }

    /// Returns a batch as the replicated log would write it.
    fn batch(&self, draft: &Draft) -> WriteBatch {
        let term = self.term + 1;
        let (base, last) = (self.snapshot_index(), self.last_index());
        let mut batch = WriteBatch {
            hard_state: draft.hard_state.clone(),
            ..WriteBatch::default()
        };
        let mut next = last + 1;
        match draft.kind {
            Kind::Append => {}
            Kind::Truncate { keep } => {
                next = base + 1 + keep.min(last - base);
                batch.truncate_from = Some(LogIndex(next));
            }
            Kind::Compact { at, retained } => {
                let index = base + at.min(last - base);
                batch.snapshot = snapshot(index, self.term_at(index)).map(Arc::new);
                batch.discard_through = Some(LogIndex(index.saturating_sub(retained)));
            }
            Kind::Install { ahead, truncate } => {
                let index = last + ahead;
                batch.snapshot = snapshot(index, term).map(Arc::new);
                batch.truncate_from = truncate.then_some(LogIndex(1));
                next = index + 1;
            }
        }
        batch.append = (next..)
            .zip(&draft.entries)
            .map(|(index, data)| LogRecord {
                index: LogIndex(index),
                term,
                data: data.clone(),
            })
            .collect();
        batch
    }

    fn term_at(&self, index: u64) -> u64 {
        let entry = self.log.records.iter().find(|found| found.index.0 == index);
        let snapshot = self.log.snapshot.as_ref().map_or(0, |found| found.term);
        entry.map_or(snapshot, |found| found.term)
    }

    /// Applies `batch` and returns all states that a crash during its write may leave; the last one
    /// is the complete state.
    fn apply(&mut self, batch: &WriteBatch) -> Vec<RecoveredLog> {
        let mut states = vec![self.log.clone()];
        self.term += 1;
        if let Some(hard_state) = &batch.hard_state {
            self.log.hard_state = Some(hard_state.clone());
            states.push(self.log.clone());
        }
        if let Some(snapshot) = &batch.snapshot {
            self.log.snapshot = Some(snapshot.as_ref().clone());
            let mut found = self.log.clone();
            if self.is_superseded() {
                found.records.clear();
            }
            states.push(found);
        }
        if let Some(from) = batch.truncate_from {
            self.log.records.retain(|record| record.index < from);
        }
        if self.is_superseded() {
            self.log.records.clear();
        }
        self.log.records.extend(batch.append.iter().cloned());
        if let Some(through) = batch.discard_through {
            self.log.records.retain(|record| record.index > through);
        }
        states.push(self.log.clone());
        states
    }

    fn is_superseded(&self) -> bool {
        let last = self.log.records.last().map_or(0, |found| found.index.0);
        last < self.snapshot_index()
    }
}

fn snapshot(index: u64, term: u64) -> Option<StoredSnapshot> {
    (index > 0).then(|| StoredSnapshot {
        index: LogIndex(index),
        term,
        data: vec![index as u8; 50].into(),
    })
}

fn open(disk: &MemoryFileSystem) -> Result<(GroupStore, RecoveredLog), TestCaseError> {
    let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
    let opened = GroupStore::open_with(fs, Path::new(DIRECTORY), SEGMENT_BYTES);
    let (store, mut recovered) = opened.map_err(|error| TestCaseError::fail(error.to_string()))?;
    // A snapshot is read from disk on demand. It is read here because the disk is restarted later.
    if let Some(snapshot) = &mut recovered.snapshot {
        let bytes = snapshot.data.to_bytes();
        snapshot.data = bytes
            .map_err(|error| TestCaseError::fail(error.to_string()))?
            .into();
    }
    Ok((store, recovered))
}

/// Writes until the disk crashes; returns the states that may be recovered.
fn write_until_crash(
    store: &mut GroupStore,
    model: &mut Model,
    drafts: &[Draft],
) -> Vec<RecoveredLog> {
    for draft in drafts {
        let batch = model.batch(draft);
        let before = model.clone();
        let states = model.apply(&batch);
        if store.write(&batch).is_err() {
            *model = before;
            return states;
        }
    }
    vec![model.log.clone()]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Runs a store three times; each run ends with a crash at some call.
    #[test]
    fn acknowledged_writes_survive_a_crash(
        runs in prop::collection::vec(
            (prop::collection::vec(draft(), 1..15), 1..120_u64, any::<u64>()),
            3,
        ),
    ) {
        let disk = MemoryFileSystem::new();
        let mut model = Model::default();
        for (drafts, crash_at, seed) in runs {
            let (mut store, found) = open(&disk)?;
            prop_assert_eq!(&found, &model.log);
            disk.set_faults(Faults { crash_at: Some(disk.calls() + crash_at), ..Faults::default() });
            let legal = write_until_crash(&mut store, &mut model, &drafts);
            drop(store);
            disk.restart(seed);
            let (store, found) = open(&disk)?;
            prop_assert!(legal.contains(&found), "found {:?}, legal {:?}", found, legal);
            model.log = found;
            drop(store);
            disk.restart(seed);
        }
    }

    /// A second crash, during recovery, loses no acknowledged write.
    #[test]
    fn acknowledged_writes_survive_a_crash_during_recovery(
        drafts in prop::collection::vec(draft(), 1..15),
        crash_at in 1..100_u64,
        again_at in 1..6_u64,
        seed in any::<u64>(),
    ) {
        let disk = MemoryFileSystem::new();
        let mut model = Model::default();
        let (mut store, _) = open(&disk)?;
        disk.set_faults(Faults { crash_at: Some(disk.calls() + crash_at), ..Faults::default() });
        let legal = write_until_crash(&mut store, &mut model, &drafts);
        disk.restart(seed);
        disk.set_faults(Faults { crash_at: Some(again_at), ..Faults::default() });
        drop(open(&disk));
        disk.restart(seed ^ 1);
        let (_, found) = open(&disk)?;
        prop_assert!(legal.contains(&found), "found {:?}, legal {:?}", found, legal);
    }

    /// Several batches in one write give the same log as single writes.
    #[test]
    fn batches_written_together_give_the_same_log(
        drafts in prop::collection::vec(draft(), 1..12),
    ) {
        let disk = MemoryFileSystem::new();
        let mut model = Model::default();
        let mut batches = Vec::new();
        for draft in &drafts {
            let batch = model.batch(draft);
            model.apply(&batch);
            batches.push(batch);
        }
        let (mut store, _) = open(&disk)?;
        let written = store.write_all(&batches);
        prop_assert!(written.is_ok(), "{:?}", written);
        drop(store);
        disk.restart(0);
        let (_, found) = open(&disk)?;
        prop_assert_eq!(found, model.log);
    }
}
