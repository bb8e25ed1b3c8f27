//! What a run measured.

use super::faults::FaultTimes;
use super::processes::Role;
use super::usage::{FrameCounts, Usage};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Limit on the time until a change is in force everywhere, in seconds.
pub const CHANGE_LIMIT_SECONDS: f64 = 8.0;
/// Limit on the time until a version serves on all engines, in seconds.
pub const WEIGHTS_LIMIT_SECONDS: f64 = 33.0;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// A run's measurements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Sizes and conditions.
    pub run: RunFacts,
    /// What was measured in each part of the run.
    pub windows: Vec<Window>,
    /// Times of single changes.
    pub changes: ChangeTimes,
    /// A version for all pools at once.
    pub weights: WeightTimes,
    /// Samples through the ledgers during the window `samples`, where that was asked for.
    pub samples: Option<SampleRates>,
    /// What faults cost, where that was asked for.
    pub faults: Option<FaultTimes>,
}

/// Sizes and conditions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFacts {
    /// Nodes, hollow and real.
    pub nodes: usize,
    /// Of them real processes.
    pub real_nodes: usize,
    /// Of the hollow ones those with a whole copy and a router.
    pub whole_copies: usize,
    /// Servers, all hollow.
    pub servers: usize,
    /// Zones.
    pub zones: usize,
    /// Pools.
    pub pools: usize,
    /// Relays.
    pub relays: usize,
    /// Changes an hour during the window `changes`.
    pub changes_per_hour: u32,
    /// The machine's load average at the start: it was shared.
    pub load_average: f64,
    /// Time from the start of the hollow nodes until all held the configuration under a lease.
    pub joined_seconds: f64,
    /// Resident memory of this process, all hollow nodes and servers, in megabytes.
    pub lab_resident_megabytes: f64,
    /// Threads of this process.
    pub lab_threads: u64,
}

/// One part of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Its name.
    pub name: String,
    /// Its length.
    pub seconds: f64,
    /// Changes committed meanwhile.
    pub changes: u64,
    /// What each role used.
    pub roles: Vec<RoleUsage>,
    /// What hollow nodes sent and received, per node.
    pub per_hollow_node: Rates,
    /// What the leader asked of hollow servers.
    pub leader_http: HttpRates,
    /// What one real node asked of hollow servers.
    pub node_http: HttpRates,
}

/// Mean and highest use of the processes of one role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleUsage {
    /// The role.
    pub role: Role,
    /// Processes.
    pub processes: usize,
    /// Processor time of one, in thousandths of a core: the mean.
    pub processor_permille: f64,
    /// The highest of one.
    pub processor_permille_most: f64,
    /// Resident memory of the largest one, in megabytes.
    pub resident_megabytes_most: f64,
    /// Threads of the one with most.
    pub threads_most: u64,
    /// Durable writes of one a second, the mean.
    pub syncs: f64,
    /// Bytes that one writes to disk a second, the mean.
    pub disk_bytes: f64,
    /// Frames of one, the mean.
    pub frames: Rates,
}

/// Frames and bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Frames sent.
    pub frames_sent: f64,
    /// Bytes sent.
    pub bytes_sent: f64,
    /// Frames received.
    pub frames_received: f64,
    /// Bytes received.
    pub bytes_received: f64,
}

/// Requests and bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HttpRates {
    /// Requests.
    pub requests: f64,
    /// Bytes of requests and answers.
    pub bytes: f64,
}

/// Times of single changes, each confirmed after the one before was in force everywhere.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeTimes {
    /// From the sending of the confirmation until the control group said that the change is in
    /// force everywhere, sorted, in seconds.
    pub in_force_seconds: Vec<f64>,
    /// Until the last hollow node had it, sorted, in seconds.
    pub last_node_seconds: Vec<f64>,
}

/// A version for all pools at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightTimes {
    /// Engines.
    pub engines: usize,
    /// Time of one fetch, from any source.
    pub fetch_seconds: f64,
    /// Until all engines served it; none when they did not within the time that was waited.
    pub all_seconds: Option<f64>,
    /// Until 99 of 100 served it.
    pub most_seconds: Option<f64>,
    /// Most fetches from one source at once.
    pub most_fetches_at_once: u64,
}

/// Samples through the ledgers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleRates {
    /// Trainers.
    pub trainers: usize,
    /// Ledger groups.
    pub ledgers: usize,
    /// Generated tokens of a sample.
    pub tokens: usize,
    /// Samples a second that were wanted.
    pub wanted: f64,
    /// Samples a second that were acknowledged.
    pub acknowledged: f64,
    /// Requests that were not answered as they should.
    pub failed: u64,
}

impl Rates {
    /// The growth between two counts, a second.
    pub fn between(before: FrameCounts, after: FrameCounts, seconds: f64) -> Self {
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        Self {
            frames_sent: rate(before.frames_sent, after.frames_sent),
            bytes_sent: rate(before.bytes_sent, after.bytes_sent),
            frames_received: rate(before.frames_received, after.frames_received),
            bytes_received: rate(before.bytes_received, after.bytes_received),
        }
    }

    /// Divided by a number of processes.
    pub fn per(self, count: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            frames_sent: self.frames_sent / count,
            bytes_sent: self.bytes_sent / count,
            frames_received: self.frames_received / count,
            bytes_received: self.bytes_received / count,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            frames_sent: self.frames_sent + other.frames_sent,
            bytes_sent: self.bytes_sent + other.bytes_sent,
            frames_received: self.frames_received + other.frames_received,
            bytes_received: self.bytes_received + other.bytes_received,
        }
    }
}

