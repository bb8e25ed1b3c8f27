//! The command line of `wingshore-lab bench`.

use super::report::Report;
use super::runs::run_all;
use super::scenario::{Policy, RunOptions, Scenario, ScenarioError};
use crate::fleet::program::workspace;
use argh::FromArgs;
use snafu::{ResultExt, Snafu};
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Runs at once when nothing is said.
const THREADS: usize = 4;

/// Why a benchmark gave no figures.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// The site's files are not as they have to be.
    #[snafu(display("{source}"))]
    Scenario {
        /// What is wrong.
        source: ScenarioError,
    },
    /// Latencies cannot be counted.
    #[snafu(display("{source}"))]
    Histogram {
        /// Why.
        source: hdrhistogram::CreationError,
    },
    /// The report cannot be written as JSON.
    #[snafu(display("{source}"))]
    Json {
        /// Why.
        source: serde_json::Error,
    },
}

/// Run a site in simulated time and report trainer idle time, staleness and live latency.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "bench",
    example = "{command_name} --site farewind --policy default --seeds 1..20",
    example = "{command_name} --site roster --policy baseline --step-time-scale 0.5 --json"
)]
pub struct BenchCommand {
    /// farewind or roster: a folder under `sites`
    #[argh(option)]
    site: String,
    /// baseline or default (default)
    #[argh(option, default = "Policy::Default")]
    policy: Policy,
    /// weight on trainer idle time, 0 to 1000, instead of the pool's own
    #[argh(option)]
    weight: Option<u16>,
    /// seeds, first and last (1..1)
    #[argh(option, default = "Seeds(1..=1)")]
    seeds: Seeds,
    /// factor on the assumed times of engines (1)
    #[argh(option, default = "1.0")]
    step_time_scale: f64,
    /// no trainer and no rollouts
    #[argh(switch)]
    without_rollouts: bool,
    /// live requests beyond what the engines can serve, all the time
    #[argh(switch)]
    flood: bool,
    /// runs at once (4)
    #[argh(option, default = "THREADS")]
    threads: usize,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// folder of the sites (the `sites` folder of the workspace)
    #[argh(option)]
    sites: Option<PathBuf>,
}

/// `A..B`, both included.
#[derive(Clone, Debug)]
pub struct Seeds(RangeInclusive<u64>);

impl std::str::FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let error = || format!("`{text}` is no range of seeds; write for instance 1..20");
        let (first, last) = text.split_once("..").ok_or_else(error)?;
        let number = |text: &str| text.parse::<u64>().map_err(|_| error());
        Ok(Self(number(first)?..=number(last)?))
    }
}

impl BenchCommand {
    /// Runs and prints.
    ///
    /// # Errors
    /// When the site's files are missing or wrong.
    pub fn run(&self) -> Result<(), BenchError> {
        let report = self.report()?;
        if self.json {
            println!("{}", serde_json::to_string(&report).context(JsonSnafu)?);
        } else {
            print!("{}", report.text());
        }
        Ok(())
    }

    fn report(&self) -> Result<Report, BenchError> {
        let sites = self.sites.clone();
        let sites = sites.unwrap_or_else(|| workspace().join("sites"));
        let options = RunOptions {
            policy: self.policy,
            weight: self.weight,
            step_time_scale: self.step_time_scale,
            without_rollouts: self.without_rollouts,
            flood: self.flood,
        };
        let scenario = Scenario::read(&sites.join(&self.site), options).context(ScenarioSnafu)?;
        let runs =
            run_all(&scenario, self.seeds.0.clone(), self.threads).context(HistogramSnafu)?;
        Ok(Report::new(&self.site, &scenario, runs))
    }
}
