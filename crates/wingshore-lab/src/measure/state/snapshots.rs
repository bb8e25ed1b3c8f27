//! What snapshots of a growing state cost the commits that go on meanwhile.

use super::commits::{CommitRun, run};
use super::error::StateError;
use super::site::{SiteShape, StateSite};
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_types::GroupId;

/// Clients; each waits for its answer before it asks again.
const CLIENTS: usize = 256;
/// The group is measured until it holds so many claims; it takes about 1.3 million.
const ENOUGH_CLAIMS: usize = 600_000;
/// Most runs.
const MOST_RUNS: usize = 10;
/// Between two looks at the snapshot's file.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// The group.
const GROUP: GroupId = GroupId::Claims(1);

/// What was measured.
#[derive(Debug, Serialize)]
pub struct SnapshotReport {
    /// By the size of the state.
    pub runs: Vec<SnapshotRun>,
}

/// Commits beside snapshots of one size.
#[derive(Debug, Serialize)]
pub struct SnapshotRun {
    /// Claims that the group held at the beginning.
    pub claims: usize,
    /// Bytes of the snapshot on the leader's disk at the end.
    pub snapshot_bytes: u64,
    /// Snapshots that the leader's disk showed within the run.
    pub snapshots: usize,
    /// Whether another replica leads at the end of the run.
    pub leader_changed: bool,
    /// Commits.
    pub commits: CommitRun,
}

impl fmt::Display for SnapshotReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for run in &self.runs {
            writeln!(
                formatter,
                "snapshots: {} claims, {} snapshots, the last of {} bytes, {}; {} clients: {:.0}/s, {}",
                run.claims,
                run.snapshots,
                run.snapshot_bytes,
                if run.leader_changed {
                    "leader changed"
                } else {
                    "same leader"
                },
                run.commits.clients,
                run.commits.commits_per_second,
                run.commits.latency
            )?;
        }
        Ok(())
    }
}

/// Measures runs of `length` while the state grows.
///
/// # Errors
/// When the site cannot be run or does not answer.
pub fn measure(root: &Path, length: Duration) -> Result<SnapshotReport, StateError> {
    let shape = SiteShape {
        replicas: 3,
        claims_groups: 1,
        nodes: 0,
    };
    let site = StateSite::start(root, shape)?;
    let mut runs = Vec::new();
    let mut claims = 0;
    while claims < ENOUGH_CLAIMS && runs.len() < MOST_RUNS {
        let leader = site.leader(GROUP)?;
        let file = site.group_folder(leader, GROUP).join("snapshot");
        let watch = SnapshotWatch::start(file.clone());
        let commits = run(&site, 1, CLIENTS, length)?;
        let snapshots = watch.finish()?;
        let claims_before = claims;
        claims += commits.latency.count;
        runs.push(SnapshotRun {
            claims: claims_before,
            snapshot_bytes: std::fs::metadata(&file).map_or(0, |metadata| metadata.len()),
            snapshots,
            leader_changed: site.leader(GROUP)? != leader,
            commits,
        });
    }
    site.stop()?;
    Ok(SnapshotReport { runs })
}

/// Counts how often a snapshot's file is replaced.
struct SnapshotWatch {
    ends: Arc<AtomicBool>,
    thread: JoinHandle<usize>,
}

impl SnapshotWatch {
    fn start(file: PathBuf) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let asked = Arc::clone(&ends);
        let thread = thread::spawn(move || count_changes(&file, &asked));
        Self { ends, thread }
    }

    fn finish(self) -> Result<usize, StateError> {
        self.ends.store(true, Ordering::SeqCst);
        self.thread.join().map_err(|_| StateError::Panicked)
    }
}

fn count_changes(file: &Path, ends: &AtomicBool) -> usize {
    let modified = || {
        std::fs::metadata(file)
            .and_then(|found| found.modified())
            .ok()
    };
    let mut last = modified();
    let mut changes = 0;
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(WATCH_INTERVAL);
        let found = modified();
        changes += usize::from(found != last);
        last = found;
    }
    changes
}