/// What the processes of each role used between two readings.
pub fn by_role(before: &[(Role, Usage)], after: &[(Role, Usage)], seconds: f64) -> Vec<RoleUsage> {
    let mut roles: BTreeMap<Role, RoleUsage> = BTreeMap::new();
    for ((role, before), (_, after)) in before.iter().zip(after) {
        let spent = after.processor_seconds - before.processor_seconds;
        let permille = spent / seconds * 1000.0;
        let usage = roles.entry(*role).or_insert_with(|| RoleUsage::none(*role));
        usage.processes += 1;
        usage.processor_permille += permille;
        usage.processor_permille_most = usage.processor_permille_most.max(permille);
        let resident = after.resident_bytes as f64 / MEGABYTE;
        usage.resident_megabytes_most = usage.resident_megabytes_most.max(resident);
        usage.threads_most = usage.threads_most.max(after.threads);
        let rates = Rates::between(before.frames, after.frames, seconds);
        usage.frames = usage.frames.plus(rates);
        usage.syncs += after.syncs.saturating_sub(before.syncs) as f64 / seconds;
        let written = after.disk_bytes.saturating_sub(before.disk_bytes);
        usage.disk_bytes += written as f64 / seconds;
    }
    let mut usages: Vec<RoleUsage> = roles.into_values().collect();
    for usage in &mut usages {
        usage.processor_permille /= usage.processes as f64;
        usage.syncs /= usage.processes as f64;
        usage.disk_bytes /= usage.processes as f64;
        usage.frames = usage.frames.per(usage.processes);
    }
    usages
}

impl RoleUsage {
    fn none(role: Role) -> Self {
        Self {
            role,
            processes: 0,
            processor_permille: 0.0,
            processor_permille_most: 0.0,
            resident_megabytes_most: 0.0,
            threads_most: 0,
            syncs: 0.0,
            disk_bytes: 0.0,
            frames: Rates::default(),
        }
    }
}

impl Report {
    /// Reads a report that a run printed with `--json`.
    ///
    /// # Errors
    /// When it is not one.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Whether the two limits on times were kept.
    pub fn passed(&self) -> bool {
        let slowest = self.changes.in_force_seconds.last();
        let changes_in_time = slowest.is_some_and(|seconds| *seconds <= CHANGE_LIMIT_SECONDS);
        let weights = self.weights.all_seconds;
        changes_in_time && weights.is_some_and(|seconds| seconds <= WEIGHTS_LIMIT_SECONDS)
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _infallible = self.write_text(&mut text);
        text
    }

    fn write_text(&self, text: &mut String) -> std::fmt::Result {
        let run = &self.run;
        writeln!(
            text,
            "{} nodes ({} real, {} whole copies), {} servers, {} zones, {} pools, {} relays; load average {:.1}",
            run.nodes,
            run.real_nodes,
            run.whole_copies,
            run.servers,
            run.zones,
            run.pools,
            run.relays,
            run.load_average
        )?;
        writeln!(
            text,
            "joined in {:.1} s; lab: {:.0} MB, {} threads",
            run.joined_seconds, run.lab_resident_megabytes, run.lab_threads
        )?;
        for window in &self.windows {
            window.write_text(text)?;
        }
        let changes = &self.changes;
        writeln!(
            text,
            "change in force everywhere: {:.2?} s (limit {CHANGE_LIMIT_SECONDS}); on the last hollow node: {:.2?} s",
            changes.in_force_seconds, changes.last_node_seconds
        )?;
        let weights = &self.weights;
        writeln!(
            text,
            "a version on {} engines, fetch {} s: all {:.1?} s (limit {WEIGHTS_LIMIT_SECONDS}), 99 % {:.1?} s, at most {} fetches from one source",
            weights.engines,
            weights.fetch_seconds,
            weights.all_seconds,
            weights.most_seconds,
            weights.most_fetches_at_once
        )?;
        if let Some(samples) = &self.samples {
            writeln!(
                text,
                "samples of {} tokens, {} trainers, {} ledger groups: {:.0}/s of {:.0}/s wanted, {} requests failed",
                samples.tokens,
                samples.trainers,
                samples.ledgers,
                samples.acknowledged,
                samples.wanted,
                samples.failed
            )?;
        }
        if let Some(faults) = &self.faults {
            writeln!(text, "{faults:#?}")?;
        }
        Ok(())
    }
}

impl Window {
    fn write_text(&self, text: &mut String) -> std::fmt::Result {
        writeln!(
            text,
            "[{}] {:.1} s, {} changes",
            self.name, self.seconds, self.changes
        )?;
        for usage in &self.roles {
            writeln!(
                text,
                "  {:<9}x{:<3} cpu {:7.1} permille (most {:7.1}) rss {:7.1} MB threads {:5} out {:8.1}/s {:9.0} B/s in {:8.1}/s {:9.0} B/s syncs {:6.1}/s disk {:9.0} B/s",
                format!("{:?}", usage.role),
                usage.processes,
                usage.processor_permille,
                usage.processor_permille_most,
                usage.resident_megabytes_most,
                usage.threads_most,
                usage.frames.frames_sent,
                usage.frames.bytes_sent,
                usage.frames.frames_received,
                usage.frames.bytes_received,
                usage.syncs,
                usage.disk_bytes
            )?;
        }
        writeln!(
            text,
            "  hollow node: out {:.2}/s {:.0} B/s in {:.2}/s {:.0} B/s; leader's HTTP {:.0}/s {:.0} B/s; a real node's HTTP {:.0}/s {:.0} B/s",
            self.per_hollow_node.frames_sent,
            self.per_hollow_node.bytes_sent,
            self.per_hollow_node.frames_received,
            self.per_hollow_node.bytes_received,
            self.leader_http.requests,
            self.leader_http.bytes,
            self.node_http.requests,
            self.node_http.bytes
        )
    }
}
