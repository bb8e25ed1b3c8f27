//! `wingshore-lab measure state`: what keeping state costs, on real replica processes with real
//! syncs.

pub mod commits;
pub mod configuration;
pub mod disk;
pub mod error;
pub mod figures;
pub mod in_force;
pub mod leaderless;
pub mod recovery;
pub mod site;
pub mod snapshots;
pub mod switched_server;

use argh::FromArgs;
pub use error::StateError;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// What can be measured alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Commits,
    Leaderless,
    InForce,
    Recovery,
    Snapshots,
}

impl std::str::FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "commits" => Ok(Self::Commits),
            "leaderless" => Ok(Self::Leaderless),
            "in-force" => Ok(Self::InForce),
            "recovery" => Ok(Self::Recovery),
            "snapshots" => Ok(Self::Snapshots),
            _ => Err("allowed: commits, leaderless, in-force, recovery, snapshots".to_owned()),
        }
    }
}

/// Measure what keeping state costs: commits, time without a leader, time until a change is in
/// force, recovery.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "state",
    example = "{command_name} --only commits --seconds 5 --json"
)]
pub struct StateCommand {
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// measure only this: commits, leaderless, in-force, recovery or snapshots
    #[argh(option)]
    only: Option<Part>,
    /// length of each measurement of commits (3)
    #[argh(option, default = "3")]
    seconds: u64,
    /// how often a leader is killed (10)
    #[argh(option, default = "10")]
    kills: u32,
    /// folder on the disk that is measured (the system's folder for temporary files)
    #[argh(option)]
    folder: Option<PathBuf>,
}

/// All that was measured.
#[derive(Default, Serialize)]
struct StateReport {
    commits: Option<commits::CommitReport>,
    leaderless: Option<leaderless::LeaderlessReport>,
    in_force: Option<in_force::InForceReport>,
    recovery: Option<recovery::RecoveryReport>,
    snapshots: Option<snapshots::SnapshotReport>,
}

impl StateCommand {
    /// Measures and prints; says whether every limit held.
    ///
    /// # Errors
    /// When processes cannot be run or do not answer.
    pub fn run(self) -> Result<bool, StateError> {
        let root = self.folder.clone().unwrap_or_else(std::env::temp_dir);
        let length = Duration::from_secs(self.seconds);
        let mut report = StateReport::default();
        if self.measures(Part::Commits) {
            report.commits = Some(print(commits::measure(&root, length)?));
        }
        if self.measures(Part::Leaderless) {
            report.leaderless = Some(print(leaderless::measure(&root, self.kills)?));
        }
        if self.measures(Part::InForce) {
            report.in_force = Some(print(in_force::measure(&root)?));
        }
        if self.measures(Part::Recovery) {
            report.recovery = Some(print(recovery::measure(&root)?));
        }
        if self.measures(Part::Snapshots) {
            report.snapshots = Some(print(snapshots::measure(&root, length)?));
        }
        if self.json {
            let text = serde_json::to_string(&report);
            println!("{}", text.map_err(|source| StateError::Print { source })?);
        }
        let in_force = report.in_force.as_ref();
        Ok(in_force.is_none_or(in_force::InForceReport::holds))
    }

    fn measures(&self, part: Part) -> bool {
        self.only.is_none_or(|only| only == part)
    }
}

/// Shows a part as soon as it is there.
fn print<T: std::fmt::Display>(part: T) -> T {
    println!("{part}");
    part
}
