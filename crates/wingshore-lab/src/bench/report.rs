//! Figures over seeds, as text and as JSON.

use super::figures::RunFigures;
use super::scenario::Scenario;
use serde::Serialize;
use std::fmt::Write;

/// Mean and spread of one figure over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Standard deviation.
    pub deviation: f64,
    /// Least.
    pub least: f64,
    /// Largest.
    pub most: f64,
}

impl Spread {
    /// Of some values.
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.collect();
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        Self {
            mean,
            deviation: (squares / (count - 1.0).max(1.0)).sqrt(),
            least: values.iter().copied().fold(f64::INFINITY, f64::min),
            most: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// A figure's name and how it is read off a run.
type Figure = (&'static str, fn(&RunFigures) -> f64);

/// All figures, in the order of the report.
pub const FIGURES: [Figure; 19] = [
    ("trainer_idle", |run| run.trainer_idle),
    ("staleness_mean", |run| run.staleness_mean),
    ("staleness_p99", |run| run.staleness_p99),
    ("staleness_max", |run| run.staleness_max),
    ("step_seconds", |run| run.step_seconds),
    ("bound_seconds", |run| run.bound_seconds),
    ("bound_work_seconds", |run| run.bound_work_seconds),
    ("longest_sample_seconds", |run| run.longest_sample_seconds),
    ("step_over_bound", |run| run.step_over_bound),
    ("wasted_share", |run| run.wasted_share),
    ("rollout_tokens_per_second", |run| {
        run.rollout_tokens_per_second
    }),
    ("swap_seconds", |run| run.swap_seconds),
    ("live_p50_ms", |run| run.live.p50),
    ("live_p99_ms", |run| run.live.p99),
    ("live_p999_ms", |run| run.live.p999),
    ("live_first_p99_ms", |run| run.live_first.p99),
    ("live_refused", |run| run.live_refused),
    ("live_failed", |run| run.live_failed),
    ("live_requests", |run| run.live_requests as f64),
];

/// The result of one command.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The site.
    pub site: String,
    /// The policy.
    pub policy: String,
    /// Weight on idle time, in thousandths.
    pub idle_weight: u16,
    /// Factor on all engine times; the times themselves are assumed.
    pub step_time_scale: f64,
    /// Whether rollouts ran.
    pub rollouts: bool,
    /// Whether live requests flooded the engines.
    pub flood: bool,
    /// Each figure over the seeds.
    pub figures: std::collections::BTreeMap<&'static str, Spread>,
    /// Each run.
    pub runs: Vec<RunFigures>,
}

impl Report {
    /// Gathers runs of one scenario.
    pub fn new(site: &str, scenario: &Scenario, runs: Vec<RunFigures>) -> Self {
        let spread = |(name, read): &Figure| (*name, Spread::of(runs.iter().map(read)));
        Self {
            site: site.to_owned(),
            policy: scenario.options.policy.to_string(),
            idle_weight: scenario.pool.idle_weight.0,
            step_time_scale: scenario.options.step_time_scale,
            rollouts: !scenario.options.without_rollouts,
            flood: scenario.options.flood,
            figures: FIGURES.iter().map(spread).collect(),
            runs,
        }
    }

    /// One figure.
    pub fn figure(&self, name: &str) -> Spread {
        self.figures.get(name).copied().unwrap_or_default()
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut text = format!(
            "site {}, policy {}, idle weight {}, step time x{} (assumed), rollouts {}, flood {}, \
             {} seeds\n{:<26} {:>10} {:>10} {:>10} {:>10}\n",
            self.site,
            self.policy,
            self.idle_weight,
            self.step_time_scale,
            self.rollouts,
            self.flood,
            self.runs.len(),
            "figure",
            "mean",
            "deviation",
            "least",
            "most",
        );
        for (name, _) in &FIGURES {
            let spread = self.figure(name);
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{name:<26} {:>10.4} {:>10.4} {:>10.4} {:>10.4}",
                spread.mean, spread.deviation, spread.least, spread.most
            );
        }
        text
    }
}
