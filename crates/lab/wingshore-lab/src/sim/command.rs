//! `wingshore-lab sim`.

use super::replica::ReplicaFaults;
use super::runs::{Summary, run_all};
use super::scenarios::{self, Outcome, Scenario};
use argh::FromArgs;
use snafu::{OptionExt, Snafu};
use std::num::NonZero;
use std::ops::Range;

/// Why a simulation cannot be run.
#[derive(Debug, Snafu)]
pub enum SimError {
    /// There is no such scenario.
    #[snafu(display("there is no scenario `{name}`; there are: all, {}", known.join(", ")))]
    Scenario {
        /// What was asked for.
        name: String,
        /// What there is.
        known: Vec<&'static str>,
    },
    /// The seeds are no range.
    #[snafu(display("`{text}` is no range of seeds; give one as 0..100"))]
    Seeds {
        /// What was given.
        text: String,
    },
    /// A report cannot be written as JSON.
    #[snafu(display("the report cannot be written: {source}"))]
    Report {
        /// Why.
        source: serde_json::Error,
    },
}

/// runs scenarios on a simulated site; exits 0 only if no promise broke
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "sim")]
pub struct SimCommand {
    /// a scenario's name, or all
    #[argh(option, default = "String::from(\"all\")")]
    scenario: String,
    /// seeds to run, as A..B; default 0..20
    #[argh(option, default = "String::from(\"0..20\")")]
    seeds: String,
    /// a single seed
    #[argh(option)]
    seed: Option<u64>,
    /// print all that happens in the single seed
    #[argh(switch)]
    trace: bool,
    /// print one object a scenario and seed that failed, and one for all as the last line
    #[argh(switch)]
    json: bool,
    /// threads; default one a core
    #[argh(option)]
    threads: Option<NonZero<usize>>,
}

impl SimCommand {
    /// Runs it; says whether all promises held.
    ///
    /// # Errors
    /// When the command line names something that does not exist.
    pub fn run(&self) -> Result<bool, SimError> {
        let chosen = self.scenarios()?;
        let outcomes = match self.seed {
            Some(seed) => chosen
                .iter()
                .map(|scenario| {
                    scenarios::run(scenario, seed, ReplicaFaults::default(), self.trace)
                })
                .collect(),
            None => run_all(
                &chosen,
                self.seeds()?,
                ReplicaFaults::default(),
                self.threads,
            ),
        };
        let mut summary = Summary {
            scenarios: chosen.len(),
            ..Summary::default()
        };
        for outcome in &outcomes {
            summary.add(outcome);
        }
        self.report(&outcomes, &summary)?;
        Ok(summary.violations.is_empty())
    }

    fn scenarios(&self) -> Result<Vec<Scenario>, SimError> {
        let all = scenarios::all();
        if self.scenario == "all" {
            return Ok(all);
        }
        let found = all.iter().find(|scenario| scenario.name == self.scenario);
        let found = found.with_context(|| ScenarioSnafu {
            name: self.scenario.clone(),
            known: all.iter().map(|scenario| scenario.name).collect::<Vec<_>>(),
        })?;
        Ok(vec![*found])
    }

    fn seeds(&self) -> Result<Range<u64>, SimError> {
        let text = &self.seeds;
        let parsed = text.split_once("..").and_then(|(first, end)| {
            let range = first.parse().ok()?..end.parse().ok()?;
            (!range.is_empty()).then_some(range)
        });
        parsed.context(SeedsSnafu { text })
    }

    fn report(&self, outcomes: &[Outcome], summary: &Summary) -> Result<(), SimError> {
        let failed = outcomes
            .iter()
            .filter(|outcome| !outcome.violations.is_empty());
        for outcome in failed {
            if self.json {
                println!("{}", as_json(outcome)?);
                continue;
            }
            println!("{} seed {}:", outcome.scenario, outcome.seed);
            for (promise, detail) in &outcome.violations {
                println!("  {promise}: {detail}");
            }
        }
        if self.json {
            println!("{}", as_json(summary)?);
            return Ok(());
        }
        println!(
            "{} scenarios, {} seeds, {} events, {:.1} simulated hours, {} promises broken",
            summary.scenarios,
            summary.seeds,
            summary.events,
            summary.simulated_ms as f64 / MILLISECONDS_PER_HOUR,
            summary.violations.len()
        );
        Ok(())
    }
}

/// Milliseconds in an hour.
const MILLISECONDS_PER_HOUR: f64 = 3_600_000.0;

fn as_json(value: &impl serde::Serialize) -> Result<String, SimError> {
    serde_json::to_string(value).map_err(|source| SimError::Report { source })
}
