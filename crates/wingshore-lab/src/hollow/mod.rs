//! `wingshore-lab hollow`: many hollow nodes and servers in one process around real replicas,
//! relays and a few real nodes, to read off what each role costs as the site grows.
//!
//! A hollow node keeps the watch of the configuration as a node does it, with real frames over
//! loopback; the first of them hold the real copy and the real router. A hollow server answers
//! probes and orders and fetches weights for a set time. Neither does payload work.

pub mod crowd;
pub mod error;
pub mod faults;
pub mod http;
pub mod link;
pub mod node;
pub mod operator;
pub mod processes;
pub mod report;
pub mod run;
pub mod server;
pub mod servers;
pub mod sizes;
pub mod timed;
pub mod trainers;
pub mod usage;

use crate::fleet::program;
use argh::FromArgs;
pub use error::HollowError;
use error::{PrintSnafu, WriteFileSnafu};
use run::RunOptions;
use sizes::Sizes;
use snafu::ResultExt;
use std::path::PathBuf;
use std::time::Duration;
use trainers::TrainerLoad;

/// Entries of configuration copies that hollow nodes hold in all, at most: nodes times servers.
/// One takes about half a kilobyte with its place in the router.
const MOST_COPIED_SERVERS: usize = 1_000_000;

/// Measure what each role costs with many hollow nodes and servers around real processes.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "hollow",
    example = "{command_name} --nodes 50 --servers 250",
    example = "{command_name} --nodes 1900 --servers 10000 --relays 8 --changes-per-hour 1042 --json"
)]
pub struct HollowCommand {
    /// nodes, the real ones included
    #[argh(option)]
    nodes: usize,
    /// servers: engines and one live server in twenty
    #[argh(option)]
    servers: usize,
    /// zones (one for 44 nodes, 43 at most)
    #[argh(option)]
    zones: Option<usize>,
    /// pools, each with a service of engines (one for 300 servers, 31 at most)
    #[argh(option)]
    pools: Option<usize>,
    /// relays; 0 lets nodes watch the replicas (0)
    #[argh(option, default = "0")]
    relays: usize,
    /// nodes that are real processes (2)
    #[argh(option, default = "2")]
    real_nodes: usize,
    /// changes an hour while that is measured; 0 measures no such window (0)
    #[argh(option, default = "0")]
    changes_per_hour: u32,
    /// single changes that are timed (5)
    #[argh(option, default = "5")]
    timed_changes: usize,
    /// length of the windows at rest and under changes, in seconds (10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// time from the joining of the nodes to the first window, in seconds (3)
    #[argh(option, default = "3")]
    settle_seconds: u64,
    /// pools with a hollow trainer, whose samples go through the ledgers; 0 leaves that out (0)
    #[argh(option, default = "0")]
    trainers: usize,
    /// samples of all trainers in a second (200)
    #[argh(option, default = "200.0")]
    samples_per_second: f64,
    /// generated tokens of a sample (512)
    #[argh(option, default = "512")]
    tokens: usize,
    /// ledger groups that the trainers share (1)
    #[argh(option, default = "1")]
    ledgers: usize,
    /// at the end, time a change while a twelfth of the nodes is frozen, after a relay has died and
    /// after the leader has
    #[argh(switch)]
    faults: bool,
    /// how long an engine fetches weights, in milliseconds (2000)
    #[argh(option, default = "2000")]
    fetch_ms: u64,
    /// threads for hollow nodes, and as many for hollow servers (4)
    #[argh(option, default = "4")]
    threads: usize,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// folder that keeps settings, data and output of the run; without it they are removed
    #[argh(option)]
    keep: Option<PathBuf>,
}

impl HollowCommand {
    /// Runs; says whether the limits on times were kept.
    ///
    /// # Errors
    /// When the run cannot be made.
    pub fn run(self) -> Result<bool, HollowError> {
        let program = program::find_or_build()?;
        let temporary = tempfile::tempdir().map_err(|source| HollowError::WriteFile {
            path: std::env::temp_dir(),
            source,
        })?;
        let folder = self.keep.clone();
        let folder = folder.unwrap_or_else(|| temporary.path().to_owned());
        std::fs::create_dir_all(&folder).context(WriteFileSnafu { path: &folder })?;
        let folder = folder.canonicalize();
        let folder = folder.map_err(|source| HollowError::WriteFile {
            path: temporary.path().to_owned(),
            source,
        })?;
        let report = run::run(&self.options()?, &folder, &program)?;
        println!("{}", report.text());
        if self.json {
            println!("{}", serde_json::to_string(&report).context(PrintSnafu)?);
        }
        Ok(report.passed())
    }

    fn options(&self) -> Result<RunOptions, HollowError> {
        let sizes = Sizes::new(
            self.nodes,
            self.servers,
            self.zones,
            self.pools,
            self.relays,
        )?;
        let real_nodes = self.real_nodes.min(self.nodes - 1);
        let hollow = self.nodes - real_nodes;
        Ok(RunOptions {
            sizes,
            real_nodes,
            whole_copies: hollow.min(MOST_COPIED_SERVERS / self.servers),
            changes_per_hour: self.changes_per_hour,
            timed_changes: self.timed_changes,
            window: Duration::from_secs(self.seconds),
            settle: Duration::from_secs(self.settle_seconds),
            faults: self.faults,
            samples: (self.trainers > 0).then_some(TrainerLoad {
                trainers: self.trainers.min(sizes.pools),
                samples_per_second: self.samples_per_second.max(1.0),
                tokens: self.tokens,
                ledgers: self.ledgers.clamp(1, 64),
            }),
            fetch_time: Duration::from_millis(self.fetch_ms),
            threads: self.threads.max(1),
        })
    }
}
