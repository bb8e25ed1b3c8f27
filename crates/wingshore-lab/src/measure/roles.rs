//! `wingshore-lab measure roles`: memory and idle processor time of each role.

use super::error::{MeasureError, MissingSnafu, PrintSnafu};
use super::process_usage::ProcessUsage;
use super::quiet_site::QuietSite;
use crate::fleet::process::ManagedProcess;
use argh::FromArgs;
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::thread;
use std::time::{Duration, Instant};

/// After the start, before the first look: caches fill and elections end.
const SETTLE: Duration = Duration::from_secs(3);
/// Limit of memory, in MiB.
const RESIDENT_LIMIT_MIB: f64 = 64.0;
/// Limit of idle processor time, in percent of a core.
const PROCESSOR_LIMIT_PERCENT: f64 = 1.4;

/// Memory and processor time of each role while the site has no callers.
#[derive(FromArgs)]
#[argh(subcommand, name = "roles")]
pub struct RolesCommand {
    /// farewind or roster: a folder under `sites` (farewind)
    #[argh(option, default = "\"farewind\".to_owned()")]
    site: String,
    /// time between the two looks at each process (20)
    #[argh(option, default = "20")]
    seconds: u32,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

/// The figures.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolesReport {
    /// Site.
    pub site: String,
    /// Time between the two looks.
    pub seconds: u32,
    /// The worst process of each role.
    pub roles: Vec<RoleUsage>,
}

/// The worst process of a role in each respect.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleUsage {
    /// The role.
    pub role: &'static str,
    /// Its processes.
    pub processes: usize,
    /// Most memory, in MiB.
    pub resident_mib: f64,
    /// Most processor time, in percent of a core.
    pub idle_processor_percent: f64,
    /// Most threads.
    pub threads: u64,
}

impl RolesCommand {
    /// Measures and prints; says whether every role kept its limits.
    ///
    /// # Errors
    /// When the site cannot be run or a process has ended.
    pub fn run(self) -> Result<bool, MeasureError> {
        let site = QuietSite::start(&self.site)?;
        thread::sleep(SETTLE);
        let roles = self.measure(&site);
        site.stop()?;
        let report = RolesReport {
            site: self.site,
            seconds: self.seconds,
            roles: roles?,
        };
        println!("{}", report.text());
        if self.json {
            println!("{}", serde_json::to_string(&report).context(PrintSnafu)?);
        }
        Ok(report.roles.iter().all(RoleUsage::is_within_limits))
    }

    fn measure(&self, site: &QuietSite) -> Result<Vec<RoleUsage>, MeasureError> {
        let roles = [
            ("replica", &site.running.replicas),
            ("relay", &site.relays),
            ("node", &site.running.nodes),
        ];
        let started = Instant::now();
        let mut before = Vec::new();
        for (_, processes) in roles {
            before.push(read_all(processes)?);
        }
        thread::sleep(Duration::from_secs(self.seconds.into()));
        let mut usages = Vec::new();
        for ((role, processes), before) in roles.into_iter().zip(before) {
            let after = read_all(processes)?;
            usages.push(RoleUsage::between(role, &before, &after, started.elapsed()));
        }
        Ok(usages)
    }
}

impl RoleUsage {
    fn between(
        role: &'static str,
        before: &[ProcessUsage],
        after: &[ProcessUsage],
        elapsed: Duration,
    ) -> Self {
        let processor = before.iter().zip(after).map(|(before, after)| {
            let used = after.processor.saturating_sub(before.processor);
            used.as_secs_f64() / elapsed.as_secs_f64() * 100.0
        });
        let resident = after.iter().map(|usage| usage.resident as f64);
        Self {
            role,
            processes: after.len(),
            resident_mib: resident.fold(0.0, f64::max) / f64::from(1 << 20),
            idle_processor_percent: processor.fold(0.0, f64::max),
            threads: after.iter().map(|usage| usage.threads).max().unwrap_or(0),
        }
    }

    fn is_within_limits(&self) -> bool {
        self.resident_mib <= RESIDENT_LIMIT_MIB
            && self.idle_processor_percent <= PROCESSOR_LIMIT_PERCENT
    }

    fn text(&self) -> String {
        format!(
            "{:<8} x{}  {:>6.1} MiB (limit {RESIDENT_LIMIT_MIB})  {:>5.2} % of a core idle (limit {PROCESSOR_LIMIT_PERCENT})  {} threads",
            self.role, self.processes, self.resident_mib, self.idle_processor_percent, self.threads
        )
    }
}

impl RolesReport {
    /// The figures for people.
    pub fn text(&self) -> String {
        let mut lines = vec!["worst process of each role, without callers:".to_owned()];
        lines.extend(self.roles.iter().map(RoleUsage::text));
        lines.join("\n")
    }
}

fn read_all(processes: &[ManagedProcess]) -> Result<Vec<ProcessUsage>, MeasureError> {
    let ids = processes.iter().map(ManagedProcess::id);
    ids.map(|id| ProcessUsage::read(id.context(MissingSnafu { kind: "process" })?))
        .collect()
}
