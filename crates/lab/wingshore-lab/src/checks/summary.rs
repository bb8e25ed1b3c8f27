//! The figures of a run: steps, idle time, staleness, latencies.

use super::RunLog;
use super::staleness::staleness_of;
use crate::events::{CallKind, Event};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Steps delivered and trained.
    pub steps: u64,
    /// Samples delivered.
    pub samples_delivered: u64,
    /// Versions published.
    pub versions_published: u64,
    /// Requests that live callers have final answers to.
    pub live_requests: u64,
    /// Those answered with 200.
    pub live_answered: u64,
    /// Those refused as not run.
    pub live_refused: u64,
    /// Share of the trainers' time that they did not train; until they are told to stop.
    pub trainer_idle: f64,
    /// Mean of samples' staleness, in versions.
    pub staleness_mean: f64,
    /// 99th percentile of it.
    pub staleness_p99: u64,
    /// Largest.
    pub staleness_max: u64,
    /// How long the control group had no leader, each time its leader was killed or frozen.
    pub leaderless_us: Vec<u64>,
    /// Longest time from a revision's commit until the control group knew it to be in force
    /// everywhere, both as the watch saw them: to about a quarter of a second. A new leader knows
    /// it only once all leases of earlier leaders have run out, though nodes have it before.
    pub in_force_max_us: u64,
    /// Planned stops that did not succeed, by process.
    pub failed_stops: Vec<String>,
    /// Latency of answered requests by kind.
    pub latency: BTreeMap<CallKind, Latency>,
    /// Time to the first token of completions.
    pub first_token: Latency,
}

/// Percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

/// Reads the figures off the logs.
pub fn summarize(log: &RunLog) -> Summary {
    let mut summary = Summary::default();
    let mut latencies: BTreeMap<CallKind, Vec<u64>> = BTreeMap::new();
    let mut first_tokens = Vec::new();
    let mut staleness = Vec::new();
    for record in log.records() {
        match &record.event {
            Event::Trained { .. } => summary.steps += 1,
            Event::LeaderFound { after_us } => summary.leaderless_us.push(*after_us),
            Event::ProcessAction { process, action } if action == "stop_failed" => {
                summary.failed_stops.push(process.clone());
            }
            Event::Published { .. } => summary.versions_published += 1,
            Event::BatchDelivered {
                repeated: false,
                trainer_version,
                samples,
                ..
            } => staleness.extend(
                samples
                    .iter()
                    .map(|sample| staleness_of(sample, *trainer_version)),
            ),
            Event::Answered {
                kind,
                status,
                verdict,
                latency_us,
                first_token_us,
                ..
            } => {
                summary.live_requests += 1;
                if *status == 200 {
                    summary.live_answered += 1;
                    latencies.entry(*kind).or_default().push(*latency_us);
                    first_tokens.extend(*first_token_us);
                } else if *verdict == Some(wingshore_types::Verdict::NotRun) {
                    summary.live_refused += 1;
                }
            }
            _ => {}
        }
    }
    summary.samples_delivered = staleness.len() as u64;
    summary.trainer_idle = trainer_idle(log);
    summary.in_force_max_us = in_force_max_us(log);
    summarize_staleness(&mut summary, staleness);
    summary.latency = latencies
        .into_iter()
        .map(|(kind, values)| (kind, latency_of(&values)))
        .collect();
    summary.first_token = latency_of(&first_tokens);
    summary
}

fn summarize_staleness(summary: &mut Summary, mut staleness: Vec<u64>) {
    staleness.sort_unstable();
    let Some(max) = staleness.last() else {
        return;
    };
    let sum: u64 = staleness.iter().sum();
    summary.staleness_max = *max;
    summary.staleness_mean = sum as f64 / staleness.len() as f64;
    summary.staleness_p99 = staleness[(staleness.len() - 1) * 99 / 100];
}

fn in_force_max_us(log: &RunLog) -> u64 {
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    let mut longest = 0;
    for record in log.records() {
        match &record.event {
            Event::RevisionCommitted { revision } => waiting.push((*revision, record.at_us)),
            Event::RevisionInForce { revision } => waiting.retain(|(committed, since_us)| {
                let is_in_force = committed <= revision;
                if is_in_force {
                    longest = longest.max(record.at_us.saturating_sub(*since_us));
                }
                !is_in_force
            }),
            _ => {}
        }
    }
    longest
}

fn latency_of(values: &[u64]) -> Latency {
    let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
        return Latency::default();
    };
    for value in values {
        // The histogram grows as it has to; only values beyond 64 bits would be refused.
        let _recorded = histogram.record(*value);
    }
    Latency {
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
    }
}

/// From a trainer's first pull until it is told to stop: all the time that is not training.
fn trainer_idle(log: &RunLog) -> f64 {
    let stops: BTreeMap<&str, u64> = log
        .process_actions()
        .filter(|(_, _, action)| *action == "stop")
        .map(|(at_us, process, _)| (process, at_us))
        .collect();
    let mut trainers: BTreeMap<&str, TrainerTime> = BTreeMap::new();
    for record in log.records() {
        let stop_us = stops.get(record.source.as_str());
        if stop_us.is_some_and(|stop_us| record.at_us > *stop_us) {
            continue;
        }
        match &record.event {
            Event::BatchDelivered { waited_us, .. } => {
                let began_us = record.at_us.saturating_sub(*waited_us);
                let new = || TrainerTime::starting(began_us);
                trainers.entry(&record.source).or_insert_with(new);
            }
            Event::Trained { busy_us, .. } => {
                if let Some(trainer) = trainers.get_mut(record.source.as_str()) {
                    trainer.busy_us += busy_us;
                    trainer.until_us = record.at_us;
                }
            }
            _ => {}
        }
    }
    let whole: u64 = trainers.values().map(|t| t.until_us - t.from_us).sum();
    let busy: u64 = trainers.values().map(|t| t.busy_us).sum();
    if whole == 0 {
        return 1.0;
    }
    1.0 - busy as f64 / whole as f64
}

/// A trainer's time.
struct TrainerTime {
    from_us: u64,
    until_us: u64,
    busy_us: u64,
}

impl TrainerTime {
    fn starting(from_us: u64) -> Self {
        Self {
            from_us,
            until_us: from_us,
            busy_us: 0,
        }
    }
}
