//! `wingshore-lab fleet`: a whole site as separate processes on this machine, then every promise
//! checked from the stand-ins' own logs.
//!
//! Owns the run's folder and every process of it (`running`, `process`): whatever way a run
//! ends, none stays. `schedule` and `faults` say what happens when, `operator` and `watch` ask the
//! site as people and monitoring would. Relies on the `wingshore` program, on [`crate::stand_ins`]
//! for the rest of the platform and on [`crate::checks`] for the verdict.

mod error;
mod faults;
mod lab_settings;
mod layout;
pub mod lost_disk;
pub mod operator;
mod process;
mod program;
mod progress;
mod report;
mod running;
mod schedule;
mod site;
mod watch;

use crate::checks::{Limits, RunLog, check_all, summary::summarize};
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::engine::length::LengthDistribution;
use argh::FromArgs;
pub use error::FleetError;
use error::PrintSnafu;
use faults::FaultList;
use layout::{Layout, Programs, RunFolder};
use progress::Progress;
use report::Report;
use running::RunningSite;
use schedule::{Performer, schedule};
use site::Site;
use snafu::ResultExt;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// Between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// How long a run goes on at most to come to the steps asked for.
const STEPS_LIMIT: Duration = Duration::from_secs(120);
/// Longest sleep of the run's loop.
const TICK: Duration = Duration::from_millis(50);

/// Run a whole site as separate processes on this machine and check every promise.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "fleet",
    example = "{command_name} --site farewind --seconds 20",
    example = "{command_name} --site roster --seconds 60 --faults kill-leader,kill-node"
)]
pub struct FleetCommand {
    /// farewind or roster: a folder under `sites`
    #[argh(option)]
    site: String,
    /// length of the run, start and stop not counted (20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// go on beyond that length until so many steps are trained (0)
    #[argh(option, default = "0")]
    steps: u64,
    /// seed of the load (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// faults, separated by commas: kill-leader, kill-node, freeze-leader, lose-disk, fail-swap,
    /// restart-all
    #[argh(option, default = "FaultList::default()")]
    faults: FaultList,
    /// folder that keeps settings, logs and data of the run; without it they are removed
    #[argh(option)]
    keep: Option<PathBuf>,
    /// folder of the sites (the `sites` folder of the workspace)
    #[argh(option)]
    sites: Option<PathBuf>,
}

impl FleetCommand {
    /// Runs the site; says whether every promise held.
    ///
    /// # Errors
    /// When the site cannot be started or stopped.
    pub fn run(self) -> Result<bool, FleetError> {
        let programs = Programs {
            wingshore: program::find_or_build()?,
            lab: std::env::current_exe().map_err(|error| FleetError::Program {
                message: error.to_string(),
            })?,
        };
        let temporary = tempfile::tempdir().map_err(|source| FleetError::WriteFile {
            path: std::env::temp_dir(),
            source,
        })?;
        let root = self.keep.as_deref().unwrap_or(temporary.path());
        let folder = RunFolder::create(&absolute(root)?)?;
        let report = self.run_in(&folder, &programs)?;
        println!("{}", report.text());
        if self.json {
            println!("{}", serde_json::to_string(&report).context(PrintSnafu)?);
        }
        Ok(report.passed())
    }

    fn run_in(&self, folder: &RunFolder, programs: &Programs) -> Result<Report, FleetError> {
        let mut site = Site::read(&self.site_folder(), &self.site, &folder.data())?;
        let plan = Layout::new(&site, folder, programs, self.seed).write()?;
        eprintln!("starting {}", self.site);
        let mut running = RunningSite::start(&mut site, plan, folder, programs)?;
        eprintln!("running for {} s", self.seconds);
        self.run_site(&site, &mut running, folder)?;
        let ended = running.ended_by_themselves();
        eprintln!("stopping: callers, nodes, replicas, stand-ins");
        running.stop()?;
        self.judge(&site, folder, ended)
    }

    fn run_site(
        &self,
        site: &Site,
        running: &mut RunningSite,
        folder: &RunFolder,
    ) -> Result<(), FleetError> {
        let length = Duration::from_secs(self.seconds);
        let data = folder.data();
        let performer = Performer {
            lab: &site.lab,
            data: &data,
        };
        let mut due = schedule(length, &self.faults.0).into_iter().peekable();
        let started = Instant::now();
        let mut next_line = PROGRESS_INTERVAL;
        let mut steps = 0;
        let is_short = |steps| steps < self.steps && started.elapsed() < length + STEPS_LIMIT;
        while started.elapsed() < length || due.peek().is_some() || is_short(steps) {
            if let Some(action) = due.next_if(|due| due.at <= started.elapsed()) {
                eprintln!(
                    "{:>4.0} s: {:?}",
                    started.elapsed().as_secs_f64(),
                    action.action
                );
                performer.perform(running, action.action)?;
            }
            if started.elapsed() >= next_line {
                let progress = Progress::read(&folder.logs())?;
                eprintln!("{:>4.0} s: {progress}", started.elapsed().as_secs_f64());
                steps = progress.steps;
                next_line += PROGRESS_INTERVAL;
            }
            thread::sleep(TICK);
        }
        Ok(())
    }

    fn judge(
        &self,
        site: &Site,
        folder: &RunFolder,
        ended: Vec<(String, String)>,
    ) -> Result<Report, FleetError> {
        let log = RunLog::read(&folder.logs())?;
        let engine = &site.lab.engine;
        let limits = Limits::stated(LengthDistribution {
            median: engine.length_median,
            sigma: engine.length_sigma,
        });
        let ended = ended.into_iter();
        let report = Report {
            site: self.site.clone(),
            seed: self.seed,
            seconds: self.seconds,
            assumed_step: assumed_step(engine),
            summary: summarize(&log),
            violations: std::collections::BTreeMap::new(),
            ended_by_themselves: ended
                .map(|(name, output)| format!("{name}: {output}"))
                .collect(),
            details: Vec::new(),
        };
        Ok(report.with_violations(check_all(&log, &limits)))
    }

    fn site_folder(&self) -> PathBuf {
        let sites = self.sites.clone();
        sites
            .unwrap_or_else(|| program::workspace().join("sites"))
            .join(&self.site)
    }
}

/// Processes are started in this folder, but settings name files by whole paths.
fn absolute(path: &Path) -> Result<PathBuf, FleetError> {
    std::path::absolute(path).map_err(|source| FleetError::ReadFile {
        path: path.to_owned(),
        source,
    })
}

fn assumed_step(engine: &EngineSettings) -> String {
    format!(
        "{:?} + {:?} a sequence + {:?} a thousand tokens of context; prefill {:?} a thousand; \
         unconfirmed",
        engine.step_base,
        engine.step_per_sequence,
        engine.step_per_thousand_context,
        engine.prefill_per_thousand
    )
}
