//! The command line of `wingshore-lab bench`.

use super::hot_path::{AllocationCount, measure_all, text};
use super::plot::{Panel, PlotError, draw};
use super::report::Report;
use super::runs::run_all;
use super::scenario::{Policy, RunOptions, Scenario, ScenarioError};
use crate::fleet::program::workspace;
use argh::FromArgs;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Runs at once when nothing is said.
const THREADS: usize = 4;
/// Site when nothing is said.
const DEFAULT_SITE: &str = "farewind";
/// Sites of a plot.
const PLOTTED_SITES: [&str; 2] = ["farewind", "roster"];
/// Weights of a plot.
const WEIGHTS: [u16; 5] = [0, 250, 500, 750, 1000];

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
    /// The plot cannot be written.
    #[snafu(display("{}: {source}", path.display()))]
    Plot {
        /// Where.
        path: PathBuf,
        /// Why.
        source: PlotError,
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
    /// farewind or roster: a folder under `sites` (farewind)
    #[argh(option, default = "DEFAULT_SITE.to_owned()")]
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
    /// sweep the weight at both sites and draw idle time against staleness into this SVG file
    #[argh(option)]
    plot: Option<PathBuf>,
    /// measure the cost of one routing decision instead
    #[argh(switch)]
    hot_path: bool,
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
    /// Runs and prints; `allocations` counts those of this process.
    ///
    /// # Errors
    /// When the site's files are missing or wrong, or the plot cannot be written.
    pub fn run(&self, allocations: AllocationCount) -> Result<(), BenchError> {
        if self.hot_path {
            let rows = measure_all(allocations);
            return self.print(&rows, || text(&rows));
        }
        if let Some(path) = &self.plot {
            return self.draw(path);
        }
        let report = self.report(&self.site, self.policy, self.weight)?;
        self.print(&report, || report.text())
    }

    fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce() -> String,
    ) -> Result<(), BenchError> {
        if self.json {
            println!("{}", serde_json::to_string(value).context(JsonSnafu)?);
        } else {
            print!("{}", text());
        }
        Ok(())
    }

    fn draw(&self, path: &Path) -> Result<(), BenchError> {
        let panels: Result<Vec<Panel>, BenchError> =
            PLOTTED_SITES.iter().map(|site| self.panel(site)).collect();
        draw(path, &panels?).map_err(|source| BenchError::Plot {
            path: path.to_owned(),
            source,
        })
    }

    fn panel(&self, site: &str) -> Result<Panel, BenchError> {
        let mut sweep = Vec::new();
        for weight in WEIGHTS {
            let report = self.report(site, Policy::Default, Some(weight))?;
            self.print(&report, || report.text())?;
            sweep.push(report);
        }
        let baseline = self.report(site, Policy::Baseline, None)?;
        self.print(&baseline, || baseline.text())?;
        Ok(Panel {
            site: site.to_owned(),
            sweep,
            baseline,
        })
    }

    fn report(
        &self,
        site: &str,
        policy: Policy,
        weight: Option<u16>,
    ) -> Result<Report, BenchError> {
        let sites = self.sites.clone();
        let sites = sites.unwrap_or_else(|| workspace().join("sites"));
        let options = RunOptions {
            policy,
            weight,
            step_time_scale: self.step_time_scale,
            without_rollouts: self.without_rollouts,
            flood: self.flood,
        };
        let scenario = Scenario::read(&sites.join(site), options).context(ScenarioSnafu)?;
        let runs =
            run_all(&scenario, self.seeds.0.clone(), self.threads).context(HistogramSnafu)?;
        Ok(Report::new(site, &scenario, runs))
    }
}
