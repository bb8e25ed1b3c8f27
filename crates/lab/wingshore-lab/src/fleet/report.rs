//! What a run gave, for people and as JSON.

use crate::checks::summary::{Latency, Summary};
use crate::checks::{Promise, Violation, count};
use serde::Serialize;
use std::collections::BTreeMap;

/// How many violations of one promise are shown in full.
const SHOWN: usize = 5;

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub site: String,
    /// Seed of the load.
    pub seed: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Step time of the engines, for the record.
    pub assumed_step: String,
    /// Figures.
    #[serde(flatten)]
    pub summary: Summary,
    /// Promises broken: how often.
    pub violations: BTreeMap<&'static str, usize>,
    /// Processes that ended by themselves.
    pub ended_by_themselves: Vec<String>,
    /// The violations themselves.
    #[serde(skip)]
    pub details: Vec<Violation>,
}

/// Steps that a run must exceed to count as a proof.
pub const MIN_STEPS: u64 = 3;

impl Report {
    /// Takes the violations in.
    pub fn with_violations(mut self, details: Vec<Violation>) -> Self {
        self.violations = count(&details);
        self.details = details;
        self
    }

    /// Whether every promise held and the run was worth the name.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
            && self.summary.steps > MIN_STEPS
            && self.summary.failed_stops.is_empty()
            && self.ended_by_themselves.is_empty()
    }

    /// For people.
    pub fn text(&self) -> String {
        let mut text = self.figures();
        for promise in Promise::ALL {
            let broken = self.violations.get(promise.as_str()).copied().unwrap_or(0);
            let verdict = if broken == 0 {
                "held".to_owned()
            } else {
                format!("BROKEN {broken} times")
            };
            text.push_str(&format!("\n  {:<16} {verdict}", promise.as_str()));
            text.push_str(&self.shown(promise));
        }
        for process in &self.ended_by_themselves {
            text.push_str(&format!("\nended by itself: {process}"));
        }
        for process in &self.summary.failed_stops {
            text.push_str(&format!("\nplanned stop failed: {process}"));
        }
        text.push_str(if self.passed() {
            "\npassed"
        } else {
            "\nFAILED"
        });
        text
    }

    fn shown(&self, promise: Promise) -> String {
        let broken = self.details.iter().filter(|v| v.promise == promise);
        broken
            .take(SHOWN)
            .map(|violation| format!("\n    {}", violation.detail))
            .collect()
    }

    fn figures(&self) -> String {
        let summary = &self.summary;
        let mut text = format!(
            "site {}, seed {}, {} s\n  steps {}, samples {}, versions {}\n  trainer idle {:.1} %\n  \
             staleness mean {:.2}, p99 {}, max {} versions\n  live requests {}: {} answered, {} \
             refused as not run",
            self.site,
            self.seed,
            self.seconds,
            summary.steps,
            summary.samples_delivered,
            summary.versions_published,
            summary.trainer_idle * 100.0,
            summary.staleness_mean,
            summary.staleness_p99,
            summary.staleness_max,
            summary.live_requests,
            summary.live_answered,
            summary.live_refused,
        );
        for (kind, latency) in &summary.latency {
            text.push_str(&format!(
                "\n  {:<12} {}",
                format!("{kind:?}"),
                shown(latency)
            ));
        }
        text.push_str(&format!(
            "\n  {:<12} {}",
            "first token",
            shown(&summary.first_token)
        ));
        let seconds = |us: u64| format!("{:.2} s", us as f64 / 1e6);
        let in_force = seconds(summary.in_force_max_us);
        text.push_str(&format!(
            "\n  known to be in force everywhere within {in_force}"
        ));
        for leaderless in &summary.leaderless_us {
            text.push_str(&format!("\n  no leader for {}", seconds(*leaderless)));
        }
        text.push_str(&format!("\n  assumed engine step: {}", self.assumed_step));
        text
    }
}

fn shown(latency: &Latency) -> String {
    let ms = |us: u64| us as f64 / 1000.0;
    format!(
        "p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms ({} answers)",
        ms(latency.p50_us),
        ms(latency.p99_us),
        ms(latency.p999_us),
        latency.count
    )
}
